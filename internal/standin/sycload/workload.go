// Package sycload is a load generator. It sends the traffic of a workload (the
// customers of a deployment and their requests) to running routers, checks every
// response and measures how each customer is served.
//
// Requests go to a model, or book a slot at a plain service. Each planned request is
// called an arrival, and an arrival with its response an exchange. A slot here is the
// name of what a booking books. It has nothing to do with rate slots.
//
// Arrivals are planned from a seed before the run. They are sent at their planned
// times whether or not earlier requests have ended, and latencies count from the
// planned time, so that a slow router can't hide its own delay.
package sycload

import (
	"slices"
	"time"
)

// Domain is a failure domain of a deployment: VMs and engines that may fail together.
type Domain struct {
	name string
	// vms is the number of entry VMs, which receive the customers' requests.
	vms int
	// engines is the number of engines.
	engines int
}

// Name returns the failure domain's name.
func (d Domain) Name() string { return d.name }

// VMs returns the number of entry VMs in the domain.
func (d Domain) VMs() int { return d.vms }

// Engines returns the number of engines in the domain.
func (d Domain) Engines() int { return d.engines }

// Customer is a customer of a deployment, with its rate limit and its traffic.
type Customer struct {
	name string
	// rate is the customer's rate limit in requests per second.
	rate float64
	// burst is the number of requests that the limit allows at once.
	burst float64
	// excess is the customer's arrival rate in the second half of the morning, as a
	// multiple of its rate limit. It is 0 for a customer that stays within the limit.
	excess float64
	// documents is the number of documents that the prompts of each role share.
	documents int
}

// Name returns the customer's name.
func (c Customer) Name() string { return c.name }

// Rate returns the customer's rate limit in requests per second.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the number of requests that the customer may send at once.
func (c Customer) Burst() float64 { return c.burst }

// requestSize gives the lowest and highest sizes of requests to a model. Sizes are
// uniformly distributed between them.
type requestSize struct {
	// question is the length of the unshared end of the prompt, in tokens.
	// The two elements are the bounds, both included.
	question [2]int
	// output is the length of the response, in tokens.
	output [2]int
}

// Workload is a named deployment with its traffic. A run is a day: the morning, with
// short requests, is its first half, and the evening, with long ones, its second half.
type Workload struct {
	name      string
	domains   []Domain
	customers []Customer
	// services is the number of endpoints of the plain service that books slots.
	services int
	// roles names the kinds of users that send requests. The prompts of a role share its
	// instructions and documents.
	roles []string
	// betweenDomains is the one-way network delay between failure domains.
	betweenDomains time.Duration
	// toClients is the one-way network delay between clients and entry VMs.
	toClients time.Duration
	// morning and evening are the sizes of requests in the first and second half of the
	// run.
	morning requestSize
	evening requestSize
	// preamble, role and document are the lengths in tokens of the shared parts of a
	// prompt: the customer's preamble, the role's instructions and the document.
	preamble, role, document int
	// bookings is the fraction of arrivals that book a slot.
	bookings float64
}

// Name returns the workload's name.
func (w Workload) Name() string { return w.name }

// Domains returns the failure domains.
func (w Workload) Domains() []Domain { return slices.Clone(w.domains) }

// Customers returns the customers.
func (w Workload) Customers() []Customer { return slices.Clone(w.customers) }

// Without returns the workload without the named customers.
func (w Workload) Without(customers ...string) Workload {
	w.customers = slices.DeleteFunc(slices.Clone(w.customers), func(c Customer) bool {
		return slices.Contains(customers, c.name)
	})
	return w
}

// Only returns the workload with the named customer as its only customer.
func (w Workload) Only(customer string) Workload {
	w.customers = slices.DeleteFunc(slices.Clone(w.customers), func(c Customer) bool {
		return c.name != customer
	})
	return w
}

// WithLimit returns the workload with the given rate limit and burst for the named
// customer, whose arrivals change with its rate.
func (w Workload) WithLimit(customer string, rate, burst float64) Workload {
	w.customers = slices.Clone(w.customers)
	for i := range w.customers {
		if w.customers[i].name == customer {
			w.customers[i].rate, w.customers[i].burst = rate, burst
		}
	}
	return w
}

// Services returns the number of endpoints of the plain service that books slots.
func (w Workload) Services() int { return w.services }

// BetweenDomains returns the one-way network delay between failure domains.
func (w Workload) BetweenDomains() time.Duration { return w.betweenDomains }

// ToClients returns the one-way network delay between clients and entry VMs.
func (w Workload) ToClients() time.Duration { return w.toClients }

// Workloads returns all named workloads.
func Workloads() []Workload { return []Workload{bottlers(), dairies()} }

// FindWorkload returns the workload with the given name and whether there is one.
func FindWorkload(name string) (Workload, bool) {
	all := Workloads()
	i := slices.IndexFunc(all, func(w Workload) bool { return w.name == name })
	if i < 0 {
		return Workload{}, false
	}
	return all[i], true
}

// bottlers returns the workload of a bottling company: three failure domains and long
// prompts of four roles.
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
		morning:        requestSize{question: [2]int{20, 120}, output: [2]int{8, 24}},
		evening:        requestSize{question: [2]int{600, 1800}, output: [2]int{48, 128}},
		preamble:       1000,
		role:           1500,
		document:       2000,
		bookings:       0.05,
	}
}

// dairies returns the workload of a union of dairies: four failure domains, longer
// prompts of three roles and more bookings.
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
		morning:        requestSize{question: [2]int{10, 60}, output: [2]int{4, 12}},
		evening:        requestSize{question: [2]int{800, 2400}, output: [2]int{64, 160}},
		preamble:       1500,
		role:           1500,
		document:       3000,
		bookings:       0.08,
	}
}
