package sycpoll_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
)

const (
	// step is the time by which the clock of a fleet advances.
	step = 20 * time.Millisecond
	// digestSteps is the number of steps between two digests of a VM.
	digestSteps = 12
	// pollTimeout is the poll duration passed to Settings.Bound.
	pollTimeout = time.Second
	// pollSteps limits the steps that a poll takes.
	pollSteps = 3
	// messageSteps limits the steps that a digest takes to arrive.
	messageSteps = 10
)

// fleet simulates the VMs of a failure domain that divide the polls of engines.
type fleet struct {
	t *testing.T
	// random draws the durations of polls and digests, and faults.
	random *rand.Rand
	// now is the simulated time.
	now     time.Duration
	engines []sycpoll.Engine
	// incarnations counts the restarts of each engine.
	incarnations map[string]int
	// down is set for engines that no VM can reach.
	down map[string]bool
	vms  []*vm
	// pending holds the polls that run and the digests that have not arrived.
	pending []delivery
	// polls counts the polls that were started.
	polls int
	// fault is the fault that the fleet has.
	fault fault
}

// fault describes what fails in a fleet. A function that is nil causes no fault.
type fault struct {
	// name is part of the subtest's name.
	name string
	// lost reports whether a message from one VM to another is lost.
	lost func(f *fleet, from, to int) bool
	// paused reports whether a VM's process is paused.
	paused func(f *fleet, vm int) bool
	// unreachable reports whether a VM can't reach an engine.
	unreachable func(f *fleet, vm int, engine string) bool
	// members returns the VMs on the roster of a VM; all VMs if the function is nil.
	members func(f *fleet, vm int) []int
}

// vm is a VM of the simulated fleet.
type vm struct {
	// plan is the plan under test.
	plan *sycpoll.Plan
	// unsent holds the reports of own polls, by engine, that go into the next digest.
	unsent map[string]timedReport
	// applied holds the last applied report of each engine.
	applied map[string]timedReport
	// next is when the plan's Due is called next.
	next time.Duration
}

// timedReport is a report and the simulated time at which the engine made it.
type timedReport struct {
	report sycpoll.Report
	// at is the simulated time of the report.
	at time.Duration
	// incarnation is the number of times that the engine had restarted.
	incarnation int
}

// delivery is the end of a poll, or the arrival of a digest with one report.
type delivery struct {
	// at is the simulated time at which the poll ends or the digest arrives.
	at time.Duration
	// to is the index of the VM that polled or receives the digest.
	to int
	// engine is the name of the engine that made the report.
	engine string
	report timedReport
	// poll is set for a poll and not for a digest.
	poll bool
	// failed is set for a poll that could not reach the engine.
	failed bool
}

// newFleet returns a fleet with the given numbers of VMs and engines. Every third engine
// is far.
func newFleet(t *testing.T, seed uint64, vms, engines int, fault fault) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Second, fault: fault,
		incarnations: map[string]int{}, down: map[string]bool{},
	}
	for i := range engines {
		f.engines = append(f.engines, sycpoll.Engine{Name: fmt.Sprintf("e%03d", i), Far: i%3 == 0})
	}
	for i := range vms {
		v := &vm{plan: sycpoll.New(address(i), sycpoll.Settings{}, seed), unsent: map[string]timedReport{}, applied: map[string]timedReport{}}
		v.plan.SetEngines(f.engines)
		f.vms = append(f.vms, v)
	}
	return f
}

// boundOf returns the greatest age that a report may reach in a fleet with a number of
// engines.
func boundOf(engines int) time.Duration {
	far := (engines + 2) / 3
	return sycpoll.Settings{}.Defaults().Bound(engines-far, far, pollTimeout)
}

// address returns the address of the i-th VM.
func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// lost, paused and unreachable report whether the fleet's fault applies now.
func (f *fleet) lost(from, to int) bool { return f.fault.lost != nil && f.fault.lost(f, from, to) }
func (f *fleet) paused(i int) bool      { return f.fault.paused != nil && f.fault.paused(f, i) }
func (f *fleet) unreachable(i int, e string) bool {
	return f.down[e] || f.fault.unreachable != nil && f.fault.unreachable(f, i, e)
}

