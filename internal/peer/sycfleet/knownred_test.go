//go:build knownred

package sycfleet

import (
	"context"
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

// TestKnownRedLateStateOfARollout guards against an ended rollout whose published state stays running, because an older write was carried out after the newer one and was read before the newer one's answer came.
func TestKnownRedLateStateOfARollout(t *testing.T) {
	n := newNetwork(t, 1)
	f := n.vms[0]
	log := &reportLog{called: make(chan struct{}, 1), answer: make(chan struct{})}
	f.options.Log = log
	f.startRollout(n.now, request, sycfeed.Position{Offset: 1})
	r := f.rollouts[request.Service]
	r.move.AdoptState(sycrelease.Completed)
	f.publishRollout(n.now, r)
	<-log.called
	f.loop.DoControl(func(time.Duration) { f.applyStatus(publishedStatus{RolloutReport: reportOf(sycrelease.Running)}) })
	log.answer <- struct{}{}
	f.tomb.Kill(nil)
	must.NoError(t, f.tomb.Wait())
	must.NotEq(t, RolloutState(sycrelease.Completed), r.published)
}

// reportOf returns the state of the tests' rollout in the log.
func reportOf(s sycrelease.State) RolloutReport {
	return RolloutReport{Service: request.Service, Release: request.Release, State: RolloutState(s)}
}

// reportLog is a log whose reports end when answer gets a value, or at once if that is nil.
type reportLog struct {
	Log
	called, answer chan struct{}
}

// Report implements Log.
func (l *reportLog) Report(context.Context, RolloutReport) error {
	if l.answer != nil {
		l.called <- struct{}{}
		<-l.answer
	}
	return nil
}
