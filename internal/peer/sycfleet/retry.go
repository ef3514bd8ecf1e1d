package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// CanRetry reports whether Retry would now find an endpoint for a request that has reached one. It
// changes nothing.
func (f *Fleet) CanRetry(r *sycplace.Request) bool {
	found := false
	f.loop.Do(func(now time.Duration) {
		found = f.retries.Get(now, r.Service).Allows(now) && f.suspects.maySendAgain(now, r) && f.selector.CanSelect(now, r)
	})
	return found
}
