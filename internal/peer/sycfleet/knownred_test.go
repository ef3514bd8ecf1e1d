//go:build knownred

package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
)

// TestKnownRedRolloutRequestedAgain guards against a second request to roll out a release that was rolled back, which ends at once by the state of the first.
func TestKnownRedRolloutRequestedAgain(t *testing.T) {
	f := newNetwork(t, 1).vms[0]
	f.startRollout(time.Minute, request, sycfeed.Position{Offset: 1})
	f.statuses[request.Service] = publishedStatus{RolloutReport: reportOf(sycrelease.RolledBack)}
	f.applyStatus(f.statuses[request.Service])
	must.Eq(t, sycrelease.RolledBack, f.rollouts[request.Service].move.State())
	f.startRollout(2*time.Minute, request, sycfeed.Position{Offset: 2})
	must.Eq(t, sycrelease.Running, f.rollouts[request.Service].move.State())
}

// TestKnownRedRolloutTimeLimit guards against a holder of the duties that counts a rollout's time limit from its own start.
func TestKnownRedRolloutTimeLimit(t *testing.T) {
	n := newNetwork(t, 2)
	n.vms[0].startRollout(n.now, request, sycfeed.Position{Offset: 1})
	n.run(request.TimeLimit / 2)
	n.restart(1).startRollout(n.now, request, sycfeed.Position{Offset: 1})
	n.run(request.TimeLimit / 2)
	for i, f := range n.vms {
		f.options.Log = &reportLog{}
		f.rolloutTick(n.now, true)
		must.NotEq(t, sycrelease.Running, f.rollouts[request.Service].move.State(), must.Sprintf("VM %d", i))
	}
}
