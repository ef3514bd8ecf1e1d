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

// Limits of requests to VMs.
const (
	// statusTimeout limits one request for a VM's status.
	statusTimeout = 2 * time.Second
	// statusPoll is the time between two polls of the VMs by Await.
	statusPoll = 100 * time.Millisecond
	// maxStatus limits the size of a status, in bytes; the rest is cut off.
	maxStatus = 64 << 20
)

// VMStatus is the part of a VM's status that operators' commands use.
type VMStatus struct {
	// Address is the address that other VMs reach the VM at, which is its ID.
	Address string `json:"address"`
	// Incarnation is a random ID that the VM chose when it started.
	Incarnation string `json:"incarnation"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Ready reports whether the VM can serve requests.
	Ready bool `json:"ready"`
	// Why is the reason why the VM isn't ready.
	Why string `json:"why"`
	// Applied maps the name of each stream to the offset after the last applied record.
	Applied map[string]uint64 `json:"applied"`
	// Members are the other VMs that have recently replied to the VM.
	Members []MemberStatus `json:"members"`
	// Leads is set if the VM holds the lease to lead rollouts.
	Leads bool `json:"leads_rollouts"`
	// Streams show how the VM follows the streams of the log.
	Streams []sycstate.StreamStatus `json:"streams"`
	// Endpoints are all endpoints, as the VM knows them.
	Endpoints []EndpointStatus `json:"endpoints"`
	// Rollouts are the rollouts that the VM knows.
	Rollouts []RolloutStatus `json:"rollouts"`
	// Shares shows the fraction of every customer's rate that accrues on the VM.
	Shares RateStatus `json:"shares"`
}

// EndpointStatus is an endpoint's state as a VM knows it.
type EndpointStatus struct {
	// Name is the endpoint's name.
	Name string `json:"name"`
	// Health is one of the states of package sychealth, such as "healthy" or "out".
	Health string `json:"health"`
	// Reason is why the endpoint's health is in this state.
	Reason string `json:"reason"`
	// InFlight is the number of the VM's requests at the endpoint.
	InFlight int `json:"in_flight"`
	// Load estimates the number of all VMs' requests at the endpoint.
	Load int `json:"load"`
}

// RolloutStatus is a rollout of a model version that is neither done nor rolled back.
type RolloutStatus struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the name of the version that is rolled out.
	Version string `json:"version"`
	// State is the state of the rollout, one of the states of package sycrollout.
	State string `json:"state"`
	// Share is the version's traffic share, from 0 to 1.
	Share float64 `json:"share"`
	// Reason is why the rollout is in this state.
	Reason string `json:"reason"`
	// Waiting is what the rollout waits for. Only the VM that leads rollouts knows it.
	Waiting string `json:"waiting_for"`
	// Veto is the fault for which the VM sends no more requests to the version, or empty if
	// there is none.
	Veto string `json:"veto"`
}

// RateStatus shows the fraction of every customer's rate that accrues on a VM. A rate slot
// is a named fraction of every customer's rate and burst, which the VM that holds it accrues.
type RateStatus struct {
	// Fraction is the fraction of every customer's rate and burst, from 0 to 1.
	Fraction float64 `json:"fraction"`
	// Slots are the names of the rate slots that the VM holds.
	Slots []string `json:"slots"`
	// Waiting is set while a slot doesn't accrue in full, because other VMs haven't reported
	// yet that they have applied the records that give it to the VM.
	Waiting bool `json:"slot_waits_for_reports"`
}

// MemberStatus is another VM's state, from its last reply to a VM.
type MemberStatus struct {
	// Address is the other VM's address.
	Address string `json:"address"`
	// FailureDomain is the other VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Leaving is set if the other VM is about to stop.
	Leaving bool `json:"leaving"`
	// Applied maps the name of each stream to the offset after the last record that the
	// other VM has applied.
	Applied map[string]uint64 `json:"applied"`
}

// StatusError reports a response of a VM with an HTTP status other than 200.
type StatusError struct {
	// URL is the base URL of the VM's listener for operators.
	URL string
	// Status is the HTTP status.
	Status int
}

// Error names the VM and the status.
func (e *StatusError) Error() string {
	if e.Status == http.StatusUnauthorized {
		return e.URL + ": the operators' token is missing or wrong"
	}
	return fmt.Sprintf("%s: status %d", e.URL, e.Status)
}

// StatusClient fetches the status of VMs from their listeners for operators.
type StatusClient struct {
	// http sends the requests.
	http *http.Client
	// token is the operators' token that is sent with each request; none if empty.
	token string
}

// NewStatusClient returns a client that sends the operators' token, or none if it is empty.
func NewStatusClient(token string) *StatusClient {
	return &StatusClient{
		http:  &http.Client{Timeout: statusTimeout, Transport: &http.Transport{}},
		token: token,
	}
}

// Close closes the idle connections to VMs.
func (c *StatusClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// RawStatus fetches a VM's status and returns it as the VM sent it. It doesn't check that
// it is JSON.
func (c *StatusClient) RawStatus(ctx context.Context, url string) (json.RawMessage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(url, "/")+"/v1/status", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "sycpublish: request")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
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

// Status fetches a VM's status from its listener for operators at a base URL.
func (c *StatusClient) Status(ctx context.Context, url string) (VMStatus, error) {
	data, err := c.RawStatus(ctx, url)
	if err != nil {
		return VMStatus{}, err
	}
	var status VMStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return VMStatus{}, eris.Wrapf(err, "sycpublish: status of %s", url)
	}
	return status, nil
}

// Await waits until the VMs at the given URLs, and all members that they know and that
// aren't leaving, have applied a stream up to the offset next. If ctx ends first, the error
// is a *NotAppliedError.
func (c *StatusClient) Await(ctx context.Context, urls []string, stream string, next uint64) error {
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		missing := c.notApplied(ctx, urls, stream, next)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &NotAppliedError{VMs: missing}
		}
	}
}

// NotAppliedError lists the VMs that aren't known to have applied a record.
type NotAppliedError struct {
	// VMs names each VM with the offset that it has applied or the error of asking it.
	VMs []string
}

// Error lists the VMs.
func (e *NotAppliedError) Error() string {
	return "not known to be in force on " + strings.Join(e.VMs, ", ")
}

// notApplied returns the VMs among those at the URLs and their members that aren't known to
// have applied a stream up to the offset next, each with the reason.
func (c *StatusClient) notApplied(ctx context.Context, urls []string, stream string, next uint64) []string {
	var list []string
	for _, url := range urls {
		status, err := c.Status(ctx, url)
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
