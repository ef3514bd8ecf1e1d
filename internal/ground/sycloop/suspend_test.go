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
	l := newLoop(func() time.Duration { return sycclock.Now() + time.Duration(slept.Load()) })
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	stood := make(chan struct{}, 1)
	l.Watch(time.Minute, func(time.Duration) { stood <- struct{}{} })
	before := time.Duration(0)
	l.Do(func(now time.Duration) { before = now })
	slept.Store(int64(time.Hour))
	after := time.Duration(0)
	l.Do(func(now time.Duration) { after = now })
	must.GreaterEq(t, before+time.Hour, after)
	<-stood
}
