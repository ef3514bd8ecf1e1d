package sycadmit

import (
	"hash/fnv"
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

// noDeadline leaves the wait to the hold.
const noDeadline = time.Duration(math.MaxInt64)

// control is the limiter's state on the control loop.
type control struct {
	limiter *Limiter
	machine *syclimit.Machine
	slots   *sycslot.Machine
	// config and system are the states that slots and limits follow.
	config   *sycconfig.State
	system   *sycconfig.State
	holdings []sycslot.Holding
	applied  timeline
	peers    []syclimit.Peer
	// waiting holds the channel of each request without a verdict.
	waiting map[uint64]chan<- verdict
	lastID  uint64
	// closed is set before the limiter's goroutines end; none is started then.
	closed bool
}

func newControl(l *Limiter) *control {
	o := l.options
	return &control{
		limiter: l,
		machine: syclimit.New(o.Settings.Limit, o.Loop.Now(), firstID(o.Self.Incarnation)),
		slots:   sycslot.New(o.Self.Address, o.Self.FailureDomain, o.Settings.Slot),
		config:  sycconfig.NewState(),
		system:  sycconfig.NewState(),
		waiting: map[uint64]chan<- verdict{},
	}
}

// firstID spreads the loan ids of processes on the same address.
func firstID(incarnation string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(incarnation))
	return h.Sum64() >> 1
}

// limit returns a customer's limit in the followed state; the zero limit, which
// admits nothing, if there is no such customer.
func (c *control) limit(name string) syclimit.Limit {
	o, ok := c.config.Customer(name)
	if !ok {
		return syclimit.Limit{}
	}
	return syclimit.NewLimit(o.Value().Rate(), o.Value().Burst(), c.applied.since(o.Offset()))
}

func (c *control) generation(name string) uint64 {
	o, _ := c.config.Customer(name)
	return o.Generation()
}

func (c *control) admit(now time.Duration, customer string, decided chan<- verdict) uint64 {
	c.lastID++
	id := c.lastID
	c.waiting[id] = decided
	c.perform(now, c.machine.Admit(now, id, customer, c.limit(customer), noDeadline))
	return id
}

func (c *control) cancel(customer string, id uint64) {
	delete(c.waiting, id)
	c.machine.Cancel(customer, id)
}

func (c *control) tick(now time.Duration) { c.perform(now, c.machine.Tick(now)) }

// perform carries out the machine's actions and sets the timer.
func (c *control) perform(now time.Duration, actions []syclimit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case syclimit.Grant:
			waits.Update(a.Waited.Seconds())
			c.decide(a.Request, verdict{at: now})
		case syclimit.Reject:
			countRefusal(a.Cause)
			c.decide(a.Request, verdict{at: now, refusal: refusal(a)})
		case syclimit.Ask:
			c.limiter.borrow(a, c.generation(a.Customer))
		}
	}
	if next, ok := c.machine.Next(now); ok {
		c.limiter.setWake(next)
	}
}

func (c *control) decide(id uint64, v verdict) {
	decided, ok := c.waiting[id]
	if !ok {
		return
	}
	delete(c.waiting, id)
	decided <- v
}
