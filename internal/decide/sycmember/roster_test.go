package sycmember_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
)

// lag is the Settings.ListLag of the tests.
const lag = 5 * time.Second

// vm returns the n-th VM, of the failure domain "larisa".
func vm(n int) sycmember.VM {
	return sycmember.VM{Address: fmt.Sprintf("127.0.0.1:%d", 1000+n), FailureDomain: "larisa", Incarnation: "a"}
}

func TestGone(t *testing.T) {
	self, other := vm(0), vm(1)
	both, alone := []sycmember.VM{self, other}, []sycmember.VM{self}
	cases := []struct {
		name string
		// apply passes readings and messages to the roster.
		apply func(r *sycmember.Roster)
		// gone is what Gone must return afterwards.
		gone bool
	}{
		{name: "never listed, read once", apply: func(r *sycmember.Roster) {
			r.ApplyList(0, alone)
		}},
		{name: "absent for the lag", apply: func(r *sycmember.Roster) {
			r.ApplyList(0, both)
			r.ApplyList(time.Second, alone)
			r.ApplyList(time.Second+lag, alone)
		}},
		{name: "absent for longer than the lag", apply: func(r *sycmember.Roster) {
			r.ApplyList(0, both)
			r.ApplyList(time.Second, alone)
			r.ApplyList(2*time.Second+lag, alone)
		}, gone: true},
		{name: "absent but an introduction came", apply: func(r *sycmember.Roster) {
			r.ApplyList(time.Second, alone)
			r.ReceiveIntroduction(3*time.Second, other)
			r.ApplyList(2*time.Second+lag, alone)
		}},
		{name: "listed again in between", apply: func(r *sycmember.Roster) {
			r.ApplyList(time.Second, alone)
			r.ApplyList(4*time.Second, both)
			r.ApplyList(5*time.Second, alone)
			r.ApplyList(2*time.Second+lag, alone)
		}},
		{name: "the list has lost all entries", apply: func(r *sycmember.Roster) {
			r.ApplyList(time.Second, nil)
			r.ApplyList(2*time.Second+lag, nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := sycmember.New(self, sycmember.Settings{ListLag: lag})
			r.Expect([]sycmember.VM{other})
			c.apply(r)
			must.Eq(t, c.gone, r.Gone(other.Address))
		})
	}
}

func TestRemoved(t *testing.T) {
	r := sycmember.New(vm(0), sycmember.Settings{ListLag: lag})
	r.ApplyList(0, []sycmember.VM{vm(1)})
	must.False(t, r.Removed())
	r.ApplyList(2*lag+1, []sycmember.VM{vm(1)})
	must.True(t, r.Removed())
	r.ApplyList(3*lag, []sycmember.VM{vm(0)})
	must.False(t, r.Removed())
}

func TestAnswersOfFormerProcessesAreDropped(t *testing.T) {
	r := sycmember.New(vm(0), sycmember.Settings{})
	old, young := vm(1), vm(1)
	young.Incarnation = "b"
	r.ApplyReport(time.Second, 0, sycmember.Report{VM: old, ConfigNext: 9})
	r.ReceiveIntroduction(2*time.Second, young)
	r.ApplyReport(3*time.Second, time.Second, sycmember.Report{VM: old, ConfigNext: 9})
	_, _, ok := r.Present()[0].Reported()
	must.False(t, ok)
	r.ApplyReport(5*time.Second, 4*time.Second, sycmember.Report{VM: young, ConfigNext: 3})
	next, _, ok := r.Present()[0].Reported()
	must.True(t, ok)
	must.Eq(t, 3, next)
}

// TestIntroductionsAtDesignSize checks that in a fleet of 1400 VMs and 20 failure
// domains a VM introduces itself to its whole domain, to two VMs of each other
// domain, and at the configured rate.
func TestIntroductionsAtDesignSize(t *testing.T) {
	var list []sycmember.VM
	for i := range 1400 {
		v := vm(i)
		v.FailureDomain = fmt.Sprint("domain-", i%20)
		list = append(list, v)
	}
	r := sycmember.New(list[0], sycmember.Settings{})
	r.ApplyList(0, list)
	sent := map[string]int{}
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		for _, address := range r.Due(now) {
			sent[address]++
		}
	}
	must.MapLen(t, 69+19*2, sent)
	total := 0
	for _, n := range sent {
		total += n
	}
	must.LessEq(t, 60*10+len(sent), total)
}

// TestReadersOfTheLog gives VMs the same roster and counts the log readers of one
// failure domain.
func TestReadersOfTheLog(t *testing.T) {
	const domains = 3
	cases := []struct {
		name string
		vms  int
		// silent is the number of readers that no longer send messages.
		silent int
		// leaving makes the readers leave the fleet.
		leaving bool
		// want is the number of readers that the remaining VMs choose.
		want int
	}{
		{name: "small fleet", vms: 12, want: 4},
		{name: "large fleet", vms: 60, want: 2},
		{name: "one reader silent", vms: 60, silent: 1, want: 2},
		{name: "both readers silent", vms: 60, silent: 2, want: 2},
		{name: "both readers leave", vms: 60, leaving: true, want: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list []sycmember.VM
			for i := range c.vms {
				v := vm(i)
				v.FailureDomain = fmt.Sprint("domain-", i%domains)
				list = append(list, v)
			}
			readers := readersOf(list, nil, false)
			if c.silent > 0 {
				readers = readersOf(list, readers[:c.silent], false)
			}
			if c.leaving {
				readers = readersOf(list, readers, true)
			}
			must.Len(t, c.want, readers)
		})
	}
}

// readersOf returns the VMs of the first VM's failure domain that decide to read the
// log. The VMs of away are left out: if leaving is set, the other VMs receive that
// they leave, otherwise the other VMs have received no message from them.
func readersOf(list, away []sycmember.VM, leaving bool) []sycmember.VM {
	const now = time.Second
	var readers []sycmember.VM
	for _, self := range list {
		if self.FailureDomain != list[0].FailureDomain || slices.Contains(away, self) {
			continue
		}
		r := sycmember.New(self, sycmember.Settings{})
		for _, other := range list {
			gone := slices.Contains(away, other)
			if gone && !leaving {
				continue
			}
			other.Leaving = gone
			r.ReceiveIntroduction(now, other)
		}
		if r.ReadsLog(now) {
			readers = append(readers, self)
		}
	}
	return readers
}
