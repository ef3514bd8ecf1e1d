package sycthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// simulationStep is the step of simulated time.
	simulationStep = 20 * time.Millisecond
	// aliveWithin is how long after it was last heard of a VM counts as running.
	aliveWithin = 1200 * time.Millisecond
	// window is the length of the windows in which an endpoint's requests are counted.
	window = 4 * time.Second
	// domains is the number of failure domains.
	domains = 4
	// length is how long a simulation lasts.
	length = 22 * time.Second
)

// simulation is a fleet of VMs that send to an endpoint in failure domain 0 as much as they may.
type simulation struct {
	random *rand.Rand
	vms    []*simulatedVM
	// period is the time between two reports of a VM, and delay the time until one has reached the others.
	period, delay time.Duration
	// reports holds the reports under way, the oldest first.
	reports []simulatedReport
	// cut reports whether two VMs can't reach each other at a time.
	cut func(now time.Duration, a, b int) bool
}

// simulatedVM is a VM of a simulation.
type simulatedVM struct {
	throttle *sycthrottle.Throttle
	address  string
	starts   int
	// heard holds when the VM has last heard of each other.
	heard []time.Duration
	runs  []bool
}

// simulatedReport is a report under way.
type simulatedReport struct {
	from   int
	start  int
	at     time.Duration
	report sycthrottle.Report
	// changed is set if it has news.
	changed bool
}

// newSimulation returns a fleet that has run for some time.
func newSimulation(vms int, period, delay time.Duration, seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), period: period, delay: delay, cut: func(time.Duration, int, int) bool { return false }}
	for i := range vms {
		s.vms = append(s.vms, &simulatedVM{address: fmt.Sprint("vm", i)})
	}
	for i := range vms {
		s.start(0, i)
	}
	return s
}

// start starts a VM, which counts all others as heard.
func (s *simulation) start(now time.Duration, i int) {
	vm := s.vms[i]
	vm.starts++
	vm.heard = slices.Repeat([]time.Duration{now}, len(s.vms))
	vm.runs = slices.Repeat([]bool{true}, len(s.vms))
	vm.throttle = sycthrottle.New(now, vm.address, "e", s.view(i))
	vm.throttle.SetFailureDomain(now, "d0")
}

// view returns the VMs as one of them sees them.
func (s *simulation) view(i int) []sycthrottle.VM {
	out := make([]sycthrottle.VM, 0, len(s.vms))
	for j, vm := range s.vms {
		out = append(out, sycthrottle.VM{Address: vm.address, FailureDomain: fmt.Sprint("d", j%domains), Capacity: 1, Runs: s.vms[i].runs[j]})
	}
	return out
}

// exchange sends the reports that are due and delivers those that have arrived.
func (s *simulation) exchange(now time.Duration) {
	if now%s.period != 0 {
		return
	}
	for i, vm := range s.vms {
		report, changed := vm.throttle.TakeReport()
		s.reports = append(s.reports, simulatedReport{from: i, start: vm.starts, at: now, report: report, changed: changed})
	}
	for len(s.reports) > 0 && s.reports[0].at+s.delay <= now {
		r := s.reports[0]
		s.reports = s.reports[1:]
		from := s.vms[r.from]
		for i, vm := range s.vms {
			if i == r.from || r.start != from.starts || s.cut(r.at, i, r.from) {
				continue
			}
			if r.changed || r.report.Sent > 0 {
				vm.throttle.Receive(now, from.address, fmt.Sprint(r.start), r.report)
			}
			vm.throttle.Heard(now, r.at, from.address, fmt.Sprint(r.start))
			vm.heard[r.from] = r.at
		}
	}
	for i, vm := range s.vms {
		changed := false
		for j := range s.vms {
			runs := i == j || now-vm.heard[j] < aliveWithin
			changed = changed || runs != vm.runs[j]
			vm.runs[j] = runs
		}
		if changed {
			vm.throttle.SetVMs(now, s.view(i))
		}
	}
}

// run plays the simulation and returns when the endpoint got its requests. Limit returns what it names at a
// time, and event is called before each step.
func (s *simulation) run(limit func(now time.Duration) float64, event func(now time.Duration)) []time.Duration {
	var sent []time.Duration
	for now := time.Duration(0); now < length; now += simulationStep {
		event(now)
		s.exchange(now)
		first := s.random.IntN(len(s.vms))
		for i := range s.vms {
			throttle := s.vms[(i+first)%len(s.vms)].throttle
			if throttle.Rate() == 0 {
				// Requests while there is no limit aren't counted.
				if s.random.IntN(20) == 0 {
					throttle.Observe(now, now-simulationStep, limit(now))
				}
				continue
			}
			if throttle.Take(now) {
				sent = append(sent, now)
				throttle.Observe(now, now-simulationStep, limit(now))
			}
		}
	}
	return sent
}

