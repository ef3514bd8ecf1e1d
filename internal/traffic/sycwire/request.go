package sycwire

import (
	"bytes"
	"fmt"
	"net/http"
)

// maxInlineBody is the largest request body, in bytes, that is written before
// the response is read. A larger body is written in the background, since the
// endpoint may respond before it has read the whole body.
const maxInlineBody = 16 << 10

// Request is an HTTP request to send to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	// Method is the HTTP method.
	Method string
	// Target is the escaped path and query for the request line.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds all headers but Host and Content-Length.
	Header http.Header
	// Body is the whole request body; empty for none.
	Body []byte
	// Proceed is called right before the request's first byte is sent, once a connection is
	// open. If it returns false, nothing is sent and Do fails with ErrWithheld. Nil always
	// proceeds.
	Proceed func() bool
	// Matches reports whether a response with the given headers belongs to this
	// request. A response that doesn't is discarded. First is set if the endpoint has sent no
	// response on the connection before, so that this can't be a copy of one. Nil accepts every
	// response.
	Matches func(h http.Header, first bool) bool
}

// write sends the request. A body larger than maxInlineBody is written in the
// background, and the returned channel is closed once it has been written.
func (k *conn) write(r *Request) (<-chan struct{}, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		head.Write(r.Body)
		_, err := k.Write(head.Bytes())
		return nil, err
	}
	if _, err := k.Write(head.Bytes()); err != nil {
		return nil, err
	}
	written := make(chan struct{})
	go func() {
		// If the write fails, the channel stays open and the connection isn't reused.
		if _, err := k.Write(r.Body); err == nil {
			close(written)
		}
	}()
	return written, nil
}
