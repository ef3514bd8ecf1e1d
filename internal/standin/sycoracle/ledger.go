// Package sycoracle checks what a run did against the properties that must
// always hold, from the records of callers, engines and services.
package sycoracle

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Property is something that must always hold.
type Property string

// Properties.
const (
	CacheSeparate  Property = "no cached block is shared between customers, weights or incarnations"
	StreamsWhole   Property = "every stream arrives complete and in order"
	RestartServes  Property = "a restarted VM serves at once"
	OwnCustomer    Property = "a request runs only for the customer of its key"
	KeysHidden     Property = "no endpoint sees a caller's key"
	KeysRevoked    Property = "a revoked key stops working within seconds"
	RateHeld       Property = "no customer exceeds its rate and burst over all VMs"
	BadVersionHeld Property = "a bad version gets a small share, and none once it shows"
	OwnAnswer      Property = "each caller gets the answer to its own request"
	NotRunTrue     Property = "a refusal as not run is true"
	AtMostOnce     Property = "a call that may not be repeated runs at most once"
	LeavingIdle    Property = "a leaving endpoint gets no new work"
	DrainWhole     Property = "a graceful shutdown cuts no request"
	SlotHeldOnce   Property = "no two VMs accrue the same slot"
	SlotsReturn    Property = "the slots of VMs that are gone accrue again"
	OrdersFenced   Property = "no order comes under an older fencing number than one before"
	DeadlineHeld   Property = "a version is done or rolled back by its deadline, with a reason"
	OneWinner      Property = "of operators that race one wins, and no record is applied twice"
	ServesThrough  Property = "requests are answered or refused while the platform is out or cut off"
	ConfigHolds    Property = "accepted configuration holds everywhere and never reverts"
)

// Properties lists all properties.
func Properties() []Property {
	return []Property{
		CacheSeparate, StreamsWhole, RestartServes, OwnCustomer, KeysHidden, KeysRevoked, RateHeld,
		BadVersionHeld, OwnAnswer, NotRunTrue, AtMostOnce, LeavingIdle, DrainWhole,
		SlotHeldOnce, SlotsReturn, OrdersFenced, DeadlineHeld, OneWinner, ServesThrough, ConfigHolds,
	}
}

// maxNotes bounds the descriptions that a ledger keeps for a property.
const maxNotes = 5

// Ledger counts how often each property was tried and broken.
type Ledger struct {
	mu     sync.Mutex
	tried  map[Property]int
	broken map[Property]int
	notes  map[Property][]string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{tried: map[Property]int{}, broken: map[Property]int{}, notes: map[Property][]string{}}
}

// Check counts a trial of a property; the format describes a breach.
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

// Tried is how often a property was tried.
func (l *Ledger) Tried(p Property) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tried[p]
}

// Broken is how often a property was broken.
func (l *Ledger) Broken(p Property) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken[p]
}

// Notes describes the first breaches of a property.
func (l *Ledger) Notes(p Property) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.notes[p])
}

// Sound reports whether no property was broken.
func (l *Ledger) Sound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.broken) == 0
}

// Add takes in the counts of another ledger, its notes marked with a label.
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

// Write writes the counts as a table, followed by the breaches.
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
