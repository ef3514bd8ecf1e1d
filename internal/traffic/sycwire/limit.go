package sycwire

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxHeadBytes limits the head of a response in bytes, with the informational responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxDiscarded limits the body that Discard reads, in bytes.
	maxDiscarded = 16 << 10
	// discardTime limits the time that Discard reads.
	discardTime = 100 * time.Millisecond
	// firstFinalStatus is the lowest status of a final response; lower statuses
	// are informational (1xx) and precede it.
	firstFinalStatus = 200
)

// TooLongError reports that an endpoint has sent more than the client reads.
type TooLongError struct {
	// Part is the part of the response that is too long.
	Part string
	// Limit is the greatest number of bytes that are read of it.
	Limit int
}

// Error returns the part and the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s is longer than %d bytes", e.Part, e.Limit)
}

// limitedReader reads from a connection and can limit how much.
type limitedReader struct {
	in io.Reader
	// limited is set while left counts.
	limited bool
	// left is the number of bytes that may still be read.
	left int
}

// Read reads from the connection. It fails with *TooLongError at the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.in.Read(p)
	}
	if l.left <= 0 {
		return 0, &TooLongError{Part: "head", Limit: maxHeadBytes}
	}
	n, err := l.in.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of a final response and skips the informational ones before it.
func (k *conn) readHead(request *http.Request) (*http.Response, error) {
	k.limit.limited, k.limit.left = true, maxHeadBytes
	defer func() { k.limit.limited = false }()
	for {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil || response.StatusCode >= firstFinalStatus {
			return response, err
		}
	}
}

// Discard discards the rest of a short body, so that Close can keep the connection. If the body
// is longer than maxDiscarded or takes longer than discardTime, Close closes the connection.
func (r *Response) Discard() {
	// If the request's context ends meanwhile, its deadline may be lost here. Close then closes
	// the connection all the same.
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, r, maxDiscarded)
	_ = r.conn.SetReadDeadline(time.Time{})
}
