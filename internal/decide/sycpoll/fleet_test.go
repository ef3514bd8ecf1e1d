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
	// step is the time between two moments of a fleet.
	step = 20 * time.Millisecond
	// shareSteps is the number of steps between two digests.
	shareSteps = 12
	// pollTimeout bounds a poll.
	pollTimeout = time.Second
	// pollSteps bounds the steps that an answered poll takes.
	pollSteps = 3
	// messageSteps bounds the steps that a digest is under way.
	messageSteps = 10
)

// fleet is a failure domain of VMs that share the polls of engines.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	engines []sycpoll.Engine
	// incarnations counts the restarts of engines; down is set while one is out.
	incarnations map[string]int
	down         map[string]bool
	vms          []*vm
	coming       []coming
	polls        int
	fault        fault
}

// fault is what goes wrong in a fleet.
type fault struct {
	name string
	// lost reports whether a message from one VM to another is lost.
	lost func(f *fleet, from, to int) bool
	// paused reports whether a VM stands still.
	paused func(f *fleet, vm int) bool
	// apart reports whether a VM can't reach an engine.
	apart func(f *fleet, vm int, engine string) bool
	// members are the VMs that one has on its roster; all by default.
	members func(f *fleet, vm int) []int
}

type vm struct {
	plan *sycpoll.Plan
	news map[string]told
	// taken is what the VM last took of each engine.
	taken map[string]told
	next  time.Duration
}

// told is a report and when it was made.
type told struct {
	report sycpoll.Report
	at     time.Duration
	// incarnation is the number of the engine's restart.
	incarnation int
}

// coming is something that ends at a time: a poll without a digest, or a digest.
type coming struct {
	at     time.Duration
	to     int
	engine string
	report told
	poll   bool
	failed bool
}

func newFleet(t *testing.T, seed uint64, vms, engines int, fault fault) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Second, fault: fault,
		incarnations: map[string]int{}, down: map[string]bool{},
	}
	for i := range engines {
		f.engines = append(f.engines, sycpoll.Engine{Name: fmt.Sprintf("e%03d", i), Far: i%3 == 0})
	}
	for i := range vms {
		v := &vm{plan: sycpoll.New(address(i), sycpoll.Settings{}, seed), news: map[string]told{}, taken: map[string]told{}}
		v.plan.SetEngines(f.engines)
		f.vms = append(f.vms, v)
	}
	return f
}

