package sycvm

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

// acquaintance is how long after its start a VM may stay unready because it
// knows no VM that accrues tokens.
const acquaintance = 3 * time.Second

// Ready reports whether the VM can serve, and why not.
func (v *VM) Ready() (bool, string) {
	if v.drain.Draining() {
		return false, "the VM is shutting down"
	}
	if !v.store.Ready() {
		return false, "the VM has no configuration yet"
	}
	if !v.acquainted() {
		return false, "the VM knows no VM that accrues tokens yet"
	}
	return true, ""
}

// acquainted reports whether this VM has accrued tokens or known a VM that may
// lend it some, or has looked for one for long enough. It stays true.
func (v *VM) acquainted() bool {
	if v.met.Load() {
		return true
	}
	met := time.Since(v.started) > acquaintance || v.limiter.Shares().Fraction > 0 || v.knowsHolder()
	if met {
		v.met.Store(true)
	}
	return met
}

// knowsHolder reports whether a VM that holds a slot answers.
func (v *VM) knowsHolder() bool {
	known := false
	v.loop.Do(func(now time.Duration) {
		live := map[string]bool{}
		for _, m := range v.roster.Live(now) {
			live[m.VM().Address] = true
		}
		for _, h := range sycslot.Holdings(v.store.Config(), v.store.System()) {
			known = known || live[h.Address]
		}
	})
	return known
}
