package sycloop

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// TestSuspensionCounts suspends the machine for an hour: the loop's time has gone on when
// it wakes, and it notices that it has stood still.
func TestSuspensionCounts(t *testing.T) {
	var slept atomic.Int64
	l := newLoop(func() time.Duration { return sycclock.Now() + time.Duration(slept.Load()) }, 0)
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	stood := make(chan struct{}, 1)
	l.OnPause(time.Minute, func(time.Duration) { stood <- struct{}{} })
	before := time.Duration(0)
	l.Do(func(now time.Duration) { before = now })
	slept.Store(int64(time.Hour))
	after := time.Duration(0)
	l.Do(func(now time.Duration) { after = now })
	must.GreaterEq(t, before+time.Hour, after)
	<-stood
}

// TestLoopOfMachine has the machine's time in a loop's functions and tasks.
func TestLoopOfMachine(t *testing.T) {
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
