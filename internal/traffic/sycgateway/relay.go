package sycgateway

import (
	"errors"
	"io"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// checkResponse checks that the response belongs to the attempt, that the service
// ran the request, and that the response is framed so that its end can be detected.
func checkResponse(a *sycproxy.Response, attempt string) error {
	if a.Header.Get(sycapi.HeaderAttempt) != attempt {
		crossedResponsesTotal.Inc()
		return errCrossed
	}
	if a.Header.Get(sycapi.HeaderNotRun) == "true" && a.StatusCode >= http.StatusBadRequest {
		return errRefused
	}
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Request.Method != http.MethodHead {
		return errUnknownLength
	}
	return nil
}

// relay sends the service's response to the client. Responses of up to
// Limits.Answer bytes are buffered until they are complete, longer ones are
// streamed.
func (c *serviceCall) relay(a *sycproxy.Response) error {
	limit := c.x.g.limits.Answer
	body, err := io.ReadAll(io.LimitReader(&watchedReader{a.Body, c.restartSilenceTimer}, int64(limit)+1))
	if err != nil {
		return err
	}
	if len(body) <= limit {
		return c.deliver(a, body)
	}
	return c.streamResponse(a, body)
}

// watchedReader calls received whenever bytes are read from in.
type watchedReader struct {
	in       io.Reader
	received func()
}

// Read reads from in.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if n > 0 {
		r.received()
	}
	return n, err
}

// deliver records a complete response for repeats and sends it to the client.
func (c *serviceCall) deliver(a *sycproxy.Response, body []byte) error {
	x := c.x
	contentType := a.Header.Get("Content-Type")
	c.recordAnswer(sycclaim.Answer{Status: a.StatusCode, ContentType: contentType, Body: body})
	x.copyHeaders(a.Header)
	if a.StatusCode >= http.StatusInternalServerError {
		x.w.Header().Set(sycapi.HeaderOutcome, string(sycapi.Unknown))
	}
	if x.r.Method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified {
		x.responseStarted = true
		x.w.WriteHeader(a.StatusCode)
		return nil
	}
	return x.writeResponse(a.StatusCode, contentType, body)
}

// copyBufferSize is the size of the buffer for streamed responses, in bytes.
const copyBufferSize = 32 << 10

// streamResponse sends head, the bytes read so far, and then the rest of a long
// response as it arrives. If the response breaks off, the client's connection is
// broken off too.
func (c *serviceCall) streamResponse(a *sycproxy.Response, head []byte) error {
	x := c.x
	x.copyHeaders(a.Header)
	x.responseStarted = true
	c.silenceTimer.Stop()
	c.plan.Delivered()
	x.w.WriteHeader(a.StatusCode)
	buffer := make([]byte, copyBufferSize)
	for part := head; ; {
		x.extendWriteDeadline()
		if _, err := x.w.Write(part); err != nil {
			return errClientGone
		}
		n, err := a.Body.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			c.recordAnswer(sycclaim.Answer{Status: a.StatusCode})
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
}

// copyHeaders copies to the client's response those headers of a service that may
// be passed on.
func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	for name, values := range sycproxy.FilterResponseHeader(from) {
		h[name] = values
	}
}
