package sycfleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
)

// TestLateStateOfARolloutIsReplaced guards against an ended rollout whose published state stays running, because an older write was carried out after the newer one and was read before the newer one's answer came.
func TestLateStateOfARolloutIsReplaced(t *testing.T) {
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
