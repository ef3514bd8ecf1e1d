package sycscenario

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

const (
	// probeTimeout bounds one request of a step.
	probeTimeout = time.Minute
	// awaitTimeout bounds the wait for a state that a step needs.
	awaitTimeout = 45 * time.Second
	awaitPoll    = 50 * time.Millisecond
	// loadSeed is added to the run's seed for the steps' loads.
	loadSeed = 1000
)

// load sends requests of a step's own and adds them to the run's. Its seed differs
// from that of the run's load, so that no prompt or slot is sent by both.
func (r *run) load(ctx context.Context, o sycload.Options) (sycload.Result, error) {
	o.Seed = r.seed + loadSeed
	o.Keys = r.Keys()
	o.BookPath = sycdeploy.BookPath
	result, err := sycload.Run(ctx, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, result)
	return result, err
}

// await polls until the condition holds; it reports false when that takes too long.
func await(ctx context.Context, holds func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !holds(ctx) {
		if !sycpause.For(ctx, awaitPoll) {
			return false
		}
	}
	return true
}

type slotBody struct {
	Slot string `json:"slot"`
}

// book books a slot through one VM and returns what the caller learnt.
func (r *run) book(ctx context.Context, router *sycdeploy.Router, customer, slot string) sycload.ExchangeFields {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	fields := sycload.ExchangeFields{Customer: customer, Planned: time.Now(), Slot: slot, Verdict: sycload.Failed}
	body, _ := json.Marshal(slotBody{Slot: slot})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, router.URL()+sycdeploy.BookPath, bytes.NewReader(body))
	if err != nil {
		fields.Reason = err.Error()
		return fields
	}
	request.Header.Set("Authorization", "Bearer "+r.Keys()[customer])
	request.Header.Set("Idempotency-Key", slot)
	response, err := http.DefaultClient.Do(request)
	fields.Ended = time.Now()
	if err != nil {
		fields.Reason = "no answer: " + err.Error()
		return fields
	}
	defer response.Body.Close()
	fields.Reason = strings.TrimSpace(response.Status)
	switch {
	case response.StatusCode == http.StatusOK:
		fields.Verdict = sycload.Right
	case response.Header.Get("Sycamorecart-Outcome") == "not-run":
		fields.Verdict = sycload.Refused
	}
	return fields
}

// probed adds an exchange to the run's.
func (r *run) probed(f sycload.ExchangeFields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes = append(r.probes, sycload.NewExchange(f))
}
