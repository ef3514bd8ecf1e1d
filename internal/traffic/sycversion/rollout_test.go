package sycversion_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycsite"
)

const (
	// outcomeTimeout bounds the wait for a rollout's last record.
	outcomeTimeout = 60 * time.Second
	// trafficRequests is the number of requests of each run.
	trafficRequests = 500
	// mostBad is the largest share of all requests that a version which is bad
	// from the start may get.
	mostBad = 0.1
)

func newSite(t *testing.T) *sycsite.Site {
	t.Helper()
	workload, ok := sycload.FindWorkload("bottlers")
	must.True(t, ok)
	site, err := sycsite.New(t.Context(), sycsite.Options{Workload: workload, Speed: 8, Seed: 7})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, site.Close()) })
	return site
}

func publish(t *testing.T, site *sycsite.Site, deadline time.Duration) {
	t.Helper()
	must.NoError(t, site.Publish(t.Context(), sycsite.Record{
		Kind: sycrecord.KindVersion,
		Name: "second",
		Fields: sycrecord.VersionFields{
			Model:    sycsite.Model,
			Weights:  "w2",
			Deadline: time.Now().Add(deadline),
			Canary:   0.1,
			Steps:    []float64{0.5, 1},
			Bake:     sycrecord.Duration(2 * time.Second),
		},
	}))
}

// drive sends traffic, waits until the rollout has ended and returns its last record.
func drive(t *testing.T, site *sycsite.Site) (sycrecord.RolloutFields, sycload.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), outcomeTimeout)
	defer cancel()
	result, err := sycload.Run(ctx, sycload.Options{
		Workload:    site.Workload(),
		Routers:     site.Routers(),
		Keys:        site.Keys(),
		Model:       sycsite.Model,
		Seed:        7,
		Duration:    outcomeTimeout,
		RateFactor:  3,
		MaxRequests: trafficRequests,
	})
	must.NoError(t, err)
	return waitOutcome(ctx, site), result
}

func waitOutcome(ctx context.Context, site *sycsite.Site) sycrecord.RolloutFields {
	for {
		for _, r := range site.Outcomes() {
			state := r.Fields().State
			if state == sycrollout.StateDone || state == sycrollout.StateRolledBack {
				return r.Fields()
			}
		}
		select {
		case <-ctx.Done():
			return sycrecord.RolloutFields{}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func requests(site *sycsite.Site) (bad, all int) {
	for _, e := range site.Engines() {
		for _, r := range e.Requests() {
			all++
			if r.Weights == "w2" {
				bad++
			}
		}
	}
	return bad, all
}

func TestRolloutEnds(t *testing.T) {
	failing := func(f sycengine.Failure) func(*sycsite.Site) {
		return func(site *sycsite.Site) {
			for _, e := range site.Engines() {
				e.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{f}})
			}
		}
	}
	tests := []struct {
		name  string
		fault func(site *sycsite.Site)
		state string
	}{
		{"good", func(*sycsite.Site) {}, sycrollout.StateDone},
		{"fails", failing(sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeError}), sycrollout.StateRolledBack},
		{"breaks off", failing(sycengine.Failure{Weights: "w2", Share: 0.5, Mode: sycengine.ModeCut}), sycrollout.StateRolledBack},
		{"slow", failing(sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeSlow, Factor: 8}), sycrollout.StateRolledBack},
		{"weight store is out", func(site *sycsite.Site) {
			site.Platform().SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Out: true}})
		}, sycrollout.StateRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			site := newSite(t)
			tt.fault(site)
			publish(t, site, 25*time.Second)
			last, result := drive(t, site)
			must.Eq(t, tt.state, last.State, must.Sprint(last.Reason))
			must.Zero(t, result.Total.Wrong, must.Sprint(result.Faults))
			bad, all := requests(site)
			t.Logf("%s: %d of %d requests went to the version; %s", last.State, bad, all, last.Reason)
			if tt.state == sycrollout.StateRolledBack {
				must.LessEq(t, mostBad, float64(bad)/float64(max(all, 1)))
			}
		})
	}
}
