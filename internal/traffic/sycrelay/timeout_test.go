package sycrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// always reports that there is another endpoint.
func always() bool { return true }

// TestOnlyEventsExtendTheTime guards against a stalled stream that is kept by what is no event, and
// against a slow stream, or one with a slow caller, that is cut although its events come in time.
func TestOnlyEventsExtendTheTime(t *testing.T) {
	const firstByte = 3 * time.Second
	tests := []struct {
		name string
		// step happens every gap, steps times.
		step  func(timeout *answerTimeout)
		gap   time.Duration
		steps int
		// cancelled is when the attempt is cancelled, 0 if it isn't.
		cancelled time.Duration
	}{
		{"events in time", (*answerTimeout).restart, maxStreamPause - time.Millisecond, 50, 0},
		{"events too late", (*answerTimeout).restart, maxStreamPause + time.Millisecond, 2, 2*maxStreamPause + time.Millisecond},
		{"comments", func(timeout *answerTimeout) { timeout.suspend(); timeout.resume() }, maxStreamPause / 4, 50, firstByte},
		{"slow caller", func(timeout *answerTimeout) {
			timeout.suspend()
			time.Sleep(2 * firstByte)
			timeout.restart()
		}, maxStreamPause / 4, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				var cancelled atomic.Int64
				timeout := newAnswerTimeout(func() { cancelled.CompareAndSwap(0, int64(time.Since(started))) }, always, firstByte)
				for range tt.steps {
					time.Sleep(tt.gap)
					tt.step(timeout)
				}
				synctest.Wait()
				must.Eq(t, tt.cancelled, time.Duration(cancelled.Load()))
				timeout.timer.Stop()
			})
		})
	}
}

// TestSuspendedTimeoutOfARunOnceRequest guards against a timeout that cancels an attempt which has no
// other.
func TestSuspendedTimeoutOfARunOnceRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	timeout := &answerTimeout{cancel: cancel}
	timeout.restart()
	timeout.suspend()
	timeout.resume()
	must.NoError(t, ctx.Err())
	timeout.stop()
	must.Error(t, ctx.Err())
}

// TestHeadDoesNotShortenTheTime guards against a sound stream that is cut because its endpoint sends
// the answer's head long before the first event, and against one that gets no time after a late head.
func TestHeadDoesNotShortenTheTime(t *testing.T) {
	const firstByte = 3 * time.Second
	tests := []struct {
		name string
		head time.Duration
		// cancelled is when the attempt without an event is cancelled.
		cancelled time.Duration
	}{
		{"head at once", 0, firstByte},
		{"head in time for the next event", firstByte - maxStreamPause, firstByte},
		{"late head", firstByte - time.Millisecond, firstByte - time.Millisecond + maxStreamPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				timeout := newAnswerTimeout(cancel, always, firstByte)
				time.Sleep(tt.head)
				timeout.admitHead()
				<-ctx.Done()
				must.Eq(t, tt.cancelled, time.Since(started))
			})
		})
	}
}

// TestOnlyEndpointGetsFurtherTime guards against a slow but sound stream that is cut although no other
// endpoint could resume it.
func TestOnlyEndpointGetsFurtherTime(t *testing.T) {
	tests := []struct {
		name string
		// other is when another endpoint becomes available, event when an event arrives.
		other, event time.Duration
		// cancelled is when the attempt is cancelled.
		cancelled time.Duration
	}{
		{"another at once", 0, time.Hour, time.Second},
		{"another later", 2 * time.Second, time.Hour, time.Second + maxStreamPause},
		{"event meanwhile", 1500 * time.Millisecond, 2 * time.Second, 2*time.Second + maxStreamPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				timeout := newAnswerTimeout(cancel, func() bool { return time.Since(started) >= tt.other }, time.Second)
				event := time.AfterFunc(tt.event, timeout.restart)
				defer event.Stop()
				<-ctx.Done()
				must.Eq(t, tt.cancelled, time.Since(started))
			})
		})
	}
}

// TestRejectionStartsNoStoppedTimer guards against a standby for an attempt that has ended or whose caller
// is slow: a standby that is rejected meanwhile must not start the timer.
func TestRejectionStartsNoStoppedTimer(t *testing.T) {
	for _, end := range []func(timeout *answerTimeout){(*answerTimeout).stop, (*answerTimeout).suspend} {
		synctest.Test(t, func(t *testing.T) {
			var asked atomic.Int32
			timeout := newAnswerTimeout(func() {}, always, time.Second)
			timeout.begun, timeout.attempts = true, maxUnreachable
			timeout.newStandby = func([]string, int) *standby { asked.Add(1); return nil }
			timeout.standby = &standby{exchange: &exchange{target: &sycplace.Target{}}}
			end(timeout)
			must.True(t, timeout.settle(timeout.standby, false))
			time.Sleep(time.Minute)
			must.Eq(t, 0, asked.Load())
			// An event starts it.
			timeout.restart()
			time.Sleep(maxStreamPause + time.Millisecond)
			synctest.Wait()
			must.Eq(t, 1, asked.Load())
			timeout.stop()
		})
	}
}
