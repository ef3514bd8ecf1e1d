package sycfleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

// restoredLog is a log in an era whose reads fail.
type restoredLog struct {
	Log
	era int64
	err error
}

// Newest returns an empty snapshot.
func (l restoredLog) Newest(context.Context, string) ([]sycfeed.Record, sycfeed.Position, error) {
	return nil, sycfeed.Position{Era: l.era, Offset: 7}, nil
}

// Read fails.
func (l restoredLog) Read(context.Context, string, sycfeed.Position, time.Duration) ([]sycfeed.Record, sycfeed.Position, error) {
	return nil, sycfeed.Position{}, l.err
}

// TestLogThatRefusesToReadOnIsCalledSeldom guards against a VM that turns between a read which the
// log refuses and a snapshot, without a pause.
func TestLogThatRefusesToReadOnIsCalledSeldom(t *testing.T) {
	const calls = 60
	f := newNetwork(t, 1).vms[0]
	f.options.Log = restoredLog{err: ErrTruncated}
	r := &follower{fleet: f, topic: TopicStatus, healthy: true, snapshot: true}
	paused := time.Duration(0)
	for range calls {
		paused += r.step(t.Context(), plan{})
	}
	must.Less(t, paused, calls/4*maxRetryPause)
}

// TestOnlyReadersAskARestoredLog guards against snapshots of all VMs of a fleet at once when the log has been
// restored, and against VMs that wait for readers which don't tell.
func TestOnlyReadersAskARestoredLog(t *testing.T) {
	n := newNetwork(t, 20)
	for i, f := range n.vms {
		f.options.Log = restoredLog{era: 1, err: &EraError{Era: 1}}
		r := &follower{fleet: f, topic: TopicOperator, healthy: true}
		r.step(t.Context(), plan{})
		s := f.subscriptions[TopicOperator]
		now := f.loop.Now()
		must.Eq(t, f.isReader(), r.plan(now).read, must.Sprintf("VM %d", i))
		late := *r
		must.True(t, late.plan(now+newsPatience).read, must.Sprintf("VM %d", i))
		s.Apply(now, nil, sycfeed.Position{Era: 1, Offset: 7})
		s.confirm(now, now)
		must.Eq(t, f.isReader(), r.plan(now+newsPatience).read, must.Sprintf("VM %d", i))
	}
}
