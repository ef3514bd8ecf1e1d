package sycwire

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes limits the head of a response in bytes, with the informational responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxDiscarded limits the body that Discard reads, in bytes.
	maxDiscarded = 16 << 10
	// discardTime limits the time that Discard reads.
	discardTime = 100 * time.Millisecond
	// firstStatus and lastStatus are the lowest and the highest status that HTTP has. Those below firstFinalStatus are
	// informational and precede a final response.
	firstStatus, firstFinalStatus, lastStatus = 100, 200, 599
	// maxInformational limits the informational responses before a final one.
	maxInformational = 16
)

// IsStatus reports whether HTTP has a status.
func IsStatus(status int) bool { return status >= firstStatus && status <= lastStatus }

// StatusError reports that an endpoint has sent a status that no response to a request may have.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("response with status %03d", e.Status) }

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
	for informational := 0; ; informational++ {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, err
		}
		status := response.StatusCode
		switch {
		case informational > maxInformational:
			return nil, eris.Errorf("more than %d informational responses", maxInformational)
		case !IsStatus(status) || status == http.StatusSwitchingProtocols:
			return nil, &StatusError{Status: status}
		case status >= firstFinalStatus:
			return response, nil
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
