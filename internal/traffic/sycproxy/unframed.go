package sycproxy

import (
	"errors"
	"io"
	"time"
)

// writeGrace is how long the end of a response waits for a write on its connection to return.
const writeGrace = 100 * time.Millisecond

// ErrTruncated reports that a response without a length ended before its request was written. The endpoint may
// have reset the connection: if that meets a write, the write gets the error, and reads just end.
var ErrTruncated = errors.New("response ended while the request was written")

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	// request is the body of its request, and conn the connection, nil if it isn't known.
	request *requestBody
	conn    *conn
}

// Read reads the body. It fails with ErrTruncated at the end if the request wasn't written without an error.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && (!b.request.ended.Load() || b.conn != nil && !b.conn.hasWritten(writeGrace)) {
		return n, ErrTruncated
	}
	return n, err
}