// boundOf is the oldest that a report may get; every third engine is far.
func boundOf(engines int) time.Duration {
	far := (engines + 2) / 3
	return sycpoll.Settings{}.Defaults().Bound(engines-far, far, pollTimeout)
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (f *fleet) lost(from, to int) bool { return f.fault.lost != nil && f.fault.lost(f, from, to) }
func (f *fleet) paused(i int) bool      { return f.fault.paused != nil && f.fault.paused(f, i) }
func (f *fleet) apart(i int, e string) bool {
	return f.down[e] || f.fault.apart != nil && f.fault.apart(f, i, e)
}

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

// run lets time pass and calls check at each step.
func (f *fleet) run(span time.Duration, check func()) {
	for end := f.now + span; f.now < end; f.now += step {
		f.arrive()
		for i, v := range f.vms {
			if f.paused(i) {
				continue
			}
			if f.now >= v.next {
				f.poll(i, v)
			}
			if (int(f.now/step)+i*7)%shareSteps == 0 {
				f.share(i, v)
			}
		}
		check()
	}
}

func (f *fleet) poll(i int, v *vm) {
	v.plan.SetMembers(f.addresses(i))
	names, next := v.plan.Due(f.now)
	v.next = next
	for _, name := range names {
		f.polls++
		c := coming{at: f.now + step*time.Duration(1+f.random.IntN(pollSteps)), to: i, engine: name, poll: true}
		c.failed = f.apart(i, name)
		c.report = f.report(name)
		f.coming = append(f.coming, c)
	}
}

// report is what an engine says now.
func (f *fleet) report(name string) told {
	n := f.incarnations[name]
	return told{
		report:      sycpoll.Report{Incarnation: fmt.Sprint(n), AsOf: int64(f.now), Busy: f.now/time.Second%2 == 0},
		at:          f.now,
		incarnation: n,
	}
}

func (f *fleet) share(i int, v *vm) {
	for _, e := range f.engines {
		news, ok := v.news[e.Name]
		if !ok {
			continue
		}
		for j := range f.vms {
			if j != i && !f.lost(i, j) {
				at := f.now + step*time.Duration(1+f.random.IntN(messageSteps))
				f.coming = append(f.coming, coming{at: at, to: j, engine: e.Name, report: news})
			}
		}
	}
	clear(v.news)
}

// arrive delivers what has come to VMs that are not paused.
func (f *fleet) arrive() {
	var later []coming
	for _, c := range f.coming {
		v := f.vms[c.to]
		switch {
		case c.at > f.now || f.paused(c.to):
			later = append(later, c)
		case !c.poll:
			if v.plan.ApplyReport(f.now, c.engine, f.now-c.report.at, c.report.report) {
				f.take(v, c.engine, c.report)
			}
		case c.failed:
			v.plan.Ended(f.now, c.engine, sycpoll.Refused, sycpoll.Report{})
		case v.plan.Ended(f.now, c.engine, sycpoll.Answered, c.report.report).Apply:
			f.take(v, c.engine, c.report)
			v.news[c.engine] = c.report
		}
	}
	f.coming = later
}

// take checks that no report replaces a newer one.
func (f *fleet) take(v *vm, name string, r told) {
	before := v.taken[name]
	must.GreaterEq(f.t, before.incarnation, r.incarnation, must.Sprintf("%s: older incarnation", name))
	must.GreaterEq(f.t, before.at, r.at, must.Sprintf("%s: older report", name))
	v.taken[name] = r
}

// checkAges checks the age of all reports at VMs that are not excused.
func (f *fleet) checkAges(bound time.Duration, excused func(vm int, engine string) bool) {
	for i, v := range f.vms {
		for _, e := range f.engines {
			if excused(i, e.Name) {
				continue
			}
			must.LessEq(f.t, bound, f.now-v.taken[e.Name].at, must.Sprintf("at %v: %s at VM %d", f.now, e.Name, i))
		}
	}
}

var faults = []fault{
	{name: "none"},
	{name: "half of the digests lost", lost: func(f *fleet, _, _ int) bool { return f.random.IntN(2) == 0 }},
	{name: "all digests lost", lost: func(*fleet, int, int) bool { return true }},
	{name: "two halves", lost: func(_ *fleet, from, to int) bool { return from%2 != to%2 }},
	{name: "two halves now and then", lost: func(f *fleet, from, to int) bool {
		return f.now/(3*time.Second)%2 == 0 && from%2 != to%2
	}},
	{name: "one way only", lost: func(_ *fleet, from, to int) bool { return from < to }},
	{name: "VMs paused in turn", paused: func(f *fleet, vm int) bool {
		return int(f.now/(2*time.Second))%len(f.vms) == vm
	}},
	{name: "two VMs paused", paused: func(f *fleet, vm int) bool { return f.now > 5*time.Second && vm < 2 }},
	{name: "rosters disagree", members: func(f *fleet, vm int) []int {
		return []int{(vm + 1) % len(f.vms), (vm + 2) % len(f.vms), 40 + vm}
	}},
	{name: "rosters name dead VMs", members: func(_ *fleet, vm int) []int { return []int{vm, 50, 51, 52, 53, 54, 55} }},
	{name: "rosters change", members: func(f *fleet, _ int) []int {
		return []int{f.random.IntN(len(f.vms)), f.random.IntN(len(f.vms))}
	}},
	{name: "a VM cut off from engines", apart: func(f *fleet, vm int, _ string) bool {
		return vm == 0 && f.now > 4*time.Second && f.now < 9*time.Second
	}},
}

// TestReportsStayFresh checks that no VM's report of an engine that it can
// reach gets older than the bound, whatever becomes of digests, VMs and rosters.
func TestReportsStayFresh(t *testing.T) {
	for _, size := range []struct{ vms, engines int }{{1, 10}, {3, 10}, {6, 16}} {
		bound := boundOf(size.engines)
		for _, fault := range faults {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %d VMs, seed %d", fault.name, size.vms, seed), func(t *testing.T) {
					f := newFleet(t, seed, size.vms, size.engines, fault)
					f.run(bound, func() {})
					// A VM owes fresh reports a bound after it could reach the engine.
					excusedAt := map[string]time.Duration{}
					f.run(10*time.Second, func() {
						f.checkAges(bound, func(vm int, engine string) bool {
							key := fmt.Sprint(vm, engine)
							if f.paused(vm) || f.apart(vm, engine) {
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

// TestRestartsReachAll checks that all VMs learn of a new incarnation, and none
// goes back to a former one, while engines crash and digests are late.
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
				must.Eq(t, f.incarnations[name], v.taken[name].incarnation, must.Sprintf("VM %d", i))
			}
		}
	}
}

// TestPollsAreShared checks that an engine's polls don't grow with the VMs.
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