// checkBound checks the requests in each window against one and a half times the limit, and 5 requests.
func checkBound(t *testing.T, sent []time.Duration, rate float64, name string) {
	t.Helper()
	for i, first := 0, 0; i < len(sent); i++ {
		for sent[first] < sent[i]-window {
			first++
		}
		must.LessEq(t, 1.5*rate*window.Seconds()+5, float64(i-first+1), must.Sprintf("%s: until %v", name, sent[i]))
	}
}

// TestFleetKeepsAnEndpointsLimit guards against VMs that together send more than a limit allows, or much less.
func TestFleetKeepsAnEndpointsLimit(t *testing.T) {
	fleets := []struct {
		vms           int
		period, delay time.Duration
		seeds         uint64
		rates         []float64
	}{
		{8, 160 * time.Millisecond, 140 * time.Millisecond, 6, []float64{0.5, 2.4}},
		{90, 200 * time.Millisecond, 200 * time.Millisecond, 1, []float64{2.4}},
		{200, 200 * time.Millisecond, 300 * time.Millisecond, 1, []float64{2.4}},
	}
	tests := []struct {
		name string
		// cutVMs is the part of the VMs that is cut off from the others from 8 s to 14 s, and restarts is set if
		// VMs start again all the time.
		cutVMs   func(i int) bool
		restarts bool
		// calm is set if at least eight tenths of the limit must be used.
		calm bool
		// large is set if the largest fleet is played, too.
		large bool
	}{
		{name: "calm", calm: true},
		{name: "cut of the endpoint's failure domain", cutVMs: func(i int) bool { return i%domains == 0 }},
		{name: "cut of another failure domain", cutVMs: func(i int) bool { return i%domains == 1 }},
		{name: "cut in the middle", cutVMs: func(i int) bool { return i%domains < 2 }, large: true},
		{name: "restarts", restarts: true},
	}
	for _, f := range fleets {
		for _, tt := range tests {
			if f.vms > 90 && !tt.calm && !tt.large {
				continue
			}
			t.Run(fmt.Sprint(f.vms, " VMs, ", tt.name), func(t *testing.T) {
				for _, rate := range f.rates {
					for seed := range f.seeds {
						s := newSimulation(f.vms, f.period, f.delay, seed)
						s.cut = func(now time.Duration, a, b int) bool {
							return tt.cutVMs != nil && now >= 8*time.Second && now < 14*time.Second && tt.cutVMs(a) != tt.cutVMs(b)
						}
						sent := s.run(func(time.Duration) float64 { return rate }, func(now time.Duration) {
							if tt.restarts && now > 0 && now%(500*time.Millisecond) == 0 {
								s.start(now, s.random.IntN(f.vms))
							}
						})
						name := fmt.Sprintf("seed %d, limit %v", seed, rate)
						checkBound(t, sent, rate, name)
						if tt.calm {
							must.GreaterEq(t, 0.8*rate*(length.Seconds()-2), float64(len(sent)), must.Sprint(name))
						}
					}
				}
			})
		}
	}
}

// TestFleetFollowsAChangingLimit guards against VMs that go on with a limit that the endpoint has replaced.
func TestFleetFollowsAChangingLimit(t *testing.T) {
	for _, vms := range []int{8, 90} {
		s := newSimulation(vms, 100*time.Millisecond, 200*time.Millisecond, 1)
		limit := func(now time.Duration) float64 {
			if now >= 8*time.Second && now < 16*time.Second {
				return 1
			}
			return 8
		}
		sent := s.run(limit, func(time.Duration) {})
		during := func(from, to time.Duration) float64 {
			n := 0
			for _, at := range sent {
				if at >= from && at < to {
					n++
				}
			}
			return float64(n)
		}
		must.GreaterEq(t, 0.8*8*6, during(2*time.Second, 8*time.Second))
		must.LessEq(t, 1.5*1*7+5, during(9*time.Second, 16*time.Second))
		must.GreaterEq(t, 0.8*8*4, during(18*time.Second, 22*time.Second))
	}
}
