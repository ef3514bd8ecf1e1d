package sycadmit

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// maxStatus bounds the customers that a status lists.
const maxStatus = 100

// Status is what operators see of the limits on this VM.
type Status struct {
	// Fraction of every customer's rate and burst that accrues here, 0 to 1.
	Fraction float64  `json:"fraction"`
	Slots    []string `json:"slots"`
	// Waiting is set while a slot waits for reports of other VMs.
	Waiting bool `json:"slot_waits_for_reports"`
	// Active counts the customers with state here.
	Active    int               `json:"active_customers"`
	Customers []CustomerPermits `json:"customers"`
}

// CustomerPermits is a customer's tokens on this VM, in requests.
type CustomerPermits struct {
	Customer string  `json:"customer"`
	Own      float64 `json:"own"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
}

// Status returns the present state. It must not be called on the control loop.
func (l *Limiter) Status() Status {
	var s Status
	l.options.Loop.Do(func(now time.Duration) { s = l.control.shares(now) })
	return s
}

func (c *control) shares(now time.Duration) Status {
	s := Status{
		Fraction: float64(c.machine.Fraction()) / float64(syclimit.FullFraction),
		Slots:    c.slots.SlotNames(),
		Waiting:  c.slots.Waiting(),
		Active:   c.machine.Customers(),
	}
	var names []string
	c.machine.EachCustomer(func(name string) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names[:min(len(names), maxStatus)] {
		own, borrowed, lent := c.machine.Permits(now, name)
		s.Customers = append(s.Customers, CustomerPermits{
			Customer: name, Own: requests(own), Borrowed: requests(borrowed), Lent: requests(lent),
		})
	}
	return s
}

func requests(m syclimit.MicroPermits) float64 { return float64(m) / float64(syclimit.Permit) }
