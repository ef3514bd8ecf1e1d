// Package sycqueue orders waiting requests by weighted fair queueing. Each customer
// gets service in proportion to its weight, measured in work: the expected cost of a
// request in prompt tokens.
//
// Among the requests of one customer, small ones go first. A large request is
// delayed by a bounded time only, so it can't starve.
package sycqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// delayPerToken is how far each token of work moves a request back among its
	// customer's requests.
	delayPerToken = 250 * time.Microsecond
	// maxDelayDivisor limits this delay to the time until the request's deadline,
	// divided by maxDelayDivisor.
	maxDelayDivisor = 4
	// maxOffersPerCustomer is the number of waiting requests of one customer that a
	// call of Next offers.
	maxOffersPerCustomer = 4
	// defaultPerCustomer is the default limit of one customer's waiting requests.
	defaultPerCustomer = 512
	// defaultTotal is the default limit of all waiting requests in a queue.
	defaultTotal = 2048
)

// Limits limits the number of waiting requests in a queue. A limit of 0 stands for
// its default.
type Limits struct {
	// PerCustomer is the limit for each customer.
	PerCustomer int
	// Total is the limit for all customers together.
	Total int
}

// Defaults returns the limits with those that are 0 replaced by the default.
func (l Limits) Defaults() Limits {
	if l.PerCustomer == 0 {
		l.PerCustomer = defaultPerCustomer
	}
	if l.Total == 0 {
		l.Total = defaultTotal
	}
	return l
}

// Entry is a waiting request in a Queue, with the caller's value.
type Entry[T any] struct {
	// value is the value passed to Push.
	value T
	// customer is the customer that the request counts for.
	customer *customer[T]
	// work is the expected work in prompt tokens, at least 1.
	work float64
	// arrived is when the request was pushed.
	arrived time.Duration
	// deadline is when the request expires if it still waits.
	deadline time.Duration
	// rank orders the entries of a customer, least first. It is the arrival time
	// plus the delay for the request's work.
	rank time.Duration
	// index is the entry's index in its customer's heap, or -1 if it isn't in the
	// queue.
	index int
}

// Value returns the value passed to Push.
func (e *Entry[T]) Value() T { return e.value }

// Work returns the expected work in prompt tokens.
func (e *Entry[T]) Work() float64 { return e.work }

// Arrived returns when the entry was pushed.
func (e *Entry[T]) Arrived() time.Duration { return e.arrived }

// customer holds the waiting requests and the accounting of one customer.
type customer[T any] struct {
	// name is the customer's name.
	name string
	// weight is the customer's weight in fair queueing.
	weight float64
	// entries holds the customer's waiting requests.
	entries heap[T]
	// queued is the expected work of the customer's waiting requests.
	queued float64
	// finishTag is the virtual time at which the work charged to the customer so far
	// ends, and its next request starts. When a request arrives and none is waiting,
	// it is raised to at least the queue's virtual time.
	finishTag float64
	// served is the work charged to the customer at this VM, after corrections.
	served float64
}

// Queue holds waiting requests and hands them out in fair order. Its virtual time,
// the measure of progress in weighted fair queueing, counts work divided by weight.
type Queue[T any] struct {
	// limits are the limits of waiting requests.
	limits Limits
	// customers holds the known customers by name, with and without waiting
	// requests.
	customers map[string]*customer[T]
	// active lists the customers with waiting requests, sorted by name.
	active []*customer[T]
	// virtual is the virtual time. It is the greatest finish tag that a customer had
	// when one of its requests was handed out.
	virtual float64
	// queued is the expected work of all waiting requests.
	queued float64
	// length is the number of waiting requests.
	length int
}