// addresses returns the addresses of the VMs on the roster of the i-th VM.
func (f *fleet) addresses(i int) (list []string) {
	if f.fault.members == nil {
		for j := range f.vms {
			list = append(list, address(j))
		}
		return list
	}
	for _, j := range f.fault.members(f, i) {
		list = append(list, address(j))
	}
	return list
}

// run advances the time by span and calls check at each step.
func (f *fleet) run(span time.Duration, check func()) {
	for end := f.now + span; f.now < end; f.now += step {
		f.deliver()
		for i, v := range f.vms {
			if f.paused(i) {
				continue
			}
			if f.now >= v.next {
				f.poll(i, v)
			}
			if (int(f.now/step)+i*7)%digestSteps == 0 {
				f.sendDigest(i, v)
			}
		}
		check()
	}
}

// poll starts the polls that are due at the i-th VM.
func (f *fleet) poll(i int, v *vm) {
	v.plan.SetMembers(f.addresses(i))
	names, next := v.plan.Due(f.now)
	v.next = next
	for _, name := range names {
		f.polls++
		c := delivery{at: f.now + step*time.Duration(1+f.random.IntN(pollSteps)), to: i, engine: name, poll: true}
		c.failed = f.unreachable(i, name)
		c.report = f.report(name)
		f.pending = append(f.pending, c)
	}
}

// report returns the report that an engine makes now. Engines alternate between work
// and no work every second.
func (f *fleet) report(name string) timedReport {
	n := f.incarnations[name]
	return timedReport{
		report:      sycpoll.Report{Incarnation: fmt.Sprint(n), AsOf: int64(f.now), Busy: f.now/time.Second%2 == 0},
		at:          f.now,
		incarnation: n,
	}
}

// sendDigest sends the unsent reports of the i-th VM to all other VMs.
func (f *fleet) sendDigest(i int, v *vm) {
	for _, e := range f.engines {
		report, ok := v.unsent[e.Name]
		if !ok {
			continue
		}
		for j := range f.vms {
			if j != i && !f.lost(i, j) {
				at := f.now + step*time.Duration(1+f.random.IntN(messageSteps))
				f.pending = append(f.pending, delivery{at: at, to: j, engine: e.Name, report: report})
			}
		}
	}
	clear(v.unsent)
}

// deliver passes ended polls and arrived digests to the VMs that are not paused.
func (f *fleet) deliver() {
	var later []delivery
	for _, c := range f.pending {
		v := f.vms[c.to]
		switch {
		case c.at > f.now || f.paused(c.to):
			later = append(later, c)
		case !c.poll:
			if v.plan.ApplyReport(f.now, c.engine, f.now-c.report.at, c.report.report) {
				f.apply(v, c.engine, c.report)
			}
		case c.failed:
			v.plan.Ended(f.now, c.engine, sycpoll.Refused, sycpoll.Report{})
		case v.plan.Ended(f.now, c.engine, sycpoll.Answered, c.report.report).Apply:
			f.apply(v, c.engine, c.report)
			v.unsent[c.engine] = c.report
		}
	}
	f.pending = later
}

// apply records a report as applied at a VM, and checks that it doesn't replace a newer
// report.
func (f *fleet) apply(v *vm, name string, r timedReport) {
	before := v.applied[name]
	must.GreaterEq(f.t, before.incarnation, r.incarnation, must.Sprintf("%s: older incarnation", name))
	must.GreaterEq(f.t, before.at, r.at, must.Sprintf("%s: older report", name))
	v.applied[name] = r
}

// checkAges checks that no report is older than the bound, except for the pairs of VM and
// engine that are excused.
func (f *fleet) checkAges(bound time.Duration, excused func(vm int, engine string) bool) {
	for i, v := range f.vms {
		for _, e := range f.engines {
			if excused(i, e.Name) {
				continue
			}
			must.LessEq(f.t, bound, f.now-v.applied[e.Name].at, must.Sprintf("at %v: %s at VM %d", f.now, e.Name, i))
		}
	}
}

