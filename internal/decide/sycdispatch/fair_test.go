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

// crowd is several VMs before engines that each run a few requests at a time,
// in virtual time.
type crowd struct {
	rigs    []*rig
	engines map[string]*slowEngine
	now     time.Duration
	events  []crowdEvent
	waits   map[string][]time.Duration
	refused map[string]int
	arrived map[uint64]time.Duration
	// names are the customers that requests came from.
	names  map[uint64]string
	serial uint64
	// alike makes all customers one to the dispatchers.
	alike bool
}

type crowdEvent struct {
	at  time.Duration
	run func()
}

// slowEngine runs requests in order, slots at a time.
type slowEngine struct {
	running int
	waiting []func()
}

const (
	crowdSlots   = 2
	crowdEngines = 4
)

func newCrowd(t *testing.T, vms int) *crowd {
	c := &crowd{
		engines: map[string]*slowEngine{},
		now:     time.Hour,
		waits:   map[string][]time.Duration{},
		refused: map[string]int{},
		arrived: map[uint64]time.Duration{},
		names:   map[uint64]string{},
	}
	for i := range vms {
		r := newRig(t, uint64(i))
		r.engines(crowdEngines, crowdSlots)
		c.rigs = append(c.rigs, r)
	}
	for i := range crowdEngines {
		c.engines[fmt.Sprint("e", i)] = &slowEngine{}
	}
	return c
}

func (c *crowd) at(at time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(c.events, at, func(e crowdEvent, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1)
	})
	c.events = slices.Insert(c.events, i, crowdEvent{at: at, run: run})
}

func (c *crowd) every(period, until time.Duration, run func()) {
	if c.now < until {
		run()
		c.at(c.now+period, func() { c.every(period, until, run) })
	}
}

func (c *crowd) run() {
	for len(c.events) > 0 {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = e.at
		e.run()
	}
}

// act lets a VM take an event and carries its decisions out.
func (c *crowd) act(r *rig, event func()) {
	r.now = c.now
	event()
	for _, d := range r.Take() {
		name := c.names[d.ID]
		if d.Refusal != nil {
			c.refused[name]++
			continue
		}
		e := c.engines[d.Target.Endpoint]
		start := func() { c.start(e, r, d.ID) }
		if e.running < crowdSlots {
			start()
		} else {
			e.waiting = append(e.waiting, start)
		}
	}
}

func (c *crowd) start(e *slowEngine, r *rig, id uint64) {
	const serviceTime = 100 * time.Millisecond
	e.running++
	c.waits[c.names[id]] = append(c.waits[c.names[id]], c.now-c.arrived[id])
	c.at(c.now+serviceTime, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		c.act(r, func() {
			r.Finish(c.now, id, sycwork.Result{
				Outcome: sycwork.Succeeded, FirstToken: serviceTime, PromptTokens: 3, OutputTokens: 16,
			})
		})
	})
}

// send submits a request of a customer at one VM.
func (c *crowd) send(r *rig, name string) {
	c.serial++
	q := r.request(name, "short prompt")
	q.ID = c.serial
	q.Deadline = c.now + 5*time.Second
	if c.alike {
		q.Customer = "all"
	}
	c.names[q.ID] = name
	c.arrived[q.ID] = c.now
	c.act(r, func() { r.Submit(c.now, q) })
}

// load sends each customer's requests at random times to random VMs for a time.
func (c *crowd) load(seed uint64, rates map[string]float64, lasts time.Duration) {
	random := rand.New(rand.NewPCG(seed, 2))
	end := c.now + lasts
	for _, name := range []string{"greedy", "m0", "m1", "m2", "m3"} {
		for at := c.now; at < end && rates[name] > 0; {
			at += time.Duration(random.ExpFloat64() / rates[name] * float64(time.Second))
			r := c.rigs[random.IntN(len(c.rigs))]
			c.at(at, func() { c.send(r, name) })
		}
	}
	c.every(20*time.Millisecond, end+10*time.Second, func() {
		for _, r := range c.rigs {
			c.act(r, func() { r.Tick(c.now) })
		}
	})
	c.every(200*time.Millisecond, end, func() { c.reports() })
}

// reports sends load reports that are 200 ms old when they arrive.
func (c *crowd) reports() {
	at := c.now
	for i := range crowdEngines {
		name := fmt.Sprint("e", i)
		report := sycdispatch.Report{
			Incarnation: "i",
			Running:     c.engines[name].running,
			Waiting:     len(c.engines[name].waiting),
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
		}
		c.at(c.now+200*time.Millisecond, func() {
			for _, r := range c.rigs {
				c.act(r, func() { r.Report(c.now, at, name, report) })
			}
		})
	}
}

// share passes digests between all VMs.
func (c *crowd) share(lasts time.Duration) {
	c.every(200*time.Millisecond, c.now+lasts, func() {
		for i, from := range c.rigs {
			digest := from.ShareOut(c.now)
			for j, to := range c.rigs {
				if i != j {
					c.act(to, func() { to.ShareIn(c.now, fmt.Sprint(i), digest) })
				}
			}
		}
	})
}

// worst is the longest 95th percentile of the modest customers' waits.
func (c *crowd) worst() time.Duration {
	worst := time.Duration(0)
	for _, name := range []string{"m0", "m1", "m2", "m3"} {
		waits := c.waits[name]
		slices.Sort(waits)
		worst = max(worst, waits[len(waits)*95/100])
	}
	return worst
}

func (c *crowd) modestRefused() int {
	return c.refused["m0"] + c.refused["m1"] + c.refused["m2"] + c.refused["m3"]
}

// TestGreedyCustomer sends one customer at eight times the rate of the others,
// 1.5 times what the engines can do together.
func TestGreedyCustomer(t *testing.T) {
	const lasts = 10 * time.Second
	rates := map[string]float64{"greedy": 80, "m0": 10, "m1": 10, "m2": 10, "m3": 10}
	alone := map[string]float64{"greedy": 10, "m0": 10, "m1": 10, "m2": 10, "m3": 10}
	for seed := range uint64(2) {
		measure := func(rates map[string]float64, alike, shared bool) *crowd {
			c := newCrowd(t, 3)
			c.alike = alike
			c.load(seed, rates, lasts)
			if shared {
				c.share(lasts + 5*time.Second)
			}
			c.run()
			return c
		}
		calm := measure(alone, false, true)
		fifo := measure(rates, true, true)
		single := measure(rates, false, false)
		shared := measure(rates, false, true)
		t.Logf("seed %d: worst-served p95 wait: calm %v, FIFO %v, per VM %v, shared %v; refused modest requests %d, %d, %d",
			seed, calm.worst(), fifo.worst(), single.worst(), shared.worst(),
			fifo.modestRefused(), single.modestRefused(), shared.modestRefused())
		must.Less(t, fifo.worst()/4, shared.worst())
		must.Eq(t, 0, shared.modestRefused())
		must.Greater(t, 0, shared.refused["greedy"])
	}
}
