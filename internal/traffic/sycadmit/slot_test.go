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

// total is what the running VMs accrue together at one time: what they hold in
// two readings that agree.
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

func (r *rig) fractions() []float64 {
	var list []float64
	for _, v := range r.vms {
		if v.server != nil {
			list = append(list, v.limiter.Load().Status().Fraction)
		}
	}
	return list
}

// allButRounding is the least total when every slot accrues.
const allButRounding = 1 - 100/float64(syclimit.FullFraction)

// await waits until the VMs accrue everything and never more than that.
func (r *rig) await(t *testing.T) {
	t.Helper()
	for r.total() < allButRounding {
		must.LessEq(t, 1, r.total())
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRemovedVMsSlotIsClaimed(t *testing.T) {
	r := newRig(t, 5, customers)
	r.await(t)
	lost := r.vms[4]
	lost.stop()
	must.Less(t, allButRounding, r.total())
	start := time.Now()
	r.platform.RemoveVM(lost.address)
	for r.total() < allButRounding {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
	t.Logf("the slot accrues again %s after the list dropped its VM", time.Since(start))
	lost.start(lost.listen(lost.address))
	for range 20 {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
}

func TestLeavingVMsSlotIsClaimed(t *testing.T) {
	r := newRig(t, 3, customers)
	r.await(t)
	leaving := r.vms[2]
	start := time.Now()
	must.NoError(t, leaving.mesh.Leave(t.Context()))
	for leaving.limiter.Load().Status().Fraction > 0 || r.total() < allButRounding {
		must.LessEq(t, 1, r.total())
		time.Sleep(50 * time.Millisecond)
		r.refresh()
	}
	t.Logf("another VM accrues the slot %s after its VM said that it leaves", time.Since(start))
}

func TestRestartedVMsAccrueAgain(t *testing.T) {
	r := newRig(t, 8, customers)
	r.await(t)
	start := time.Now()
	for _, v := range r.vms {
		v.restart()
	}
	r.refresh()
	r.await(t)
	t.Logf("all 8 slots accrue %s after all VMs restarted", time.Since(start))
}

func TestUnknownCustomersAreRefused(t *testing.T) {
	r := newRig(t, 1, customers)
	err := r.vms[0].limiter.Load().Admit(context.Background(), "nobody")
	var refusal *sycwork.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, sycwork.OverRate, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
}

// Without a slot table nothing accrues, and requests are refused at once.
func TestNoSlotTable(t *testing.T) {
	r := newRig(t, 1, customers)
	r.config = newJournal()
	r.config.append(t, sycrecord.KindCustomer, customer, customers[customer])
	v := r.vms[0]
	v.restart()
	v.loop.Do(v.limiter.Load().Refresh)
	err := v.limiter.Load().Admit(context.Background(), customer)
	var refusal *sycwork.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, sycwork.NoSlots, refusal.Reason)
}

func TestOpenRoutesAreBoundedOnly(t *testing.T) {
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
