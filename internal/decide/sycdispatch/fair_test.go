package sycdispatch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// simulation runs several VMs and engines in virtual time. Each engine runs a few
// requests at a time.
type simulation struct {
	// rigs are the VMs, engines the engines by name.
	rigs    []*rig
	engines map[string]*simulatedEngine
	now     time.Duration
	// events are the pending events, sorted by time.
	events []simulatedEvent
	// waits holds, by customer, the time from the arrival of each request to its
	// start on an engine. refusals counts each customer's refused requests.
	waits    map[string][]time.Duration
	refusals map[string]int
	// arrivals holds the arrival time and customers the customer of each request, by
	// request ID.
	arrivals  map[uint64]time.Duration
	customers map[uint64]string
	lastID    uint64
	// oneCustomer hides the customers from the dispatchers: all requests count for
	// the same one, so that the queue is first in, first out.
	oneCustomer bool
}

// simulatedEvent is a function to run at a virtual time.
type simulatedEvent struct {
	at  time.Duration
	run func()
}

// simulatedEngine runs requests in order of arrival, engineConcurrency at a time.
type simulatedEngine struct {
	running int
	waiting []func()
}

const (
	engineConcurrency = 2
	engineCount       = 4
)

// newSimulation returns a simulation with the given number of VMs and engineCount
// engines.
func newSimulation(t *testing.T, vms int) *simulation {
	sim := &simulation{
		engines:   map[string]*simulatedEngine{},
		now:       time.Hour,
		waits:     map[string][]time.Duration{},
		refusals:  map[string]int{},
		arrivals:  map[uint64]time.Duration{},
		customers: map[uint64]string{},
	}
	for i := range vms {
		r := newRig(t, uint64(i))
		r.addEngines(engineCount, engineConcurrency)
		sim.rigs = append(sim.rigs, r)
	}
	for i := range engineCount {
		sim.engines[fmt.Sprint("e", i)] = &simulatedEngine{}
	}
	return sim
}

// at schedules a function at the given time, after those scheduled for the same time
// before.
func (sim *simulation) at(at time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(sim.events, at, func(e simulatedEvent, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1)
	})
	sim.events = slices.Insert(sim.events, i, simulatedEvent{at: at, run: run})
}

// every runs a function now and then once per period until the given time.
func (sim *simulation) every(period, until time.Duration, run func()) {
	if sim.now < until {
		run()
		sim.at(sim.now+period, func() { sim.every(period, until, run) })
	}
}

// run runs the scheduled events until none are left.
func (sim *simulation) run() {
	for len(sim.events) > 0 {
		e := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = e.at
		e.run()
	}
}

// handle passes an event to a VM and carries out the decisions that follow.
func (sim *simulation) handle(r *rig, event func()) {
	r.now = sim.now
	event()
	for _, d := range r.Take() {
		name := sim.customers[d.ID]
		if d.Refusal != nil {
			sim.refusals[name]++
			continue
		}
		e := sim.engines[d.Target.Endpoint]
		start := func() { sim.start(e, r, d.ID) }
		if e.running < engineConcurrency {
			start()
		} else {
			e.waiting = append(e.waiting, start)
		}
	}
}

// start runs a request on an engine and schedules its end.
func (sim *simulation) start(e *simulatedEngine, r *rig, id uint64) {
	const serviceTime = 100 * time.Millisecond
	e.running++
	sim.waits[sim.customers[id]] = append(sim.waits[sim.customers[id]], sim.now-sim.arrivals[id])
	sim.at(sim.now+serviceTime, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		sim.handle(r, func() {
			r.Finish(sim.now, id, sycwork.Result{
				Outcome: sycwork.Succeeded, FirstToken: serviceTime, PromptTokens: 3, OutputTokens: 16,
			})
		})
	})
}

// send submits a customer's request to a VM.
func (sim *simulation) send(r *rig, name string) {
	sim.lastID++
	q := r.request(name, "short prompt")
	q.ID = sim.lastID
	q.Deadline = sim.now + 5*time.Second
	if sim.oneCustomer {
		q.Customer = "all"
	}
	sim.customers[q.ID] = name
	sim.arrivals[q.ID] = sim.now
	sim.handle(r, func() { r.Submit(sim.now, q) })
}

