// Package sycorder is a client for the engines' control API. It reads load reports and
// sends orders, which are commands to load or drop weights or adapters, or to change
// an engine's role.
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

// Timeout limits each request to an engine.
const Timeout = 2 * time.Second

// The states of weights on an engine.
const (
	// Ready means that the engine can run requests on the weights.
	Ready = "ready"
	// Loading means that the engine is still loading the weights.
	Loading = "loading"
)

// Weights describes one version of a model's weights on an engine.
type Weights struct {
	Model string `json:"model"`
	// Weights is the version of the weights.
	Weights string `json:"weights"`
	// State is Ready, Loading or another state, such as "failed".
	State string `json:"state"`
	// Adapters names the adapters that are loaded for the weights.
	Adapters []string `json:"adapters"`
}

// Report holds those fields of an engine's load report that decide which orders are
// sent to it.
type Report struct {
	// Incarnation is an id that changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	// Weights lists the weights that the engine has or is loading.
	Weights []Weights `json:"weights"`
	// Role is the engine's current role, such as prefill.
	Role string `json:"role"`
	// Fence is the highest fencing number that the engine has received.
	Fence uint64 `json:"fence"`
}

// Order is a command to an engine, which states the result to reach. Sending it more
// than once has the same effect as sending it once.
type Order struct {
	// ID identifies the order in messages and logs.
	ID string `json:"id"`
	// Fence is the fencing number: the offset of the sender's lease in the log.
	// The engine rejects an order if it has received a higher number.
	Fence uint64 `json:"fence"`
	// Kind is one of the order kinds of package sycrollout, such as "load".
	Kind string `json:"kind"`
	// Model is the model that the weights belong to.
	Model string `json:"model,omitempty"`
	// Weights is the version of the weights to load or drop, or which the adapter
	// belongs to.
	Weights string `json:"weights,omitempty"`
	// Adapter is the adapter to load or drop.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role to change to.
	Role string `json:"role,omitempty"`
}

// FencedError reports that an engine rejected an order because it had received a
// higher fencing number, so the sender no longer holds the lease.
type FencedError struct {
	// highest is the engine's fencing number.
	highest uint64
}

// Highest returns the highest fencing number that the engine has received.
func (e *FencedError) Highest() uint64 { return e.highest }

// Error returns a message with the engine's fencing number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the engine has received a higher fencing number: %d", e.highest)
}

// Client sends requests to the engines' control API.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connections, which dial opens. It keeps at
// most one idle connection to each engine.
func NewClient(dial sycdial.Func) *Client {
	return &Client{http: &http.Client{Timeout: Timeout, Transport: sycdial.Transport(dial, 1)}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Report returns an engine's load report. address is the engine's base URL.
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

// Send sends an order to the engine with the base URL address. It returns a
// *FencedError if the engine has received a higher fencing number. After any other
// error, the engine may have accepted the order.
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
		return fencedError(response)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("engine %s: order %s: status %d", address, order.ID, response.StatusCode)
	}
	return nil
}

// fencedError returns the *FencedError that an engine's response describes.
func fencedError(response *http.Response) error {
	var body struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return eris.Wrap(err, "answer to an order")
	}
	return &FencedError{highest: body.Fence}
}
