package syccallers

import (
	"bytes"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// fieldBytes is charged for each line of a header beside its text. A field with a short name takes about 140 bytes
	// as an entry of net/http's map and in the copy for the endpoint, and the map's growth leaves as much garbage.
	fieldBytes = 256
	// freeHeaderBytes is what a header may take without being charged, so that ordinary callers, whose headers have
	// some twenty lines, are served while others hold all memory for headers.
	freeHeaderBytes = 16 << 10
)

// shortAnswer is the answer to a request for whose header there is no memory.
const shortAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 25\r\n" +
	"Retry-After: 1\r\nConnection: close\r\n\r\n{\"error\":\"memory_short\"}\n"

// headersRefused counts the requests for whose header there was no memory.
var headersRefused = metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="header_memory"}`)

// header measures the header of one request as it arrives. The goroutine that reads the connection uses it.
type header struct {
	// size is the memory that the header takes once it is parsed, in bytes.
	size int64
	// lineBytes is the length of the line that has begun, without a carriage return.
	lineBytes int
	// ended is set when the empty line has been read. What follows is the body.
	ended bool
}

// add measures bytes that have been read, up to the end of the header.
func (h *header) add(read []byte) {
	for len(read) > 0 && !h.ended {
		line, rest, whole := bytes.Cut(read, []byte("\n"))
		h.size += int64(len(read) - len(rest))
		h.lineBytes += len(bytes.TrimSuffix(line, []byte("\r")))
		if whole {
			h.size += fieldBytes
			h.ended = h.lineBytes == 0
			h.lineBytes = 0
		}
		read = rest
	}
}

// admitHeader charges for bytes of a header that have been read. It returns false if there is no memory for them, and
// then they must not be parsed.
func (k *conn) admitHeader(read []byte) bool {
	k.header.add(read)
	return k.listener.charge(k, max(k.header.size-freeHeaderBytes, 0))
}

// refuseHeader ends a connection for whose header there is no memory, with an answer.
func (k *conn) refuseHeader() {
	headersRefused.Inc()
	k.enter(ending)
	k.respond(shortAnswer)
	k.discard()
}

// respond sends an answer on a connection that is closed next. Its errors are ignored for that reason.
func (k *conn) respond(answer string) {
	_ = k.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(k.Conn, answer)
}

// discard reads and drops what the caller is still sending, for lingerTime after the answer.
func (k *conn) discard() {
	_ = k.CloseWrite()
	_, _ = io.Copy(io.Discard, k.Conn)
}

// charge sets what a connection is charged for its header, in bytes. It returns false and changes nothing if all
// connections together would be charged more than the limit. One that is charged alone may exceed it.
func (l *Listener) charge(k *conn, size int64) bool {
	limit := l.limits.Load().HeaderBytes
	l.mu.Lock()
	defer l.mu.Unlock()
	others := l.headerBytes - k.charged
	if limit > 0 && size > 0 && others > 0 && others+size > limit {
		return false
	}
	l.headerBytes = others + size
	k.charged = size
	return true
}
