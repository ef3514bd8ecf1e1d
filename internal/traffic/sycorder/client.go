// Package sycorder reads the load reports of engines and gives them orders.
package sycorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
)

// Timeout bounds each call to an engine.
const Timeout = 2 * time.Second

// States of weights on an engine.
const (
	Ready   = "ready"
	Loading = "loading"
)

// Weights are weights of a model on an engine.
type Weights struct {
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	State    string   `json:"state"`
	Adapters []string `json:"adapters"`
}

// Report is the part of an engine's load report that orders depend on.
type Report struct {
	Incarnation string    `json:"incarnation"`
	Weights     []Weights `json:"weights"`
	Role        string    `json:"role"`
	Fence       uint64    `json:"fence"`
}

// Order states a target for an engine; repeating it does no harm.
type Order struct {
	ID string `json:"id"`
	// Fence is the offset of the lease under which the order is given.
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// FencedError reports that an engine has seen a newer fencing number.
type FencedError struct {
	highest uint64
}

// Highest is the newest fencing number that the engine has seen.
func (e *FencedError) Highest() uint64 { return e.highest }

// Error names the number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("a newer fencing number is known: %d", e.highest)
}

// Client calls engines.
type Client struct {
	http *http.Client
}

// NewClient returns a client on its own connections, which the function opens.
func NewClient(dial sycdial.Func) *Client {
	return &Client{http: &http.Client{Timeout: Timeout, Transport: sycdial.Transport(dial, 1)}}
}

// Close ends idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Report reads an engine's load report; address is its base URL.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var report Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/load", nil)
	if err != nil {
		return report, eris.Wrapf(err, "engine %s", address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return report, eris.Wrapf(err, "engine %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, eris.Errorf("engine %s: load report: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return report, eris.Wrapf(err, "engine %s: load report", address)
	}
	return report, nil
}

// Send gives an order. It fails with *FencedError when the engine has seen a
// newer fencing number; after any other error the order may have been taken.
func (c *Client) Send(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "engine %s", address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "engine %s: order %s", address, order.ID)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return fenced(response)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("engine %s: order %s: status %d", address, order.ID, response.StatusCode)
	}
	return nil
}

func fenced(response *http.Response) error {
	var answer struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return eris.Wrap(err, "answer to an order")
	}
	return &FencedError{highest: answer.Fence}
}
