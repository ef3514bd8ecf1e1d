package sycversion_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

const (
	// lateRequests is the number of requests sent after a fault that comes late.
	lateRequests = 400
	// lateRate multiplies their rate. A slow first token must be awaited until it is
	// late, some 400 ms here, and the bound on requests until then is one on their rate.
	lateRate = 2
)

// awaitState waits for a record of the rollout in a state.
func (s *site) awaitState(ctx context.Context, t *testing.T, state string) sycrecord.RolloutFields {
	t.Helper()
	for {
		for _, r := range s.Outcomes() {
			if r.Fields().State == state {
				return r.Fields()
			}
		}
		must.NoError(t, ctx.Err(), must.Sprintf("no record says %s", state))
		time.Sleep(50 * time.Millisecond)
	}
}

// TestFaultAfterDone lets a version become bad after it was recorded as done: it
// must be rolled back, and its predecessor must serve.
func TestFaultAfterDone(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		failure sycengine.Failure
	}{
		{"fails", sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeError}},
		{"slow", sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeSlow, Factor: 24}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			faultAfterDone(t, tt.failure)
		})
	}
}

// faultAfterDone rolls a version out, makes it bad and counts the requests that it
// gets until it is rolled back.
func faultAfterDone(t *testing.T, failure sycengine.Failure) {
	t.Helper()
	site := newSite(t)
	publish(t, site, ample)
	last := drive(t, site, site.URLs())
	must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
	for _, e := range site.Engines() {
		e.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{failure}})
	}
	before, _ := requests(site)
	ctx, cancel := context.WithTimeout(t.Context(), outcomeTimeout)
	defer cancel()
	result, err := sycload.Run(ctx, sycload.Options{
		Workload:    site.workload,
		Routers:     site.URLs(),
		Keys:        site.Keys(),
		Model:       sycdeploy.Model,
		Seed:        8,
		Duration:    outcomeTimeout / 2,
		RateFactor:  lateRate,
		MaxRequests: lateRequests,
	})
	must.NoError(t, err)
	must.Zero(t, result.Total.Wrong, must.Sprint(result.Faults))
	after, _ := requests(site)
	t.Logf("%d of %d requests went to the version after it turned bad", after-before, lateRequests)
	last = site.awaitState(ctx, t, sycrollout.StateRolledBack)
	t.Log(last.Reason)
	must.LessEq(t, mostBad, float64(after-before)/lateRequests)
}
