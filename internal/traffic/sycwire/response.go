package sycwire

import (
	"errors"
	"io"
	"net/http"
)

// Response is the response to a request. The caller reads the body with Read and
// must call Close.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the response's headers.
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it isn't known.
	Length int64
	// EndsWithConnection is set if the answer has neither a length nor chunks: its body ends
	// where the endpoint closes the connection. A reset is no end.
	EndsWithConnection bool
	// body is the response's body, which Read reads from.
	body io.ReadCloser
	// client is where Close returns conn to if it can be reused.
	client *Client
	// conn is the connection that the response arrives on.
	conn *conn
	// keepAlive is false if the endpoint will close the connection after the response.
	keepAlive bool
	// written is closed once the body of the request has been written in the
	// background. It is nil if the body was written before the response was read.
	written <-chan struct{}
	// stopCancel detaches the connection from the request's context. It returns
	// false if the context has already ended.
	stopCancel func() bool
	// complete is true once the whole body has been read.
	complete bool
	// address is the endpoint's host and port.
	address string
}

// Read reads the body. It returns io.EOF only once the complete body has been read.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Abandon makes Close close the connection although the whole body was read: the endpoint may still work on
// the request.
func (r *Response) Abandon() { r.keepAlive = false }

// Close returns the connection to the pool if the whole body was read. Otherwise
// it closes the connection, which makes the endpoint stop working on the request.
func (r *Response) Close() error {
	reusable := r.stopCancel() && r.complete && r.keepAlive
	if reusable && r.written != nil {
		select {
		case <-r.written:
		default:
			reusable = false
		}
	}
	if !reusable {
		return r.conn.Close()
	}
	r.client.release(r.address, r.conn, r.Header)
	return nil
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
