// Package syclist is the client of the platform's list of VMs. The list lags:
// an entry proves nothing about its VM.
package syclist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// States of a listed VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// maxAnswer bounds the bytes of an answer that are read.
const maxAnswer = 4 << 20

// VM is an entry of the list. Its id is its peer address.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// List is the state of the list at a time in the past.
type List struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// StatusError reports an answer other than success.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("VM list: status %d", e.Status) }

// Options configure a Client.
type Options struct {
	// Address is the list's base URL, without a trailing slash.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Transport carries the calls; nil gives the client one of its own.
	Transport http.RoundTripper
}

// Client calls the list. It is safe for concurrent use and makes each call
// once: callers repeat theirs periodically.
type Client struct {
	options Options
	http    *http.Client
	own     *http.Transport
}

// New returns a client. It makes no call.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	c := &Client{options: o}
	if o.Transport == nil {
		c.own = &http.Transport{IdleConnTimeout: time.Minute}
		o.Transport = c.own
	}
	c.http = &http.Client{Transport: o.Transport, Timeout: o.Timeout}
	return c
}

// Close closes idle connections of the client's own transport.
func (c *Client) Close() error {
	if c.own != nil {
		c.own.CloseIdleConnections()
	}
	return nil
}

// List returns the list as the platform shows it now.
func (c *Client) List(ctx context.Context) (List, error) {
	var list List
	err := c.call(ctx, http.MethodGet, "/v1/vms", nil, &list)
	return list, err
}

// Put adds an entry or replaces the one with its id.
func (c *Client) Put(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return eris.Wrap(err, "syclist: put")
	}
	return c.call(ctx, http.MethodPut, "/v1/vms/"+url.PathEscape(vm.ID), body, nil)
}

// Delete removes an entry.
func (c *Client) Delete(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/v1/vms/"+url.PathEscape(id), nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.options.Address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "syclist: request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "syclist: call")
	}
	defer response.Body.Close()
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return &StatusError{Status: response.StatusCode}
	}
	if answer == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer), "syclist: answer")
}
