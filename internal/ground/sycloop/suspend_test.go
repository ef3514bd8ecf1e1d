package sycloop

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// TestSuspensionAdvancesTime simulates a suspension of the machine for an hour. The
// loop's time must advance by it, and the pause handler must run.
func TestSuspensionAdvancesTime(t *testing.T) {
	var suspended atomic.Int64
	l := newLoop(func() time.Duration { return sycclock.Now() + time.Duration(suspended.Load()) }, 0)
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	paused := make(chan struct{}, 1)
	l.OnPause(time.Minute, func(time.Duration) { paused <- struct{}{} })
	before := time.Duration(0)
	l.Do(func(now time.Duration) { before = now })
	suspended.Store(int64(time.Hour))
	after := time.Duration(0)
	l.Do(func(now time.Duration) { after = now })
	must.GreaterEq(t, before+time.Hour, after)
	<-paused
}

// TestBootTime checks that posted functions and tasks get the boot time.
func TestBootTime(t *testing.T) {
	l := NewBootTime()
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	ran := make(chan time.Duration, 1)
	before := sycclock.Now()
	l.Do(func(now time.Duration) { ran <- now })
	must.Between(t, before, <-ran, sycclock.Now())
	task := make(chan time.Duration, 16)
	l.Every(time.Millisecond, func(now time.Duration) {
		select {
		case task <- now:
		default:
		}
	})
	must.Between(t, before, <-task, sycclock.Now())
}
