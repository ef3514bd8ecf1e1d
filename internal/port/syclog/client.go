// Package syclog is the client of the platform's append-only log.
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

// MaxRecord is the largest record that the log takes, in bytes.
const MaxRecord = 256 << 10

// maxAnswer bounds the bytes of an answer that are read.
const maxAnswer = 64 << 20

// maxMessage bounds the bytes of a refusal's message that are kept.
const maxMessage = 512

// Entry is a record to append. The caller makes the ID, so that a repeated
// append can be recognised.
type Entry struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// Record is a record as the log holds it.
type Record struct {
	Offset uint64          `json:"offset"`
	ID     string          `json:"id"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// First is the oldest offset that the log still keeps.
	First uint64 `json:"first"`
	// Next is the offset after the newest record of the stream.
	Next uint64 `json:"next"`
	// Records are contiguous and ascending.
	Records []Record `json:"records"`
}

// Options configure a Client.
type Options struct {
	// Address is the log's base URL, without a trailing slash.
	Address string
	// Timeout bounds one try, on top of the wait of a long poll.
	Timeout time.Duration
	// Tries bounds the tries of one call.
	Tries int
	// Backoff is the upper bound of the first pause between tries; it doubles
	// up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Transport carries the calls; nil gives the client one of its own.
	Transport http.RoundTripper
}

// Defaults fills the fields that are zero.
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

// Client calls the log. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	own     *http.Transport
}

// New returns a client. It makes no call.
func New(o Options) *Client {
	o.Defaults()
	c := &Client{options: o}
	if o.Transport == nil {
		c.own = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}
		o.Transport = c.own
	}
	c.http = &http.Client{Transport: o.Transport}
	return c
}

// Close closes idle connections of the client's own transport.
func (c *Client) Close() error {
	if c.own != nil {
		c.own.CloseIdleConnections()
	}
	return nil
}

// Append writes entries at consecutive offsets and returns the first. It tries
// again only when the log surely did not take the entries; when it may have,
// the error is *LostError. Other errors are *UnavailableError and *RefusedError.
func (c *Client) Append(ctx context.Context, stream string, entries ...Entry) (uint64, error) {
	body, err := json.Marshal(struct {
		Records []Entry `json:"records"`
	}{entries})
	if err != nil {
		return 0, eris.Wrap(err, "syclog: append")
	}
	var answer struct {
		First uint64 `json:"first_offset"`
	}
	err = c.retry(ctx, func() error {
		return c.call(ctx, call{stream: stream, method: http.MethodPost, body: body, timeout: c.options.Timeout}, &answer)
	})
	return answer.First, err
}

// Read returns records of a stream from an offset on, at most limit. Where there
// are none it waits for one up to the given time. Errors are
// *UnavailableError and *RefusedError.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from": {strconv.FormatUint(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	var page Page
	err := c.call(ctx, call{
		stream:  stream,
		method:  http.MethodGet,
		query:   query.Encode(),
		timeout: c.options.Timeout + wait,
	}, &page)
	return page, err
}

// call is one try.
type call struct {
	stream  string
	method  string
	query   string
	body    []byte
	timeout time.Duration
}

// lost classifies a try without a usable answer. Reads have no effect, and so
// have tries whose connection was never made.
func (t call) lost(err error) error {
	var dial *net.OpError
	unsent := errors.As(err, &dial) && dial.Op == "dial"
	if t.method == http.MethodGet || unsent {
		return &UnavailableError{Stream: t.stream, Err: err}
	}
	return &LostError{Stream: t.stream, Err: err}
}

func (c *Client) call(ctx context.Context, t call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	target := c.options.Address + "/v1/log/" + url.PathEscape(t.stream)
	if t.query != "" {
		target += "?" + t.query
	}
	request, err := http.NewRequestWithContext(ctx, t.method, target, bytes.NewReader(t.body))
	if err != nil {
		return eris.Wrap(err, "syclog: request")
	}
	if t.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	// The transport must not resend an append by itself.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return t.lost(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return t.refusal(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer); err != nil {
		return t.lost(err)
	}
	return nil
}

func (t call) refusal(response *http.Response) error {
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{
			Stream:     t.stream,
			Status:     response.StatusCode,
			RetryAfter: retryAfter(response),
		}
	case response.StatusCode >= http.StatusInternalServerError:
		return t.lost(eris.Errorf("status %d", response.StatusCode))
	}
	return &RefusedError{Stream: t.stream, Status: response.StatusCode, Message: string(message)}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// retry repeats f while its error is *UnavailableError, with full jitter.
func (c *Client) retry(ctx context.Context, f func() error) error {
	for try := 1; ; try++ {
		err := f()
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || try == c.options.Tries {
			return err
		}
		pause := Jitter(c.options.Backoff, c.options.MaxBackoff, try)
		if !sycpause.For(ctx, pause+unavailable.RetryAfter) {
			return err
		}
	}
}

// Jitter returns a uniformly drawn pause before the try after the given number
// of tries; its upper bound doubles with each from base up to limit.
func Jitter(base, limit time.Duration, tries int) time.Duration {
	bound := min(limit, base<<min(tries-1, 16))
	return rand.N(bound + 1)
}
