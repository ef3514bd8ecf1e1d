package sycadmit

import (
	"hash/fnv"
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

// noDeadline is a time that is never reached. An admission with it as its deadline is
// bounded by syclimit.Settings.MaxWait alone.
const noDeadline = time.Duration(math.MaxInt64)

// control is the part of a Limiter's state that only the control loop may access.
type control struct {
	// limiter is the Limiter that the state belongs to.
	limiter *Limiter
	// machine decides which requests get a permit.
	machine *syclimit.Machine
	// slots decides which rate slots this VM accrues.
	slots *sycslot.Machine
	// config and system are the states that this VM has applied from the config and
	// system streams. The rate slots and the limits are taken from them.
	config *sycconfig.State
	system *sycconfig.State
	// holdings lists the fraction of the rates that each VM of the fleet holds.
	holdings []sycslot.Holding
	// applied tells when this VM applied each record of the config stream.
	applied timeline
	// peers lists the VMs from which machine may borrow permits.
	peers []syclimit.Peer
	// waiting maps the ID of each waiting request to the channel for its verdict.
	waiting map[uint64]chan<- verdict
	// lastID is the ID of the newest request.
	lastID uint64
	// closed is set when Close begins. No loan is requested after that.
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

// firstID returns the first loan ID of the process with the given incarnation. It is a
// hash, so that processes that run at the same address in turn use different ranges of IDs.
func firstID(incarnation string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(incarnation))
	return h.Sum64() >> 1
}

// limit returns a customer's limit in the applied config state. For an unknown customer
// it returns the zero limit, which admits nothing.
func (c *control) limit(name string) syclimit.Limit {
	o, ok := c.config.Customer(name)
	if !ok {
		return syclimit.Limit{}
	}
	return syclimit.NewLimit(o.Value().Rate(), o.Value().Burst(), c.applied.appliedAt(o.Offset()))
}

// generation returns the generation of a customer's record, 0 if there is none. It
// counts the accepted operations on the record.
func (c *control) generation(name string) uint64 {
	o, _ := c.config.Customer(name)
	return o.Generation()
}

// admit queues a request for a permit and returns its ID. The verdict is sent to decided.
func (c *control) admit(now time.Duration, customer string, decided chan<- verdict) uint64 {
	c.lastID++
	id := c.lastID
	c.waiting[id] = decided
	c.perform(now, c.machine.Admit(now, id, customer, c.limit(customer), noDeadline))
	return id
}

// cancel removes a waiting request whose caller no longer waits.
func (c *control) cancel(customer string, id uint64) {
	delete(c.waiting, id)
	c.machine.Cancel(customer, id)
}

// tick serves the waiting requests of all customers whose permits this VM tracks.
func (c *control) tick(now time.Duration) { c.perform(now, c.machine.Tick(now)) }

// perform executes the actions that machine returned and sets the timer for its next tick.
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

// decide sends a waiting request its verdict.
func (c *control) decide(id uint64, v verdict) {
	decided, ok := c.waiting[id]
	if !ok {
		return
	}
	delete(c.waiting, id)
	decided <- v
}
