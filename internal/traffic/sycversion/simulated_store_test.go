package sycversion_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// TestSimulatedStoreRate guards against a version that isn't rolled back as soon as the first
// load shows that the deadline can't be met.
func TestSimulatedStoreRate(t *testing.T) {
	for _, seed := range []uint64{7, 8} {
		synctest.Test(t, func(t *testing.T) {
			published := time.Now()
			site := newSimulatedSiteOf(t, missedDeadline.deadline, missedDeadline.platform())
			maxParallel := 0
			ended := make(chan time.Duration)
			go func() {
				for {
					time.Sleep(20 * time.Millisecond)
					maxParallel = max(maxParallel, site.platform.StoreReads())
					for _, r := range site.store.records() {
						if r.State == sycrollout.StateRolledBack {
							ended <- time.Since(published)
							return
						}
					}
				}
			}()
			last := site.sendUntilEnd(t, site.vms, seed)
			took := <-ended
			t.Logf("seed %d: rolled back after %s: %s; at most %d loads at a time", seed, took, last.Reason, maxParallel)
			must.Eq(t, missedDeadline.state, last.State)
			must.StrContains(t, last.Reason, missedDeadline.reason)
			must.Less(t, missedDeadline.deadline/2, took)
			must.Between(t, 1, maxParallel, maxLoads)
		})
	}
}
