package sycdeploy

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// pollPeriod is how often a router is asked while something is awaited.
	pollPeriod = 50 * time.Millisecond
	// configStream is the stream that operators publish to.
	configStream = "config"
	// systemStream is the stream that VMs write to.
	systemStream = "system"
)

// Status is the part of a router's status that deployments look at.
type Status struct {
	Incarnation string `json:"incarnation"`
	// Applied has the offset after the last applied record of each stream.
	Applied       map[string]uint64 `json:"applied"`
	LeadsRollouts bool              `json:"leads_rollouts"`
	RateSlots     RateSlots         `json:"shares"`
}

// RateSlots is a VM's part of every customer's rate.
type RateSlots struct {
	// Fraction is from 0 to 1.
	Fraction float64  `json:"fraction"`
	Slots    []string `json:"slots"`
}

// Leads reports whether the router leads rollouts.
func (s Status) Leads() bool { return s.LeadsRollouts }

// ConfigOffset is the offset after the last applied record of the configuration.
func (s Status) ConfigOffset() uint64 { return s.Applied[configStream] }

// Status asks the router for its status.
func (r *Router) Status(ctx context.Context) (Status, bool) {
	var s Status
	response, err := r.ask(ctx, "/v1/status")
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&s)
	return s, err == nil && response.StatusCode == http.StatusOK
}

// AwaitReady waits until the router says that it may get requests.
func (r *Router) AwaitReady(ctx context.Context) error {
	return r.poll(ctx, func() bool { return r.ready(ctx) })
}

// poll asks until the answer is yes, the router ends or the context does.
func (r *Router) poll(ctx context.Context, ask func() bool) error {
	for !ask() {
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

func (r *Router) ready(ctx context.Context) bool {
	response, err := r.ask(ctx, "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *Router) ask(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.OperatorURL()+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}
