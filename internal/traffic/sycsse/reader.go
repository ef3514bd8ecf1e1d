// Package sycsse reads and writes server-sent events within bounds.
package sycsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEvent bounds the bytes of one event, its field names included.
const MaxEvent = 1 << 20

// ErrTooLong means that an event is longer than MaxEvent.
var ErrTooLong = errors.New("event is too long")

// Event is one event of a stream. Its slices are valid until the next read.
type Event struct {
	Name []byte
	ID   []byte
	Data []byte
}

// Reader reads events.
type Reader struct {
	in   *bufio.Reader
	data []byte
	name []byte
	id   []byte
	line []byte
	// size counts the bytes of the event under way; at most MaxEvent.
	size int
}

// NewReader returns a reader of the stream.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReader(in)}
}

// Buffered reports whether bytes have arrived that were not read yet.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Next returns the next event with data. A stream that ends between events
// fails with io.EOF, and one that ends inside an event with io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.data, r.name, r.id = r.data[:0], r.name[:0], r.id[:0]
	r.size = 0
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.ending(err)
		}
		if len(line) > 0 {
			hasData = r.field(line, hasData) || hasData
			continue
		}
		if hasData {
			return Event{Name: r.name, ID: r.id, Data: r.data}, nil
		}
		r.name, r.size = r.name[:0], 0
	}
}

func (r *Reader) ending(err error) error {
	if errors.Is(err, io.EOF) && r.size > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field takes one line in and reports whether it was data.
func (r *Reader) field(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		return true
	case "event":
		r.name = append(r.name[:0], value...)
	case "id":
		r.id = append(r.id[:0], value...)
	}
	return false
}

// readLine returns a line without its end, which is LF or CR LF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.size += len(part)
		if r.size > MaxEvent {
			return nil, ErrTooLong
		}
		if err == nil && len(r.line) == 0 {
			return trimEnd(part), nil
		}
		r.line = append(r.line, part...)
		if err == nil {
			return trimEnd(r.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, wrap(err)
		}
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func wrap(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return eris.Wrap(err, "event stream")
}
