// Package syclist is the HTTP client of the platform's list of VMs. The list lags
// behind, so a listed VM may be gone and an unlisted VM may run.
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
	// Live is the state of a VM that serves requests.
	Live = "live"
	// Leaving is the state of a VM that drains before it stops.
	Leaving = "leaving"
)

// maxResponse is the largest part of a response body that is read, in bytes.
const maxResponse = 4 << 20

// VM is an entry of the list.
type VM struct {
	// ID identifies the entry. It is the VM's peer address.
	ID string `json:"id"`
	// Address is the VM's peer address: the IP number and port at which other VMs
	// call it.
	Address string `json:"address"`
	// FailureDomain is the name of the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// List is the list of VMs as it was at a time in the past.
type List struct {
	// AsOf is that time, given by the platform.
	AsOf time.Time `json:"as_of"`
	// VMs has the entries.
	VMs []VM `json:"vms"`
}

// StatusError reports a response whose status isn't 2xx.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("VM list: status %d", e.Status) }

// Options configures a Client.
type Options struct {
	// Address is the list's base URL, without a trailing slash.
	Address string
	// Timeout limits one HTTP request; 0 stands for 2 seconds.
	Timeout time.Duration
	// Transport makes the HTTP requests. If nil, the client has a transport of
	// its own.
	Transport http.RoundTripper
}

// Client reads and changes the list. It is safe for concurrent use. It doesn't
// retry failed requests, because its callers repeat theirs periodically.
type Client struct {
	options Options
	http    *http.Client
	// ownTransport is nil if Options.Transport is set.
	ownTransport *http.Transport
}

// New returns a client. It makes no request to the platform.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	c := &Client{options: o}
	if o.Transport == nil {
		c.ownTransport = &http.Transport{IdleConnTimeout: time.Minute}
		o.Transport = c.ownTransport
	}
	c.http = &http.Client{Transport: o.Transport, Timeout: o.Timeout}
	return c
}

// Close closes the idle connections, unless Options.Transport was set.
func (c *Client) Close() error {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
	return nil
}

// List returns the list that the platform serves now. List.AsOf says how old it is.
func (c *Client) List(ctx context.Context) (List, error) {
	var list List
	err := c.send(ctx, http.MethodGet, "/v1/vms", nil, &list)
	return list, err
}

// Put adds an entry, or replaces the entry with the same ID.
func (c *Client) Put(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return eris.Wrap(err, "syclist: put")
	}
	return c.send(ctx, http.MethodPut, "/v1/vms/"+url.PathEscape(vm.ID), body, nil)
}

// Delete removes the entry with the given ID.
func (c *Client) Delete(ctx context.Context, id string) error {
	return c.send(ctx, http.MethodDelete, "/v1/vms/"+url.PathEscape(id), nil, nil)
}

// send makes one HTTP request and decodes the JSON body of the response into out,
// unless out is nil.
func (c *Client) send(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.options.Address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "syclist: request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "syclist: send")
	}
	defer response.Body.Close()
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return &StatusError{Status: response.StatusCode}
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(out), "syclist: response")
}
