package sycoracle

import (
	"encoding/json"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// Evidence is what callers, engines and services recorded of a run.
type Evidence struct {
	Customers []sycload.Customer
	Exchanges []sycload.Exchange
	// Requests are those of all engines, Calls those of all services.
	Requests []sycengine.Request
	Calls    []sycservice.Call
	// Sightings is how often endpoints received a caller's key.
	Sightings int
}

// CheckAll checks the properties that every run must keep.
func (e Evidence) CheckAll(l *Ledger) {
	e.checkAnswers(l)
	e.checkEngines(l)
	e.checkCalls(l)
	e.checkKeys(l)
	e.checkRefusals(l)
	e.checkRates(l)
}

func (e Evidence) checkAnswers(l *Ledger) {
	for _, x := range e.Exchanges {
		l.Check(OwnAnswer, x.Verdict() != sycload.Wrong, "%s: %s", x.Customer(), x.Reason())
		if x.ResponseBegan() {
			l.Check(StreamsWhole, x.Verdict() == sycload.Right, "%s: %s", x.Customer(), x.Reason())
		}
	}
}

// senders maps the prompts and slots of the run to the customers that sent them.
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

// checkEngines checks that each prompt ran under a salt of its sender, and that
// no salt served two customers or two weights.
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
		l.Check(OwnCustomer, saltOf(customer, r, weights), "a prompt of %s ran under another salt", customer)
		owner := customer + "/" + r.Weights + "/" + r.Adapter
		former, used := owners[r.Salt]
		l.Check(CacheSeparate, !used || former == owner, "a salt of %s was used for %s", former, owner)
		owners[r.Salt] = owner
	}
}

// saltOf reports whether a request ran under the customer's salt for any of the weights.
func saltOf(customer string, r sycengine.Request, weights map[string]bool) bool {
	for w := range weights {
		if r.Salt == sycblock.Salt(customer, r.Model, r.Adapter, w) {
			return true
		}
	}
	return false
}

type slotBody struct {
	Slot string `json:"slot"`
}

// slotOf is the slot that a call books; empty for other calls.
func slotOf(c sycservice.Call) string {
	var body slotBody
	if json.Unmarshal([]byte(c.Body), &body) != nil {
		return ""
	}
	return body.Slot
}

// customerHeader names the customer to services.
const customerHeader = "Sycamorecart-Customer"

func (e Evidence) checkCalls(l *Ledger) {
	_, slots := e.senders()
	ran := map[string]int{}
	for _, c := range e.Calls {
		slot := slotOf(c)
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

func (e Evidence) checkKeys(l *Ledger) {
	l.Check(KeysHidden, e.Sightings == 0, "endpoints received a key %d times", e.Sightings)
}

// checkRefusals checks that what was refused as not run reached no endpoint
// that ran it.
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
			slots[slotOf(c)] = true
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
