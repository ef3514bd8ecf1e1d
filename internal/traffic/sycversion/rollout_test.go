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
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

const (
	// rolloutTimeout limits the wait for a rollout's last record.
	rolloutTimeout = 5 * time.Minute
	// longDeadline is a rollout deadline that is met even on a slow machine. It is for
	// rollouts that must be done, or be rolled back because of their version's faults.
	longDeadline = 4 * time.Minute
	// shortDeadline is a rollout deadline for tests that wait until it has passed.
	shortDeadline = 25 * time.Second
	// firstRunRequests is the number of requests in the first run of traffic.
	firstRunRequests = 400
	// laterRunRequests is the number of requests in each later run. It is small so that
	// the last run ends soon after the rollout.
	laterRunRequests = 120
	// maxFaultyShare is the largest fraction of all requests that a faulty version may get.
	maxFaultyShare = 0.1
	// engineSpeed makes the simulated engines faster to keep runs short. First tokens
	// still take several times as long as the delays of a busy machine.
	engineSpeed = 4
)

// siteSemaphore limits the sites that run at a time.
var siteSemaphore = make(chan struct{}, maxSites)

// site is a deployment of routers, engines and the platform on this machine. Its VMs run in
// this process unless the options name a router binary.
type site struct {
	*sycdeploy.Deployment
	// workload generates the requests.
	workload sycload.Workload
	// requests is the number of requests in the first run of traffic.
	requests int
	// adapters maps the names of weights to the adapter that must be used with them.
	adapters map[string]string
}

// newSite starts a site with fast engines.
func newSite(t *testing.T) *site {
	t.Helper()
	return newSiteOf(t, sycdeploy.Options{Engine: sycengine.Options{Speed: engineSpeed}})
}

// newSiteOf starts a site with the workload and the seed of these tests. It first waits until
// fewer than maxSites sites run.
func newSiteOf(t *testing.T, o sycdeploy.Options) *site {
	t.Helper()
	siteSemaphore <- struct{}{}
	t.Cleanup(func() { <-siteSemaphore })
	workload, ok := sycload.FindWorkload("bottlers")
	must.True(t, ok)
	o.Workload = workload
	o.Seed = 7
	d, err := sycdeploy.New(t.Context(), o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	return &site{Deployment: d, workload: workload, requests: firstRunRequests}
}

// publish starts the rollout of a second version with a deadline.
func publish(t *testing.T, site *site, deadline time.Duration) {
	t.Helper()
	_, err := site.Publish(t.Context(), sycdeploy.Put(sycrecord.KindVersion, "second", sycrecord.VersionFields{
		Model:    sycdeploy.Model,
		Weights:  "w2",
		Deadline: time.Now().Add(deadline),
		Canary:   0.1,
		Steps:    []float64{0.5, 1},
		Bake:     sycrecord.Duration(2 * time.Second),
	}))
	must.NoError(t, err)
}

// sendTraffic sends runs of requests until the rollout has ended, and returns its final record.
// There is no fixed number of runs: a stage ends after a number of requests, and how fast they
// are served depends on the machine.
func sendTraffic(t *testing.T, site *site, urls []string) sycrecord.RolloutFields {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), rolloutTimeout)
	defer cancel()
	requests := site.requests
	for seed := uint64(7); ; seed++ {
		result, err := sycload.Run(ctx, sycload.Options{
			Workload:    site.workload,
			Routers:     urls,
			Keys:        site.Keys(),
			Model:       sycdeploy.Model,
			Adapters:    site.adapters,
			Seed:        seed,
			Duration:    rolloutTimeout,
			RateFactor:  3,
			MaxRequests: requests,
		})
		must.NoError(t, err)
		must.Zero(t, result.Total.Wrong, must.Sprint(result.Faults))
		if last, ended := finalRecord(site); ended {
			return last
		}
		must.NoError(t, ctx.Err(), must.Sprint("the rollout has not ended"))
		requests = laterRunRequests
	}
}

// finalRecord returns the rollout's first record that is done or rolled back, and whether there
// is one.
func finalRecord(site *site) (sycrecord.RolloutFields, bool) {
	for _, r := range site.RolloutRecords() {
		state := r.Fields().State
		if state == sycrollout.StateDone || state == sycrollout.StateRolledBack {
			return r.Fields(), true
		}
	}
	return sycrecord.RolloutFields{}, false
}

// countRequests returns the number of requests that engines received for the second version,
// and that of all requests.
func countRequests(site *site) (second, all int) {
	for _, e := range site.Engines() {
		for _, r := range e.Requests() {
			all++
			if r.Weights == "w2" {
				second++
			}
		}
	}
	return second, all
}

// TestRolloutEnds rolls out a good version, faulty ones, and one whose weights can't be loaded.
// Only the good one may be done, and the others may get few requests.
func TestRolloutEnds(t *testing.T) {
	t.Parallel()
	failing := func(f sycengine.Failure) func(*site) {
		return func(site *site) {
			for _, e := range site.Engines() {
				e.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{f}})
			}
		}
	}
	tests := []struct {
		name     string
		fault    func(site *site)
		deadline time.Duration
		state    string
	}{
		{"good", func(*site) {}, longDeadline, sycrollout.StateDone},
		{"fails", failing(sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeError}), longDeadline, sycrollout.StateRolledBack},
		{"interrupted responses", failing(sycengine.Failure{Weights: "w2", Share: 0.5, Mode: sycengine.ModeCut}), longDeadline, sycrollout.StateRolledBack},
		{"slow", failing(sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeSlow, Factor: 8}), longDeadline, sycrollout.StateRolledBack},
		{"weight store unavailable", func(site *site) {
			site.Platform().SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Out: true}})
		}, shortDeadline, sycrollout.StateRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			site := newSite(t)
			tt.fault(site)
			publish(t, site, tt.deadline)
			last := sendTraffic(t, site, site.URLs())
			must.Eq(t, tt.state, last.State, must.Sprint(last.Reason, last.Evidence))
			second, all := countRequests(site)
			t.Logf("%s: %d of %d requests went to the version; %s %v", last.State, second, all, last.Reason, last.Evidence)
			if tt.state == sycrollout.StateRolledBack {
				must.LessEq(t, maxFaultyShare, float64(second)/float64(max(all, 1)))
			}
		})
	}
}

// leader waits until a router leads rollouts, and returns it.
func (s *site) leader(t *testing.T) *sycdeploy.Router {
	t.Helper()
	for {
		for _, r := range s.Routers() {
			if status, ok := r.Status(t.Context()); ok && status.Leads() {
				return r
			}
		}
		must.NoError(t, t.Context().Err())
		time.Sleep(50 * time.Millisecond)
	}
}