// load schedules requests of each customer at random times to random VMs, at the
// given rates per second, and the VMs' ticks and load reports.
func (sim *simulation) load(seed uint64, rates map[string]float64, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, 2))
	end := sim.now + duration
	for _, name := range []string{"greedy", "m0", "m1", "m2", "m3"} {
		for at := sim.now; at < end && rates[name] > 0; {
			at += time.Duration(random.ExpFloat64() / rates[name] * float64(time.Second))
			r := sim.rigs[random.IntN(len(sim.rigs))]
			sim.at(at, func() { sim.send(r, name) })
		}
	}
	sim.every(20*time.Millisecond, end+10*time.Second, func() {
		for _, r := range sim.rigs {
			sim.handle(r, func() { r.Tick(sim.now) })
		}
	})
	sim.every(200*time.Millisecond, end, func() { sim.sendReports() })
}

// sendReports sends the engines' load reports, which arrive 200 ms later.
func (sim *simulation) sendReports() {
	at := sim.now
	for i := range engineCount {
		name := fmt.Sprint("e", i)
		report := sycdispatch.Report{
			Incarnation: "i",
			Running:     sim.engines[name].running,
			Waiting:     len(sim.engines[name].waiting),
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
		}
		sim.at(sim.now+200*time.Millisecond, func() {
			for _, r := range sim.rigs {
				sim.handle(r, func() { r.Report(sim.now, at, name, report) })
			}
		})
	}
}

// exchangeDigests sends digests between all VMs every 200 ms for the given duration.
func (sim *simulation) exchangeDigests(duration time.Duration) {
	sim.every(200*time.Millisecond, sim.now+duration, func() {
		for i, from := range sim.rigs {
			digest := from.Digest(sim.now)
			for j, to := range sim.rigs {
				if i != j {
					sim.handle(to, func() { to.ApplyDigest(sim.now, fmt.Sprint(i), digest) })
				}
			}
		}
	})
}

// worstWait returns the longest of the modest customers' 95th-percentile waits. The
// modest customers are all but greedy.
func (sim *simulation) worstWait() time.Duration {
	worst := time.Duration(0)
	for _, name := range []string{"m0", "m1", "m2", "m3"} {
		waits := sim.waits[name]
		slices.Sort(waits)
		worst = max(worst, waits[len(waits)*95/100])
	}
	return worst
}

// modestRefusals returns the number of refused requests of the modest customers.
func (sim *simulation) modestRefusals() int {
	return sim.refusals["m0"] + sim.refusals["m1"] + sim.refusals["m2"] + sim.refusals["m3"]
}

// TestGreedyCustomer guards against one customer delaying the others. It sends
// requests at eight times the rate of each other customer, which is 1.5 times what
// the engines can run in total.
func TestGreedyCustomer(t *testing.T) {
	const duration = 10 * time.Second
	rates := map[string]float64{"greedy": 80, "m0": 10, "m1": 10, "m2": 10, "m3": 10}
	equalRates := map[string]float64{"greedy": 10, "m0": 10, "m1": 10, "m2": 10, "m3": 10}
	for seed := range uint64(2) {
		measure := func(rates map[string]float64, oneCustomer, shared bool) *simulation {
			sim := newSimulation(t, 3)
			sim.oneCustomer = oneCustomer
			sim.load(seed, rates, duration)
			if shared {
				sim.exchangeDigests(duration + 5*time.Second)
			}
			sim.run()
			return sim
		}
		calm := measure(equalRates, false, true)
		fifo := measure(rates, true, true)
		single := measure(rates, false, false)
		shared := measure(rates, false, true)
		t.Logf("seed %d: worst-served p95 wait: calm %v, FIFO %v, per VM %v, shared %v; refused modest requests %d, %d, %d",
			seed, calm.worstWait(), fifo.worstWait(), single.worstWait(), shared.worstWait(),
			fifo.modestRefusals(), single.modestRefusals(), shared.modestRefusals())
		must.Less(t, fifo.worstWait()/4, shared.worstWait())
		must.Eq(t, 0, shared.modestRefusals())
		must.Greater(t, 0, shared.refusals["greedy"])
	}
}
