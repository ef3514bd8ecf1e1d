// Package sycsse reads and writes streams of server-sent events. It limits the size of
// the events that it reads.
package sycsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEventSize is the largest size of an event in bytes, including its field names and
// line ends.
const MaxEventSize = 1 << 20

// ErrTooLong means that an event is longer than MaxEventSize.
var ErrTooLong = errors.New("event is too long")

// Event is one event of a stream. Its slices are valid until the next call to Next.
type Event struct {
	// Name is the value of the event field; empty if the event has none.
	Name []byte
	// ID is the value of the id field; empty if the event has none.
	ID []byte
	// Data is the value of the data field. Several data lines are joined by line feeds.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	in *bufio.Reader
	// data, name and id hold the fields of the current event. Their memory is reused
	// for the next event.
	data []byte
	name []byte
	id   []byte
	// line holds a line that is longer than the input's buffer.
	line []byte
	// size counts the bytes of the current event, at most MaxEventSize.
	size int
}

// NewReader returns a Reader of the events in the stream.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReader(in)}
}

// Buffered reports whether bytes of the stream are buffered that Next hasn't used yet.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Next returns the next event that has data. It skips comments and events without
// data. It returns io.EOF if the stream ends between events, io.ErrUnexpectedEOF if it
// ends within an event, ErrTooLong if an event is longer than MaxEventSize, and
// otherwise the stream's own error.
func (r *Reader) Next() (Event, error) {
	r.data, r.name, r.id = r.data[:0], r.name[:0], r.id[:0]
	r.size = 0
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) > 0 {
			hasData = r.parseField(line, hasData) || hasData
			continue
		}
		if hasData {
			return Event{Name: r.name, ID: r.id, Data: r.data}, nil
		}
		r.name, r.size = r.name[:0], 0
	}
}

// endError returns io.ErrUnexpectedEOF if the stream ended within an event, and
// otherwise err.
func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && r.size > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseField adds the field on a line to the current event and reports whether it's a
// data field. hasData is true if the event already has data.
func (r *Reader) parseField(line []byte, hasData bool) bool {
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

// readLine returns the next line without its line end, which is LF or CR LF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.size += len(part)
		if r.size > MaxEventSize {
			return nil, ErrTooLong
		}
		if err == nil && len(r.line) == 0 {
			return trimLineEnd(part), nil
		}
		r.line = append(r.line, part...)
		if err == nil {
			return trimLineEnd(r.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, wrapUnlessEOF(err)
		}
	}
}

// trimLineEnd removes a trailing LF or CR LF.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// wrapUnlessEOF adds context to an error of the input, except for io.EOF.
func wrapUnlessEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return eris.Wrap(err, "event stream")
}
