package sycrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// maxEvent bounds the bytes of one event of a stream.
	maxEvent = 256 << 10
	// eventBuffer is the size of a stream's read buffer.
	eventBuffer = 4 << 10
)

var errEventTooLong = errors.New("event is too long")

// events reads a stream event by event, as the bytes that came.
type events struct {
	in  *bufio.Reader
	raw []byte
	id  []byte
}

func newEvents(in io.Reader) *events {
	return &events{in: bufio.NewReaderSize(in, eventBuffer)}
}

// next returns the bytes of the next event and its id, which are valid until the
// next call. A stream that ends between events fails with io.EOF, one that ends
// inside an event with io.ErrUnexpectedEOF.
func (e *events) next() (raw, id []byte, err error) {
	e.raw, e.id = e.raw[:0], e.id[:0]
	for {
		line, err := e.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, nil, err
		default:
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				return e.raw, e.id, nil
			}
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = append(e.id[:0], bytes.TrimSpace(value)...)
			}
		}
		if len(e.raw) > maxEvent {
			return nil, nil, errEventTooLong
		}
	}
}

// more reports whether a further whole event has arrived.
func (e *events) more() bool {
	buffered, err := e.in.Peek(e.in.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// stream passes on a stream, whole events at a time, so that another endpoint
// can go on after any of them.
func (x *exchange) stream(answer *sycwire.Answer, watch *watch, started time.Time) result {
	in := newEvents(answer)
	flusher, _ := x.writer.(http.Flusher)
	first := true
	for {
		raw, id, err := in.next()
		if errors.Is(err, io.EOF) {
			x.finished(sycplace.Served, started)
			x.begin(answer)
			x.finish("answered", answer.Status)
			return result{done: true}
		}
		watch.pause()
		if err != nil {
			return x.brokenOff(err, started)
		}
		if first {
			first = false
			x.relay.fleet.RecordFirstByte(x.request.ID)
		}
		x.begin(answer)
		if len(id) > 0 {
			x.lastEvent = string(id)
		}
		x.events++
		if _, err := x.writer.Write(raw); err != nil {
			x.finished(sycplace.Cancelled, started)
			x.finish("caller_gone", answer.Status)
			panic(http.ErrAbortHandler)
		}
		if !in.more() {
			flusher.Flush()
		}
		watch.heard()
	}
}

// begin sends the head of the stream's first answer.
func (x *exchange) begin(answer *sycwire.Answer) {
	if x.started {
		return
	}
	x.started = true
	x.firstByte = time.Since(x.arrived)
	x.head(answer.Header)
	x.writer.WriteHeader(answer.Status)
}
