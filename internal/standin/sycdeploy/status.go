package sycdeploy

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// pollPeriod is the time between two checks of a condition that pollUntil waits for.
	pollPeriod = 50 * time.Millisecond
	// configStream is the name of the log's stream that operators publish the
	// configuration to.
	configStream = "config"
	// systemStream is the name of the log's stream that VMs append their own records to,
	// such as leases and rollouts.
	systemStream = "system"
)

// Status holds the fields of a router's /v1/status response that tests and benchmarks
// use.
type Status struct {
	// Incarnation identifies one run of the router; it changes at each restart.
	Incarnation string `json:"incarnation"`
	// Applied maps the name of a log stream to the offset after the last record that
	// the router has applied.
	Applied       map[string]uint64 `json:"applied"`
	LeadsRollouts bool              `json:"leads_rollouts"`
	RateSlots     RateSlots         `json:"shares"`
}

// RateSlots describes the rate slots that a VM has: its fractions of every customer's
// rate.
type RateSlots struct {
	// Fraction is the fraction of every customer's rate that the VM may grant, from 0
	// to 1.
	Fraction float64 `json:"fraction"`
	// Slots lists the names of the rate slots.
	Slots []string `json:"slots"`
}

// Leads reports whether the router is the leader, which controls the rollouts.
func (s Status) Leads() bool { return s.LeadsRollouts }

// ConfigOffset returns the offset after the last configuration record that the router
// has applied.
func (s Status) ConfigOffset() uint64 { return s.Applied[configStream] }

// Status requests the router's status. It returns false if the router doesn't respond
// with 200 and a valid status.
func (r *Router) Status(ctx context.Context) (Status, bool) {
	var s Status
	response, err := r.get(ctx, "/v1/status")
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&s)
	return s, err == nil && response.StatusCode == http.StatusOK
}

// AwaitReady waits until the router's readiness check succeeds. It fails if the router
// or the context ends first.
func (r *Router) AwaitReady(ctx context.Context) error {
	return r.pollUntil(ctx, func() bool { return r.ready(ctx) })
}

// pollUntil calls holds repeatedly until it returns true. It fails if the router or
// the context ends first.
func (r *Router) pollUntil(ctx context.Context, holds func() bool) error {
	for !holds() {
		if !r.Running() {
			return eris.Errorf("router %s ended", r.name)
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "router %s", r.name)
		}
	}
	return nil
}

// ready reports whether the router's readiness check responds with 200.
func (r *Router) ready(ctx context.Context) bool {
	response, err := r.get(ctx, "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// get sends a GET request to the router's address for operators.
func (r *Router) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.OperatorURL()+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}
