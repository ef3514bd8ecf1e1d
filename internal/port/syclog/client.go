// Package syclog is the HTTP client of the platform's append-only log.
//
// The log has several streams, each with a name. A stream is a sequence of records
// with consecutive offsets, from which the log may drop the oldest ones.
package syclog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

// MaxRecord is the size of the largest record that the log accepts, in bytes.
const MaxRecord = 256 << 10

// maxResponse is the largest part of a response body that is read, in bytes.
const maxResponse = 64 << 20

// maxMessage is the largest part of an error response's body that is kept as
// RefusedError.Message, in bytes.
const maxMessage = 512

// Entry is a record to append to a stream.
type Entry struct {
	// ID identifies the record. It's chosen by the caller, so that readers can
	// recognise a record that was appended twice.
	ID string `json:"id"`
	// Data is the record's content in JSON.
	Data json.RawMessage `json:"data"`
}

// Record is a record in the log.
type Record struct {
	// Offset is the position in the stream.
	Offset uint64 `json:"offset"`
	// ID is the ID of the appended Entry.
	ID string `json:"id"`
	// Time is when the log appended the record.
	Time time.Time `json:"time"`
	// Data is the record's content in JSON.
	Data json.RawMessage `json:"data"`
}

// Page is the result of a read: some records of a stream, and the stream's limits.
type Page struct {
	// First is the offset of the oldest record that the log still has.
	First uint64 `json:"first"`
	// Next is the offset after the newest record of the stream.
	Next uint64 `json:"next"`
	// Records are the records read, in order and without gaps.
	Records []Record `json:"records"`
}

// Options configures a Client. A zero field stands for its default, except Address,
// which is required.
type Options struct {
	// Address is the log's base URL, without a trailing slash.
	Address string
	// Timeout limits one HTTP request. A read that may wait for records has its
	// wait in addition.
	Timeout time.Duration
	// Tries is the largest number of HTTP requests for one Append.
	Tries int
	// Backoff is the longest random wait before the second HTTP request of an
	// Append. The longest wait doubles with each further request.
	Backoff time.Duration
	// MaxBackoff is the limit of that doubling. A wait that the log asks for
	// with Retry-After comes on top.
	MaxBackoff time.Duration
	// Transport makes the HTTP requests. If nil, the client has a transport of
	// its own.
	Transport http.RoundTripper
}

// Defaults sets the fields that are zero to their defaults.
func (o *Options) Defaults() {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Tries == 0 {
		o.Tries = 3
	}
	if o.Backoff == 0 {
		o.Backoff = 100 * time.Millisecond
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = 2 * time.Second
	}
}

// Client appends records to the log and reads them. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// ownTransport is nil if Options.Transport is set.
	ownTransport *http.Transport
}

// New returns a client. It makes no request to the log.
func New(o Options) *Client {
	o.Defaults()
	c := &Client{options: o}
	if o.Transport == nil {
		c.ownTransport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}
		o.Transport = c.ownTransport
	}
	c.http = &http.Client{Transport: o.Transport}
	return c
}

// Close closes the idle connections, unless Options.Transport was set.
func (c *Client) Close() error {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
	return nil
}

// Append appends entries to a stream at consecutive offsets and returns the first
// offset. It retries only if the log certainly didn't append the entries. The error
// is *LostError if the log may have appended them, *UnavailableError if it didn't
// and the last try failed, and *RefusedError if it refused them.
func (c *Client) Append(ctx context.Context, stream string, entries ...Entry) (uint64, error) {
	body, err := json.Marshal(struct {
		Records []Entry `json:"records"`
	}{entries})
	if err != nil {
		return 0, eris.Wrap(err, "syclog: append")
	}
	var reply struct {
		First uint64 `json:"first_offset"`
	}
	err = c.retry(ctx, func() error {
		return c.send(ctx, request{stream: stream, method: http.MethodPost, body: body, timeout: c.options.Timeout}, &reply)
	})
	return reply.First, err
}

// Read returns up to limit records of a stream, from the offset from on. If there
// are none yet, the log waits for one for up to the given time. The error is
// *UnavailableError or *RefusedError. Read doesn't retry.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from": {strconv.FormatUint(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	var page Page
	err := c.send(ctx, request{
		stream:  stream,
		method:  http.MethodGet,
		query:   query.Encode(),
		timeout: c.options.Timeout + wait,
	}, &page)
	return page, err
}

// request is one HTTP request to the log.
type request struct {
	stream string
	method string
	// query is the encoded query of the URL, without the question mark.
	query string
	// body is the JSON body, nil if there's none.
	body []byte
	// timeout limits the time until the response is read.
	timeout time.Duration
}

// noResponse returns the error of a request without a usable response. A read has
// no effect, and neither has a request that wasn't sent because the dial failed.
// Other requests may have had an effect.
func (r request) noResponse(err error) error {
	var dial *net.OpError
	unsent := errors.As(err, &dial) && dial.Op == "dial"
	if r.method == http.MethodGet || unsent {
		return &UnavailableError{Stream: r.stream, Err: err}
	}
	return &LostError{Stream: r.stream, Err: err}
}

// send sends a request and decodes the JSON body of the response into out.
func (c *Client) send(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target := c.options.Address + "/v1/log/" + url.PathEscape(r.stream)
	if r.query != "" {
		target += "?" + r.query
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return eris.Wrap(err, "syclog: request")
	}
	if r.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	// Without GetBody the transport can't resend an append by itself, which could
	// append the entries twice.
	httpRequest.GetBody = nil
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return r.noResponse(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return r.statusError(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(out); err != nil {
		return r.noResponse(err)
	}
	return nil
}

// statusError returns the error of a response whose status isn't 200. With status 429 or
// 503 the request had no effect. With any other status from 500 on, an append may have had
// one. With a lower status the log refused the request.
func (r request) statusError(response *http.Response) error {
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{
			Stream:     r.stream,
			Status:     response.StatusCode,
			RetryAfter: retryAfter(response),
		}
	case response.StatusCode >= http.StatusInternalServerError:
		return r.noResponse(eris.Errorf("status %d", response.StatusCode))
	}
	return &RefusedError{Stream: r.stream, Status: response.StatusCode, Message: string(message)}
}

// retryAfter returns the wait given in seconds by the header Retry-After. It returns
// 0 if the header is missing, isn't a number of seconds, or is more than an hour.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// retry repeats f while its error is *UnavailableError, up to Options.Tries times.
// Between tries it waits for as long as Retry-After says, plus a wait with full
// jitter.
func (c *Client) retry(ctx context.Context, f func() error) error {
	for try := 1; ; try++ {
		err := f()
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || try == c.options.Tries {
			return err
		}
		wait := Jitter(c.options.Backoff, c.options.MaxBackoff, try)
		if !sycpause.For(ctx, wait+unavailable.RetryAfter) {
			return err
		}
	}
}

// maxDoublings limits the doublings in Jitter, so that the shift can't overflow.
const maxDoublings = 16

// Jitter returns a random wait before the next try (backoff with full jitter), given
// the number of tries made. It's drawn uniformly up to a bound, which is base after
// the first try and doubles with each further try up to limit.
func Jitter(base, limit time.Duration, tries int) time.Duration {
	bound := min(limit, base<<min(tries-1, maxDoublings))
	return rand.N(bound + 1)
}