// faults holds the faults with which fleets are tested.
var faults = []fault{
	{name: "none"},
	{name: "half of the digests lost", lost: func(f *fleet, _, _ int) bool { return f.random.IntN(2) == 0 }},
	{name: "all digests lost", lost: func(*fleet, int, int) bool { return true }},
	{name: "digests lost between two halves", lost: func(_ *fleet, from, to int) bool { return from%2 != to%2 }},
	{name: "digests lost between two halves for 3 of 6 seconds", lost: func(f *fleet, from, to int) bool {
		return f.now/(3*time.Second)%2 == 0 && from%2 != to%2
	}},
	{name: "digests lost in one direction", lost: func(_ *fleet, from, to int) bool { return from < to }},
	{name: "VMs paused in turn", paused: func(f *fleet, vm int) bool {
		return int(f.now/(2*time.Second))%len(f.vms) == vm
	}},
	{name: "two VMs paused", paused: func(f *fleet, vm int) bool { return f.now > 5*time.Second && vm < 2 }},
	{name: "rosters differ", members: func(f *fleet, vm int) []int {
		return []int{(vm + 1) % len(f.vms), (vm + 2) % len(f.vms), 40 + vm}
	}},
	{name: "rosters name dead VMs", members: func(_ *fleet, vm int) []int { return []int{vm, 50, 51, 52, 53, 54, 55} }},
	{name: "rosters change", members: func(f *fleet, _ int) []int {
		return []int{f.random.IntN(len(f.vms)), f.random.IntN(len(f.vms))}
	}},
	{name: "a VM cut off from engines", unreachable: func(f *fleet, vm int, _ string) bool {
		return vm == 0 && f.now > 4*time.Second && f.now < 9*time.Second
	}},
}

// TestReportsStayFresh checks that a VM's report of an engine that it can reach is never
// older than Settings.Bound while digests are lost, processes pause or rosters differ.
func TestReportsStayFresh(t *testing.T) {
	for _, size := range []struct{ vms, engines int }{{1, 10}, {3, 10}, {6, 16}} {
		bound := boundOf(size.engines)
		for _, fault := range faults {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %d VMs, seed %d", fault.name, size.vms, seed), func(t *testing.T) {
					f := newFleet(t, seed, size.vms, size.engines, fault)
					f.run(bound, func() {})
					// A VM must have a fresh report once it has run, and could reach the
					// engine, for the time of the bound.
					excusedAt := map[string]time.Duration{}
					f.run(10*time.Second, func() {
						f.checkAges(bound, func(vm int, engine string) bool {
							key := fmt.Sprint(vm, engine)
							if f.paused(vm) || f.unreachable(vm, engine) {
								excusedAt[key] = f.now
							}
							at, ok := excusedAt[key]
							return ok && f.now-at <= bound
						})
					})
				})
			}
		}
	}
}

// TestRestartsReachAll checks that all VMs apply the report of an engine's new
// incarnation, and that no VM returns to a former incarnation, while engines crash and
// half of the digests are lost.
func TestRestartsReachAll(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(t, seed, 6, 12, faults[1])
		f.run(3*time.Second, func() {})
		for range 8 {
			name := f.engines[f.random.IntN(len(f.engines))].Name
			f.down[name] = true
			f.run(time.Duration(f.random.IntN(400))*time.Millisecond, func() {})
			f.down[name] = false
			f.incarnations[name]++
			f.run(boundOf(len(f.engines)), func() {})
			for i, v := range f.vms {
				must.Eq(t, f.incarnations[name], v.applied[name].incarnation, must.Sprintf("VM %d", i))
			}
		}
	}
}

// TestPollsAreShared checks that eight VMs make fewer than twice the polls of one VM.
func TestPollsAreShared(t *testing.T) {
	polls := func(vms int) int {
		f := newFleet(t, 1, vms, 20, faults[0])
		f.run(3*time.Second, func() {})
		f.polls = 0
		f.run(20*time.Second, func() {})
		return f.polls
	}
	one, eight := polls(1), polls(8)
	must.Less(t, 2*one, eight, must.Sprintf("one VM polls %d times, eight %d times", one, eight))
}
