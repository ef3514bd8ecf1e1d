package sycoracle

import (
	"encoding/json"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// Evidence holds what callers, engines and services recorded during a run of the
// system under test.
type Evidence struct {
	// Customers are the customers that sent requests, with their rates and bursts.
	Customers []sycload.Customer
	// Exchanges are the callers' requests with the responses they received.
	Exchanges []sycload.Exchange
	// Requests are the requests that all engines received.
	Requests []sycengine.Request
	// Calls are the calls that all services received.
	Calls []sycservice.Call
	// Sightings is how often an endpoint received a caller's key.
	Sightings int
	// Withdrawn maps a customer whose key was withdrawn to a time before which no VM could
	// know that.
	Withdrawn map[string]time.Time
	// Kills maps a router's base URL for callers to the times at which the router was
	// killed without a drain.
	Kills map[string][]time.Time
}

// CheckAll checks the properties that must hold in every run, whatever faults it
// injects, and counts the results in l.
func (e Evidence) CheckAll(l *Ledger) {
	e.checkAnswers(l)
	e.checkEngines(l)
	e.checkCalls(l)
	e.checkKeys(l)
	e.checkRefusals(l)
	e.checkRates(l)
}

// checkAnswers checks that no caller received a wrong response and that every
// stream that began arrived complete, unless its customer's key was withdrawn before it
// could be resumed.
func (e Evidence) checkAnswers(l *Ledger) {
	for _, x := range e.Exchanges {
		l.Check(OwnAnswer, x.Verdict() != sycload.Wrong, "%s: %s", x.Customer(), x.Reason())
		if x.ResponseBegan() {
			l.Check(StreamsWhole, x.Verdict() == sycload.Right || e.lostItsKey(x), "%s: %s", x.Customer(), x.Reason())
		}
	}
}

// lostItsKey reports whether a stream is incomplete for a reason that callers are told of:
// its router was killed, and its key was withdrawn before the stream was resumed.
func (e Evidence) lostItsKey(x sycload.Exchange) bool {
	withdrawn, ok := e.Withdrawn[x.Customer()]
	lost := x.Interruption()
	killed := slices.ContainsFunc(e.Kills[lost.Router], func(at time.Time) bool {
		return !at.Before(lost.Sent) && !at.After(lost.At)
	})
	return ok && killed && x.Reason() == sycload.KeyRefusedReason && !x.Ended().Before(withdrawn)
}

// senders maps the hashes of prompts and the booked slots of the run to the
// customers that sent them.
func (e Evidence) senders() (prompts map[uint64]string, slots map[string]string) {
	prompts, slots = map[uint64]string{}, map[string]string{}
	for _, x := range e.Exchanges {
		if x.Slot() != "" {
			slots[x.Slot()] = x.Customer()
			continue
		}
		prompts[x.PromptHash()] = x.Customer()
	}
	return prompts, slots
}

// checkEngines checks that engines received only prompts that a customer sent, each with
// a cache salt of that customer, and that no salt was used for two customers, weights or
// adapters.
func (e Evidence) checkEngines(l *Ledger) {
	prompts, _ := e.senders()
	weights := map[string]bool{}
	for _, r := range e.Requests {
		weights[r.Weights] = true
	}
	owners := map[string]string{}
	for _, r := range e.Requests {
		customer, known := prompts[r.PromptHash]
		l.Check(OwnCustomer, known, "an engine got a prompt that nobody sent")
		if !known {
			continue
		}
		l.Check(OwnCustomer, hasSaltOf(customer, r, weights), "a prompt of %s ran under another salt", customer)
		owner := customer + "/" + r.Weights + "/" + r.Adapter
		previous, used := owners[r.Salt]
		l.Check(CacheSeparate, !used || previous == owner, "a salt of %s was used for %s", previous, owner)
		owners[r.Salt] = owner
	}
}

// hasSaltOf reports whether a request's cache salt is that of the customer and of the
// request's model and adapter, for any of the given weights. Only requests with the same
// salt share cached blocks.
func hasSaltOf(customer string, r sycengine.Request, weights map[string]bool) bool {
	for w := range weights {
		if r.Salt == sycblock.Salt(customer, r.Model, r.Adapter, w) {
			return true
		}
	}
	return false
}

// bookingBody is the body of a call that books a slot at a booking service.
type bookingBody struct {
	// Slot names what the call books, unique in the run.
	Slot string `json:"slot"`
}

// bookedSlot returns the slot that a call books, or "" if the call books none.
func bookedSlot(c sycservice.Call) string {
	var body bookingBody
	if json.Unmarshal([]byte(c.Body), &body) != nil {
		return ""
	}
	return body.Slot
}

// customerHeader is the request header in which the router names the customer to a
// service.
const customerHeader = "Sycamorecart-Customer"

// checkCalls checks that the router named the right customer to the service in each
// booking, and that no slot was booked twice. It ignores calls that book no slot of the
// run. Calls that a service refused don't count as bookings of their slot.
func (e Evidence) checkCalls(l *Ledger) {
	_, slots := e.senders()
	ran := map[string]int{}
	for _, c := range e.Calls {
		slot := bookedSlot(c)
		customer, known := slots[slot]
		if !known {
			continue
		}
		got := c.Header.Get(customerHeader)
		l.Check(OwnCustomer, got == customer, "a call of %s ran for %q", customer, got)
		if c.Ran {
			ran[slot]++
		}
	}
	for slot := range slots {
		l.Check(AtMostOnce, ran[slot] <= 1, "slot %s was booked %d times", slot, ran[slot])
	}
}

// checkKeys checks that no endpoint received a caller's key.
func (e Evidence) checkKeys(l *Ledger) {
	l.Check(KeysHidden, e.Sightings == 0, "endpoints received a key %d times", e.Sightings)
}

// checkRefusals checks that no endpoint ran a request that the router refused as not
// run.
func (e Evidence) checkRefusals(l *Ledger) {
	prompts := map[uint64]bool{}
	for _, r := range e.Requests {
		if r.Outcome != sycengine.OutcomeRefused {
			prompts[r.PromptHash] = true
		}
	}
	slots := map[string]bool{}
	for _, c := range e.Calls {
		if c.Ran {
			slots[bookedSlot(c)] = true
		}
	}
	for _, x := range e.Exchanges {
		if x.Verdict() != sycload.Refused {
			continue
		}
		ran := prompts[x.PromptHash()]
		if x.Slot() != "" {
			ran = slots[x.Slot()]
		}
		l.Check(NotRunTrue, !ran, "%s: %s", x.Customer(), x.Reason())
	}
}
