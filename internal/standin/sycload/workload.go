// Package sycload drives running routers with the traffic of a deployment,
// checks every answer and measures how each customer fares.
//
// Arrivals are planned from a seed before the run and sent at their times
// whether or not earlier ones were answered, and every latency counts from the
// planned time, so that a slow router can't hide its own delay.
package sycload

import (
	"slices"
	"time"
)

// Domain is a failure domain of a deployment.
type Domain struct {
	name    string
	vms     int
	engines int
}

// Name is the failure domain's name.
func (d Domain) Name() string { return d.name }

// VMs is the number of entry VMs in the domain.
func (d Domain) VMs() int { return d.vms }

// Engines is the number of model workers in the domain.
func (d Domain) Engines() int { return d.engines }

// Customer is a customer of a deployment.
type Customer struct {
	name string
	// rate and burst are its limits, in requests a second and requests.
	rate  float64
	burst float64
	// excess is how many times its rate it sends in the morning's second half;
	// 0 for a customer that keeps to it.
	excess float64
	// documents is the number of shared documents that each role asks about.
	documents int
}

// Name is the customer's name.
func (c Customer) Name() string { return c.name }

// Rate is the customer's limit in requests a second.
func (c Customer) Rate() float64 { return c.rate }

// Burst is the number of requests that the customer may send at once.
func (c Customer) Burst() float64 { return c.burst }

// size is a distribution of request sizes, uniform between its bounds.
type size struct {
	// question is the unshared part of the prompt, in tokens.
	question [2]int
	// output is the length of the answer, in tokens.
	output [2]int
}

// Workload is a named deployment with its traffic.
type Workload struct {
	name      string
	domains   []Domain
	customers []Customer
	services  int
	roles     []string
	// betweenDomains and toClients are one-way delays.
	betweenDomains time.Duration
	toClients      time.Duration
	morning        size
	evening        size
	// preamble, role and document are the lengths of the nested shared prefixes,
	// in tokens.
	preamble, role, document int
	// bookings is the share of arrivals that book a slot.
	bookings float64
}

// Name is the workload's name.
func (w Workload) Name() string { return w.name }

// Domains lists the failure domains.
func (w Workload) Domains() []Domain { return slices.Clone(w.domains) }

// Customers lists the customers.
func (w Workload) Customers() []Customer { return slices.Clone(w.customers) }

// Without returns the workload without some of its customers.
func (w Workload) Without(customers ...string) Workload {
	w.customers = slices.DeleteFunc(slices.Clone(w.customers), func(c Customer) bool {
		return slices.Contains(customers, c.name)
	})
	return w
}

// Only returns the workload with just one of its customers.
func (w Workload) Only(customer string) Workload {
	w.customers = slices.DeleteFunc(slices.Clone(w.customers), func(c Customer) bool {
		return c.name != customer
	})
	return w
}

// Limited returns the workload with another rate and burst for a customer.
func (w Workload) Limited(customer string, rate, burst float64) Workload {
	w.customers = slices.Clone(w.customers)
	for i := range w.customers {
		if w.customers[i].name == customer {
			w.customers[i].rate, w.customers[i].burst = rate, burst
		}
	}
	return w
}

// Services is the number of application workers.
func (w Workload) Services() int { return w.services }

// BetweenDomains is the one-way delay between failure domains.
func (w Workload) BetweenDomains() time.Duration { return w.betweenDomains }

// ToClients is the one-way delay between clients and entry VMs.
func (w Workload) ToClients() time.Duration { return w.toClients }

// Workloads lists the named workloads.
func Workloads() []Workload { return []Workload{bottlers(), dairies()} }

// FindWorkload returns a workload by its name.
func FindWorkload(name string) (Workload, bool) {
	all := Workloads()
	at := slices.IndexFunc(all, func(w Workload) bool { return w.name == name })
	if at < 0 {
		return Workload{}, false
	}
	return all[at], true
}

func bottlers() Workload {
	return Workload{
		name: "bottlers",
		domains: []Domain{
			{"zakopane", 3, 4},
			{"nowy-targ", 3, 3},
			{"krynica", 2, 3},
		},
		customers: []Customer{
			{name: "rota", rate: 30, burst: 60, documents: 6},
			{name: "tatra", rate: 24, burst: 48, documents: 6},
			{name: "gorce", rate: 6, burst: 12, documents: 2},
			{name: "beskid", rate: 5, burst: 10, documents: 2},
			{name: "pieniny", rate: 4, burst: 8, excess: 5, documents: 2},
		},
		services:       3,
		roles:          []string{"planner", "foreman", "dispatcher", "clerk"},
		betweenDomains: 1500 * time.Microsecond,
		toClients:      time.Millisecond,
		morning:        size{question: [2]int{20, 120}, output: [2]int{8, 24}},
		evening:        size{question: [2]int{600, 1800}, output: [2]int{48, 128}},
		preamble:       1000,
		role:           1500,
		document:       2000,
		bookings:       0.05,
	}
}

func dairies() Workload {
	return Workload{
		name: "dairies",
		domains: []Domain{
			{"larisa", 2, 3},
			{"trikala", 2, 3},
			{"karditsa", 2, 3},
			{"volos", 2, 3},
		},
		customers: []Customer{
			{name: "union", rate: 32, burst: 64, documents: 6},
			{name: "thessaly", rate: 22, burst: 44, documents: 6},
			{name: "epirus", rate: 6, burst: 12, documents: 3},
			{name: "inspectors", rate: 5, burst: 10, documents: 3},
			{name: "drivers", rate: 5, burst: 10, excess: 4, documents: 1},
		},
		services:       4,
		roles:          []string{"driver", "farmer", "inspector"},
		betweenDomains: 500 * time.Microsecond,
		toClients:      3 * time.Millisecond,
		morning:        size{question: [2]int{10, 60}, output: [2]int{4, 12}},
		evening:        size{question: [2]int{800, 2400}, output: [2]int{64, 160}},
		preamble:       1500,
		role:           1500,
		document:       3000,
		bookings:       0.08,
	}
}
