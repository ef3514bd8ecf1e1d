package sycwire

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
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
	// ID identifies the request in its response, empty if responses to it bear no ID. The request
	// isn't sent on a connection on which one with this ID was sent before, since a late copy of
	// that one's response couldn't be told apart.
	ID string
	// Class names requests without an ID whose responses may be taken for each other, since each
	// says by its content what it is about. Such requests share connections among themselves only.
	// Empty: a response without an ID is the last on its connection.
	Class Class
	// Revocable makes a request that gets no response never arrive later: its connection is reset, also
	// if this process ends, so that bytes which the endpoint hasn't received by then are lost. Otherwise
	// the kernel goes on sending them for up to Settings.Unacknowledged.
	Revocable bool
	// Proceed is called right before the request's first byte is sent, once a connection is
	// open. If it returns false, nothing is sent and Do fails with ErrWithheld. Nil always
	// proceeds.
	Proceed func(c Connection) bool
	// Identify returns which request a response with the given headers belongs to. A response to
	// another request is discarded. Nil accepts every response: the endpoint answers each request
	// once, in order.
	Identify func(h http.Header) Identity
}

// Class names a kind of requests; see Request.Class.
type Class string

// inOrder is the class of requests without Request.Identify. Their endpoint sends no copies.
const inOrder Class = "in order"

// class returns the request's class.
func (r *Request) class() Class {
	if r.Identify == nil {
		return inOrder
	}
	return r.Class
}

// Identity is what the headers of a response say about the request that it belongs to.
type Identity struct {
	// ID is the ID of the request, empty if the response bears none.
	ID string
	// Required is set if a response of this kind always bears an ID. Without one it may be a copy
	// of an earlier response on the connection.
	Required bool
}

// Connection describes the connection that a request is sent on.
type Connection struct {
	// Number identifies the connection in this process.
	Number uint64
	// Responses is how many responses have arrived on it before.
	Responses int
}

// upload is the write of a request's body in the background.
type upload struct {
	// ended is closed once the write has ended, with an error or without.
	ended chan struct{}
	// err is the error of the write that has ended.
	err error
}

// isWhole reports whether the body was written without an error. It waits for a time if the write goes on. A nil
// upload is whole: the body was written before.
func (u *upload) isWhole(wait time.Duration) bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
	}
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-u.ended:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// error returns the error of the write, nil if it goes on.
func (u *upload) error() error {
	select {
	case <-u.ended:
		return u.err
	default:
		return nil
	}
}

// write sends the request. A body larger than maxInlineBody is written in the
// background, as the returned upload tells, which is nil for a smaller one.
func (k *conn) write(r *Request) (*upload, error) {
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
	out := &upload{ended: make(chan struct{})}
	go func() {
		defer close(out.ended)
		_, out.err = k.Write(r.Body)
	}()
	return out, nil
}
