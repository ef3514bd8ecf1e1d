package sycvm

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

// maxPermitSourceWait limits how long after its start a VM stays unready because neither it
// nor another VM that it can reach accrues permits of the rate limiter.
const maxPermitSourceWait = 3 * time.Second

// Ready reports whether the VM can serve requests, and if not, the reason.
func (v *VM) Ready() (bool, string) {
	if v.drain.Draining() {
		return false, "the VM is shutting down"
	}
	if !v.store.Ready() {
		return false, "the VM has no configuration yet"
	}
	if !v.hasPermitSource() {
		// The tokens of this text are the permits of the rate limiter.
		return false, "the VM knows no VM that accrues tokens yet"
	}
	return true, ""
}

// hasPermitSource reports whether the VM need not wait any longer for a source of permits:
// it accrues permits itself, can reach a VM that may lend it some, or has run for longer
// than maxPermitSourceWait. Once true it stays true.
func (v *VM) hasPermitSource() bool {
	if v.permitSourceFound.Load() {
		return true
	}
	found := time.Since(v.started) > maxPermitSourceWait || v.limiter.Status().Fraction > 0 || v.reachesSlotHolder()
	if found {
		v.permitSourceFound.Store(true)
	}
	return found
}

// reachesSlotHolder reports whether another VM that holds a rate slot has replied recently.
func (v *VM) reachesSlotHolder() bool {
	reached := false
	v.loop.Do(func(now time.Duration) {
		live := map[string]bool{}
		for _, m := range v.roster.Live(now) {
			live[m.VM().Address] = true
		}
		for _, h := range sycslot.Holdings(v.store.Config(), v.store.System()) {
			reached = reached || live[h.Address]
		}
	})
	return reached
}
