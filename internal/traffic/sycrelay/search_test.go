package sycrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestSearchCancelsNoBegunAnswer guards against a begun answer that is cancelled by a search that began before its first event.
func TestSearchCancelsNoBegunAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var asked atomic.Int32
		search := func() bool { time.Sleep(4 * maxStreamPause); return true }
		timeout := newAnswerTimeout(cancel, search, time.Second)
		timeout.mu.Lock()
		timeout.attempts = 1
		timeout.newStandby = func([]string, int) *standby {
			asked.Add(1)
			time.Sleep(8 * maxStreamPause)
			return nil
		}
		timeout.mu.Unlock()
		time.Sleep(time.Second + time.Millisecond)
		// The first event arrives during the search, and a silence follows.
		must.True(t, timeout.admitEvent(true))
		timeout.restart()
		time.Sleep(6 * maxStreamPause)
		synctest.Wait()
		must.NoError(t, ctx.Err())
		must.Eq(t, 1, asked.Load())
		timeout.stop()
		// The standby's selection ends.
		time.Sleep(8 * maxStreamPause)
	})
}
