package sycadmit_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// total returns the sum of the fractions that the running VMs accrue at one time. It reads
// the fractions until two successive readings are equal.
func (r *rig) total() float64 {
	for {
		first, second := r.fractions(), r.fractions()
		if !slices.Equal(first, second) {
			continue
		}
		sum := 0.0
		for _, f := range first {
			sum += f
		}
		return sum
	}
}

// fractions returns the fraction that each running VM accrues.
func (r *rig) fractions() []float64 {
	var list []float64
	for _, v := range r.vms {
		if v.server != nil {
			list = append(list, v.limiter.Load().Status().Fraction)
		}
	}
	return list
}

// minTotal is the smallest total when every slot accrues. The fractions are rounded down
// to parts per billion, so the total may be slightly less than 1.
const minTotal = 1 - 100/float64(syclimit.FullFraction)

// awaitTotal waits until every slot accrues, and checks that the total never exceeds 1.
func (r *rig) awaitTotal(t *testing.T) {
	t.Helper()
	for r.total() < minTotal {
		must.LessEq(t, 1, r.total())
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRemovedVMsSlotIsTakenOver checks that another VM takes over the slot of a VM that
// the platform removed, and that the total never exceeds 1, also when a VM starts again at
// the removed VM's address.
func TestRemovedVMsSlotIsTakenOver(t *testing.T) {
	r := newRig(t, 5, customers)
	r.awaitTotal(t)
	removed := r.vms[4]
	removed.stop()
	must.Less(t, minTotal, r.total())
	start := time.Now()
	r.platform.RemoveVM(removed.address)
	for r.total() < minTotal {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
	t.Logf("the slot accrues again %s after the platform removed its VM", time.Since(start))
	removed.start(removed.listen(removed.address))
	for range 20 {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
}

// TestLeavingVMsSlotIsTakenOver checks that another VM takes over the slot of a VM that
// announces that it leaves, and that the total never exceeds 1.
func TestLeavingVMsSlotIsTakenOver(t *testing.T) {
	r := newRig(t, 3, customers)
	r.awaitTotal(t)
	leaving := r.vms[2]
	start := time.Now()
	must.NoError(t, leaving.mesh.Leave(t.Context()))
	for leaving.limiter.Load().Status().Fraction > 0 || r.total() < minTotal {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
	t.Logf("another VM accrues the slot %s after its VM announced that it leaves", time.Since(start))
}

// TestRestartedVMsAccrueAgain checks that all slots accrue again after a restart of all VMs,
// and that the total never exceeds 1.
func TestRestartedVMsAccrueAgain(t *testing.T) {
	r := newRig(t, 8, customers)
	r.awaitTotal(t)
	start := time.Now()
	for _, v := range r.vms {
		v.restart()
	}
	r.refresh()
	r.awaitTotal(t)
	t.Logf("all 8 slots accrue %s after all VMs restarted", time.Since(start))
}

// TestUnknownCustomersAreRefused checks the refusal of a customer without a record.
func TestUnknownCustomersAreRefused(t *testing.T) {
	r := newRig(t, 1, customers)
	err := r.vms[0].limiter.Load().Admit(context.Background(), "nobody")
	var refusal *sycwork.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, sycwork.OverRate, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
}

// TestNoSlotTable checks that requests are refused at once if there is no slot table, since
// no VM accrues permits then.
func TestNoSlotTable(t *testing.T) {
	r := newRig(t, 1, customers)
	r.config = newTopic()
	r.config.append(t, sycrecord.KindCustomer, customer, customers[customer])
	v := r.vms[0]
	v.restart()
	v.loop.Do(v.limiter.Load().Refresh)
	err := v.limiter.Load().Admit(context.Background(), customer)
	var refusal *sycwork.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, sycwork.NoSlots, refusal.Reason)
}

// TestPublicRoutesAreLimited checks that requests on public routes are admitted without a
// customer and a slot table, but limited.
func TestPublicRoutesAreLimited(t *testing.T) {
	r := newRig(t, 1, nil)
	admitted := 0
	for range 5000 {
		if r.vms[0].limiter.Load().Admit(context.Background(), "") == nil {
			admitted++
		}
	}
	must.GreaterEq(t, 1000, admitted)
	must.Less(t, 5000, admitted)
}
