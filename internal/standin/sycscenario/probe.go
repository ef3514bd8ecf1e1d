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
	// probeTimeout limits one probe: a booking that a step sends by itself.
	probeTimeout = time.Minute
	// awaitTimeout limits how long waitFor waits for a condition.
	awaitTimeout = 45 * time.Second
	// awaitPoll is the time between two checks of the condition.
	awaitPoll = 50 * time.Millisecond
	// loadSeed is added to the run's seed to get the seed of the loads that steps send.
	loadSeed = 1000
)

// sendLoad sends a step's load in addition to the run's load and adds its result to
// run.loads. The seeds of the two loads differ, so that both never send the same prompt or
// book the same slot.
func (r *run) sendLoad(ctx context.Context, o sycload.Options) (sycload.Result, error) {
	o.Seed = r.seed + loadSeed
	o.Keys = r.Keys()
	o.BookPath = sycdeploy.BookPath
	result, err := sycload.Run(ctx, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, result)
	return result, err
}

// waitFor calls holds repeatedly until it returns true. It returns false if that takes
// longer than awaitTimeout or the context ends first.
func waitFor(ctx context.Context, holds func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !holds(ctx) {
		if !sycpause.For(ctx, awaitPoll) {
			return false
		}
	}
	return true
}

// bookingBody is the JSON body of a booking request.
type bookingBody struct {
	Slot string `json:"slot"`
}

// book sends a booking of a slot to one VM, with the slot as its idempotency key, and
// returns the result as the caller sees it. Refused means that the VM's response says that
// the booking wasn't run.
func (r *run) book(ctx context.Context, router *sycdeploy.Router, customer, slot string) sycload.ExchangeFields {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	fields := sycload.ExchangeFields{Customer: customer, Planned: time.Now(), Slot: slot, Verdict: sycload.Failed}
	body, _ := json.Marshal(bookingBody{Slot: slot})
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

// addProbe records the result of a booking that a step sent by itself.
func (r *run) addProbe(f sycload.ExchangeFields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes = append(r.probes, sycload.NewExchange(f))
}
