package sycwire

import (
	"errors"
	"io"
	"net/http"
	"time"
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
	// upload is the write of the request's body in the background, nil if it was written before the
	// response was read.
	upload *upload
	// stopCancel detaches the connection from the request's context. It returns
	// false if the context has already ended.
	stopCancel func() bool
	// complete is true once the whole body has been read.
	complete bool
	// address is the endpoint's host and port.
	address string
}

// uploadGrace is how long the end of a response waits for the write of the request's last bytes to return.
const uploadGrace = 100 * time.Millisecond

// TruncatedError reports that a response without a length ended before its request was written. The endpoint may
// have reset the connection: if that meets a write, the write gets the error, and reads just end.
type TruncatedError struct {
	// Err is the error of the write, nil if it goes on.
	Err error
}

// Error returns what happened, and the error of the write.
func (e *TruncatedError) Error() string {
	if e.Err == nil {
		return "response ended while the request was written"
	}
	return "response ended while the request was written: " + e.Err.Error()
}

// Unwrap returns the error of the write.
func (e *TruncatedError) Unwrap() error { return e.Err }

// Read reads the body. It returns io.EOF only once the complete body has been read.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.EndsWithConnection && !r.upload.isWhole(uploadGrace) {
		return n, &TruncatedError{Err: r.upload.error()}
	}
	r.complete = true
	return n, err
}

// Abandon makes Close close the connection although the whole body was read: the endpoint may still work on
// the request.
func (r *Response) Abandon() { r.keepAlive = false }

// Close returns the connection to the pool if the whole body was read. Otherwise
// it closes the connection, which makes the endpoint stop working on the request.
func (r *Response) Close() error {
	if !r.stopCancel() || !r.complete || !r.keepAlive || !r.upload.isWhole(0) {
		return r.conn.Close()
	}
	r.client.release(r.address, r.conn, r.Header)
	return nil
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