// New returns an empty queue with the given limits.
func New[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l.Defaults(), customers: map[string]*customer[T]{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Work returns the expected work of all waiting requests.
func (q *Queue[T]) Work() float64 { return q.queued }

// Push adds a request with the value v. If the queue is then over a limit, Push
// removes an entry and returns it as shed. This is the newest entry of the customer
// that is over its own limit, or else of the customer with the most waiting work for
// its weight. It may be the new entry itself.
func (q *Queue[T]) Push(now time.Duration, name string, weight, work float64, deadline time.Duration, v T) (entry, shed *Entry[T]) {
	c := q.customer(name, weight)
	delay := min(time.Duration(work)*delayPerToken, (deadline-now)/maxDelayDivisor)
	e := &Entry[T]{
		value:    v,
		customer: c,
		work:     max(work, 1),
		arrived:  now,
		deadline: deadline,
		rank:     now + max(delay, 0),
	}
	q.add(e)
	switch {
	case c.entries.len() > q.limits.PerCustomer:
		shed = c.entries.newest()
	case q.length > q.limits.Total:
		shed = q.heaviest().entries.newest()
	}
	if shed != nil {
		q.Remove(shed)
	}
	return e, shed
}

// customer returns the named customer and creates it if needed. It updates the
// weight, which is 1 if the given one isn't positive.
func (q *Queue[T]) customer(name string, weight float64) *customer[T] {
	c := q.customers[name]
	if c == nil {
		c = &customer[T]{name: name}
		q.customers[name] = c
	}
	c.weight = weight
	if weight <= 0 {
		c.weight = 1
	}
	return c
}

// add adds an entry to its customer's heap and updates the totals.
func (q *Queue[T]) add(e *Entry[T]) {
	c := e.customer
	if c.entries.len() == 0 {
		c.finishTag = max(c.finishTag, q.virtual)
		i, _ := slices.BinarySearchFunc(q.active, c.name, func(a *customer[T], name string) int {
			return cmp.Compare(a.name, name)
		})
		q.active = slices.Insert(q.active, i, c)
	}
	c.entries.push(e)
	c.queued += e.work
	q.queued += e.work
	q.length++
}

// Remove removes a waiting request. Entries that were already removed are ignored.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.index < 0 {
		return
	}
	c := e.customer
	c.entries.remove(e)
	c.queued -= e.work
	q.queued -= e.work
	q.length--
	if c.entries.len() > 0 {
		return
	}
	c.queued = 0
	q.active = slices.DeleteFunc(q.active, func(a *customer[T]) bool { return a == c })
	if q.length == 0 {
		q.endBusyPeriod()
	}
}

// endBusyPeriod resets the accounting when no request waits. It advances the virtual
// time to the greatest finish tag, so that no customer starts the next busy period
// behind others.
func (q *Queue[T]) endBusyPeriod() {
	q.queued = 0
	for _, c := range q.customers {
		q.virtual = max(q.virtual, c.finishTag)
	}
}

// heaviest returns the customer with the most waiting work for its weight.
func (q *Queue[T]) heaviest() *customer[T] {
	return slices.MaxFunc(q.active, func(a, b *customer[T]) int {
		return cmp.Compare(a.queued/a.weight, b.queued/b.weight)
	})
}

// Next offers waiting requests to take in fair order, until take returns true for
// one. That request is removed and its work is charged to its customer. Next reports
// whether a request was taken.
func (q *Queue[T]) Next(take func(*Entry[T]) bool) bool {
	order := slices.Clone(q.active)
	slices.SortStableFunc(order, func(a, b *customer[T]) int { return cmp.Compare(a.finishTag, b.finishTag) })
	for _, c := range order {
		for _, e := range c.entries.first(maxOffersPerCustomer) {
			if !take(e) {
				continue
			}
			q.virtual = max(q.virtual, c.finishTag)
			c.finishTag += e.work / c.weight
			c.served += e.work
			q.Remove(e)
			return true
		}
	}
	return false
}

// Expired removes and returns the requests whose deadline has been reached.
func (q *Queue[T]) Expired(now time.Duration) []*Entry[T] {
	var list []*Entry[T]
	for _, c := range q.active {
		for _, e := range c.entries.entries {
			if e.deadline <= now {
				list = append(list, e)
			}
		}
	}
	for _, e := range list {
		q.Remove(e)
	}
	return list
}
