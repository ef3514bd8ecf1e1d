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
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// eventBufferBytes is the size of a stream's read buffer.
	eventBufferBytes = 4 << 10
)

var (
	// errEventTooLong means that an event of a stream exceeds maxEventBytes.
	errEventTooLong = errors.New("event is too long")
	// errNoEvent means that the connection was closed before the first event of a stream, or of the
	// rest of one that has begun, that ends with its connection. Nothing else tells such a stream from
	// one that broke off.
	errNoEvent = errors.New("connection closed before the first event")
	// errResumedElsewhere means that the endpoint has continued only after another one had resumed
	// the stream.
	errResumedElsewhere = errors.New("stream resumed elsewhere")
)

// eventReader splits a stream of server-sent events into events. It returns their bytes
// unchanged.
type eventReader struct {
	in *bufio.Reader
	// raw and id hold the bytes and the ID of the last event.
	raw []byte
	id  []byte
	// hasData is set if the last event has a line with data.
	hasData bool
	// ahead holds what readAhead has read for next, in order. The last entry alone may be an error.
	ahead []readEvent
}

// readEvent is the result of reading one event.
type readEvent struct {
	raw, id []byte
	hasData bool
	err     error
}

func newEventReader(in io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, eventBufferBytes)}
}

// next returns the bytes of the next event and its ID, which are valid until next is called
// again. A stream that ends between events fails with io.EOF, one that ends
// inside an event with io.ErrUnexpectedEOF.
func (e *eventReader) next() (raw, id []byte, err error) {
	if len(e.ahead) > 0 {
		first := e.ahead[0]
		e.ahead = e.ahead[1:]
		e.raw, e.id, e.hasData = first.raw, first.id, first.hasData
		return first.raw, first.id, first.err
	}
	return e.read()
}

// readAhead reads until the first event that takes the stream further than the event with an ID, and keeps
// what it reads for next. It returns io.EOF if the stream ends before such an event.
func (e *eventReader) readAhead(lastID string) error {
	for size := 0; ; {
		raw, id, err := e.read()
		if size += len(raw); err == nil && size > maxEventBytes {
			err = errEventTooLong
		}
		e.ahead = append(e.ahead, readEvent{bytes.Clone(raw), bytes.Clone(id), e.hasData, err})
		if err != nil || e.advances(lastID) {
			return err
		}
	}
}

// failure returns why reading ahead has failed.
func (e *eventReader) failure() error { return e.ahead[len(e.ahead)-1].err }

// read is next without what was read ahead.
func (e *eventReader) read() (raw, id []byte, err error) {
	e.raw, e.id, e.hasData = e.raw[:0], e.id[:0], false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, nil, err
		}
		if len(line) == 0 {
			return e.raw, e.id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = append(e.id[:0], bytes.TrimSpace(value)...)
		}
		e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
	}
}

// readLine appends the next line to raw and returns it without its end.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		// A line may be longer than the read buffer and then comes in fragments.
		fragment, err := e.in.ReadSlice('\n')
		e.raw = append(e.raw, fragment...)
		switch {
		case len(e.raw) > maxEventBytes:
			return nil, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		default:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		}
	}
}

// advances reports whether the last event takes the stream further than the event with an ID: it
// has another ID, or has none and carries data. Comments, empty events and repetitions don't.
func (e *eventReader) advances(lastID string) bool {
	if len(e.id) > 0 {
		return string(e.id) != lastID
	}
	return e.hasData
}

// hasNext reports whether a further complete event has been received.
func (e *eventReader) hasNext() bool {
	if len(e.ahead) > 0 {
		return true
	}
	buffered, err := e.in.Peek(e.in.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// relayStream passes on a stream of events. It passes on complete events only, so that another
// endpoint can resume the stream after any of them.
func (x *exchange) relayStream(answer *sycwire.Response, in *eventReader, started time.Time) result {
	timeout := x.timeout
	flusher, _ := x.writer.(http.Flusher)
	first := true
	for {
		raw, id, err := in.next()
		if errors.Is(err, io.EOF) && first && answer.EndsWithConnection && (x.lastEvent == "" || x.eventCount > 0) {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			x.finishAttempt(sycplace.Served, started)
			x.sendHeader(answer)
			x.finish("answered", answer.Status)
			return result{done: true}
		}
		advances := err == nil && in.advances(x.lastEvent)
		if err == nil && !timeout.admitEvent(advances) {
			err = errResumedElsewhere
		}
		if err != nil {
			timeout.suspend()
			return x.abortAttempt(answer, err, started)
		}
		x.heard = time.Now()
		if advances && first {
			first = false
			x.relay.fleet.RecordFirstByte(x.request.ID)
		}
		x.sendHeader(answer)
		if len(id) > 0 {
			x.lastEvent = string(id)
		}
		if advances {
			x.eventCount++
			x.returns = returns{}
		}
		if err := x.write(raw); err != nil {
			x.finishAttempt(sycplace.Cancelled, started)
			x.abort(x.goneReason(), "", answer.Status)
		}
		if !in.hasNext() {
			flusher.Flush()
		}
		if advances {
			timeout.restart()
		} else {
			timeout.resume()
		}
	}
}

// sendHeader sends the status and the header of a stream's first answer, once per call.
func (x *exchange) sendHeader(answer *sycwire.Response) {
	if x.answering {
		return
	}
	x.firstByte = time.Since(x.arrived)
	x.copyHeader(answer.Header)
	x.writeHeader(answer.Status)
}
