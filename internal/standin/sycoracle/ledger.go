// Package sycoracle checks the properties that the router must always keep. It
// compares what callers, engines and services recorded during a test run (the
// evidence) with what each property allows, and counts checks and violations in a
// ledger.
//
// A call is a request to a service. A booking is a call that books a slot, a name that a
// caller chooses.
package sycoracle

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Property is a guarantee of the router that must hold under every fault. Its value is
// the sentence that reports print.
type Property string

// The properties. A salt keeps the cached blocks of customers apart, and a slot in the
// texts is a rate slot, a fraction of a customer's rate that one VM holds.
const (
	// CacheSeparate is violated when two customers, weights or adapters share a salt.
	CacheSeparate Property = "no cached block is shared between customers, weights or incarnations"
	// StreamsWhole is violated when a stream that began is not received complete, unless
	// its VM was killed and its key withdrawn before the stream was resumed.
	StreamsWhole Property = "every stream arrives complete and in order"
	// RestartServes is violated when a restarted VM takes too long to be ready.
	RestartServes Property = "a restarted VM serves at once"
	// OwnCustomer is violated when an endpoint receives a request for another customer.
	OwnCustomer Property = "a request runs only for the customer of its key"
	// KeysHidden is violated when an endpoint receives a caller's key.
	KeysHidden Property = "no endpoint sees a caller's key"
	// KeysRevoked is violated when a request with a revoked key is served.
	KeysRevoked Property = "a revoked key stops working within seconds"
	// RateHeld is violated when a customer gets more requests than rate and burst allow.
	RateHeld Property = "no customer exceeds its rate and burst over all VMs"
	// BadVersionHeld is violated when a failing version gets too many requests or isn't rolled back.
	BadVersionHeld Property = "a bad version gets a small share, and none once it shows"
	// OwnAnswer is violated when a caller receives a wrong response.
	OwnAnswer Property = "each caller gets the answer to its own request"
	// NotRunTrue is violated when an endpoint ran a request that was refused as not run.
	NotRunTrue Property = "a refusal as not run is true"
	// AtMostOnce is violated when a booking runs twice, or after its claim expired.
	AtMostOnce Property = "a call that may not be repeated runs at most once"
	// LeavingIdle is violated when an endpoint that is leaving gets a request.
	LeavingIdle Property = "a leaving endpoint gets no new work"
	// DrainWhole is violated when a graceful shutdown fails a request or forces a resume.
	DrainWhole Property = "a graceful shutdown cuts no request"
	// SlotHeldOnce is violated when the VMs of a failure domain together accrue more than its
	// fraction of a rate.
	SlotHeldOnce Property = "no two VMs accrue the same slot"
	// SlotsReturn is violated when the rate slots of a replaced VM stay unused.
	SlotsReturn Property = "the slots of VMs that are gone accrue again"
	// OrdersFenced is violated when an engine order has a lower fencing number than one before.
	OrdersFenced Property = "no order comes under an older fencing number than one before"
	// DeadlineHeld is violated when a rollout ends late, in the wrong state or without a reason.
	DeadlineHeld Property = "a version is done or rolled back by its deadline, with a reason"
	// OneWinner is violated unless exactly one of several conflicting operations is accepted.
	OneWinner Property = "of operators that race one wins, and no record is applied twice"
	// ServesThrough is violated when a request fails, or a customer gets no response, during an
	// outage of the platform.
	ServesThrough Property = "requests are answered or refused while the platform is out or cut off"
	// ConfigHolds is violated when a VM applies configuration late or goes back to an older one.
	ConfigHolds Property = "accepted configuration holds everywhere and never reverts"
)

// Properties returns all properties in the order in which reports list them.
func Properties() []Property {
	return []Property{
		CacheSeparate, StreamsWhole, RestartServes, OwnCustomer, KeysHidden, KeysRevoked, RateHeld,
		BadVersionHeld, OwnAnswer, NotRunTrue, AtMostOnce, LeavingIdle, DrainWhole,
		SlotHeldOnce, SlotsReturn, OrdersFenced, DeadlineHeld, OneWinner, ServesThrough, ConfigHolds,
	}
}

// maxNotes limits the violations that a ledger describes per property; further ones
// are only counted.
const maxNotes = 5

// Ledger counts how often each property was checked (tried) and violated (broken). It
// is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// tried counts the checks of each property, passed or not.
	tried map[Property]int
	// broken counts the failed checks of each property.
	broken map[Property]int
	// notes describes the first failed checks of each property.
	notes map[Property][]string
}

// NewLedger returns a ledger without any checks.
func NewLedger() *Ledger {
	return &Ledger{tried: map[Property]int{}, broken: map[Property]int{}, notes: map[Property][]string{}}
}

// Check counts a check of a property, which held or was violated. The format and its
// arguments describe the violation.
func (l *Ledger) Check(p Property, held bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tried[p]++
	if held {
		return
	}
	l.broken[p]++
	if len(l.notes[p]) < maxNotes {
		l.notes[p] = append(l.notes[p], fmt.Sprintf(format, args...))
	}
}

// Tried returns how often a property was checked.
func (l *Ledger) Tried(p Property) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tried[p]
}

// Broken returns how often a check found a property violated.
func (l *Ledger) Broken(p Property) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken[p]
}

// Notes returns descriptions of the first violations of a property.
func (l *Ledger) Notes(p Property) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.notes[p])
}

// Sound reports whether no check found a violation.
func (l *Ledger) Sound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.broken) == 0
}

// Add adds the counts of another ledger and appends its notes, each prefixed with the
// label.
func (l *Ledger) Add(label string, other *Ledger) {
	other.mu.Lock()
	defer other.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range Properties() {
		l.tried[p] += other.tried[p]
		if n := other.broken[p]; n > 0 {
			l.broken[p] += n
		}
		for _, note := range other.notes[p] {
			l.notes[p] = append(l.notes[p], label+": "+note)
		}
	}
}

// Write writes the counts as a table, followed by the noted violations.
func (l *Ledger) Write(w io.Writer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "property\ttried\tbroken")
	for _, p := range Properties() {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p, l.tried[p], l.broken[p])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, p := range Properties() {
		for _, note := range l.notes[p] {
			if _, err := fmt.Fprintf(w, "broken: %s: %s\n", p, note); err != nil {
				return err
			}
		}
	}
	return nil
}
