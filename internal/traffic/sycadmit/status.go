package sycadmit

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// maxCustomers limits the customers that a Status lists.
const maxCustomers = 100

// Status is the state of the rate limiter on this VM, as shown to operators.
type Status struct {
	// Fraction is the part of every customer's rate and burst that this VM accrues, from 0
	// to 1.
	Fraction float64 `json:"fraction"`
	// Slots names the rate slots that this VM holds.
	Slots []string `json:"slots"`
	// Waiting is true while a held slot doesn't accrue in full, because other VMs haven't
	// confirmed it yet.
	Waiting bool `json:"slot_waits_for_reports"`
	// Active is the number of customers whose permits this VM tracks.
	Active int `json:"active_customers"`
	// Customers lists the permits of these customers, sorted by name. It holds at most 100.
	Customers []CustomerPermits `json:"customers"`
}

// CustomerPermits holds the numbers of a customer's permits on this VM.
type CustomerPermits struct {
	// Customer is the customer's name.
	Customer string `json:"customer"`
	// Own counts the permits that this VM accrued, and those that it kept from loans.
	Own float64 `json:"own"`
	// Borrowed counts the permits that this VM has borrowed from peers.
	Borrowed float64 `json:"borrowed"`
	// Lent counts the permits that this VM has lent to peers.
	Lent float64 `json:"lent"`
}

// Status returns the present state of the limiter. It must not be called on the control
// loop.
func (l *Limiter) Status() Status {
	var s Status
	l.options.Loop.Do(func(now time.Duration) { s = l.control.status(now) })
	return s
}

// status returns the present state of the limiter.
func (c *control) status(now time.Duration) Status {
	s := Status{
		Fraction: float64(c.machine.Fraction()) / float64(syclimit.FullFraction),
		Slots:    c.slots.SlotNames(),
		Waiting:  c.slots.Waiting(),
		Active:   c.machine.Customers(),
	}
	var names []string
	c.machine.EachCustomer(func(name string) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names[:min(len(names), maxCustomers)] {
		own, borrowed, lent := c.machine.Permits(now, name)
		s.Customers = append(s.Customers, CustomerPermits{
			Customer: name, Own: requests(own), Borrowed: requests(borrowed), Lent: requests(lent),
		})
	}
	return s
}

// requests converts an amount of permits to a number of requests.
func requests(m syclimit.MicroPermits) float64 { return float64(m) / float64(syclimit.Permit) }
