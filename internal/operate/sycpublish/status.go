package sycpublish

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
)

// Bounds of questions to VMs.
const (
	statusTimeout = 2 * time.Second
	statusPoll    = 100 * time.Millisecond
	maxStatus     = 64 << 20
)

// VMStatus is the part of a VM's status that operators' commands understand.
type VMStatus struct {
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	Why           string `json:"why"`
	// Applied maps streams to the offset after the last applied record.
	Applied map[string]uint64 `json:"applied"`
	// Members are the VMs that this one knows, with what they reported last.
	Members []MemberStatus `json:"members"`
	Leads   bool           `json:"leads_rollouts"`
	// Streams tell how the VM follows the log.
	Streams []sycstate.StreamStatus `json:"streams"`
	// Endpoints and Rollouts are the VM's view of them.
	Endpoints []EndpointStatus `json:"endpoints"`
	Rollouts  []RolloutStatus  `json:"rollouts"`
	Shares    RateStatus       `json:"shares"`
}

// EndpointStatus is a VM's view of an endpoint.
type EndpointStatus struct {
	Name     string `json:"name"`
	Health   string `json:"health"`
	Reason   string `json:"reason"`
	InFlight int    `json:"in_flight"`
	Load     int    `json:"load"`
}

// RolloutStatus is a rollout that is not yet done or rolled back.
type RolloutStatus struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	State   string  `json:"state"`
	Share   float64 `json:"share"`
	Reason  string  `json:"reason"`
	// Waiting is known on the VM that leads rollouts.
	Waiting string `json:"waiting_for"`
	Veto    string `json:"veto"`
}

// RateStatus is the VM's part of every customer's rate.
type RateStatus struct {
	Fraction float64  `json:"fraction"`
	Slots    []string `json:"slots"`
	Waiting  bool     `json:"slot_waits_for_reports"`
}

// MemberStatus is what a VM has heard of another.
type MemberStatus struct {
	Address       string            `json:"address"`
	FailureDomain string            `json:"failure_domain"`
	Leaving       bool              `json:"leaving"`
	Applied       map[string]uint64 `json:"applied"`
}

// StatusError reports an answer other than success.
type StatusError struct {
	URL    string
	Status int
}

// Error names the VM and the status.
func (e *StatusError) Error() string {
	if e.Status == http.StatusUnauthorized {
		return e.URL + ": the operators' token is missing or wrong"
	}
	return fmt.Sprintf("%s: status %d", e.URL, e.Status)
}

// StatusClient asks VMs' operators' listeners.
type StatusClient struct {
	http  *http.Client
	token string
}

// NewStatusClient returns a client that sends a token unless it is empty.
func NewStatusClient(token string) *StatusClient {
	return &StatusClient{
		http:  &http.Client{Timeout: statusTimeout, Transport: &http.Transport{}},
		token: token,
	}
}

// Close closes idle connections.
func (o *StatusClient) Close() error {
	o.http.CloseIdleConnections()
	return nil
}

// RawStatus returns a VM's status as it answered.
func (o *StatusClient) RawStatus(ctx context.Context, url string) (json.RawMessage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(url, "/")+"/v1/status", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "sycpublish: request")
	}
	if o.token != "" {
		request.Header.Set("Authorization", "Bearer "+o.token)
	}
	response, err := o.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "no answer from %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: url, Status: response.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStatus))
	return data, eris.Wrap(err, "sycpublish: status")
}

// Status returns a VM's status.
func (o *StatusClient) Status(ctx context.Context, url string) (VMStatus, error) {
	data, err := o.RawStatus(ctx, url)
	if err != nil {
		return VMStatus{}, err
	}
	var status VMStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return VMStatus{}, eris.Wrapf(err, "sycpublish: status of %s", url)
	}
	return status, nil
}

// Await waits until the VMs at the given URLs, and the members that they know and
// that are not leaving, have applied a stream up to an offset. When the context ends it returns what
// is lacking.
func (o *StatusClient) Await(ctx context.Context, urls []string, stream string, next uint64) error {
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		lacking := o.lacking(ctx, urls, stream, next)
		if len(lacking) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &NotAppliedError{VMs: lacking}
		}
	}
}

// NotAppliedError lists VMs on which a record is not known to be in force.
type NotAppliedError struct {
	VMs []string
}

// Error lists the VMs with what is known of each.
func (e *NotAppliedError) Error() string {
	return "not known to be in force on " + strings.Join(e.VMs, ", ")
}

func (o *StatusClient) lacking(ctx context.Context, urls []string, stream string, next uint64) []string {
	var list []string
	for _, url := range urls {
		status, err := o.Status(ctx, url)
		if err != nil {
			list = append(list, fmt.Sprintf("%s (%v)", url, err))
			continue
		}
		if status.Applied[stream] < next {
			list = append(list, fmt.Sprintf("%s (applied %d of %d)", url, status.Applied[stream], next))
		}
		for _, member := range status.Members {
			if !member.Leaving && member.Applied[stream] < next {
				list = append(list, fmt.Sprintf("%s (applied %d of %d)", member.Address, member.Applied[stream], next))
			}
		}
	}
	return list
}
