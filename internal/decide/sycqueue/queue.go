// Package sycqueue orders waiting requests by weighted fair queueing per
// customer on expected work, measured in tokens.
//
// Among the requests of one customer small ones go first, but a large one
// falls back by a bounded time only and so cannot starve.
package sycqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fallback is how far a request falls back among its customer's for each token of work.
	fallback = 250 * time.Microsecond
	// fallbackPart bounds the falling back to a part of the time to the deadline.
	fallbackPart = 4
	// headTries is the number of requests of one customer that Next offers.
	headTries = 4
)

// Limits bounds a queue.
type Limits struct {
	PerCustomer int
	Total       int
}

// Defaults fills in the limits that are not set.
func (l Limits) Defaults() Limits {
	if l.PerCustomer == 0 {
		l.PerCustomer = 512
	}
	if l.Total == 0 {
		l.Total = 2048
	}
	return l
}

// Entry is a waiting request.
type Entry[T any] struct {
	value    T
	customer *customer[T]
	work     float64
	arrived  time.Duration
	deadline time.Duration
	// rank orders the entries of a customer, least first.
	rank time.Duration
	// index is the entry's place in its customer's heap, -1 outside.
	index int
}

// Value is what was pushed.
func (e *Entry[T]) Value() T { return e.value }

// Work is the expected work.
func (e *Entry[T]) Work() float64 { return e.work }

// Arrived is when the entry was pushed.
func (e *Entry[T]) Arrived() time.Duration { return e.arrived }

// customer is a customer's part of the queue.
type customer[T any] struct {
	name    string
	weight  float64
	entries heap[T]
	queued  float64
	// tag is the virtual time at which the customer's next request starts. It
	// is at least the queue's virtual time whenever a request arrives in an
	// empty part.
	tag float64
	// served only grows.
	served float64
}

// Queue holds waiting requests.
type Queue[T any] struct {
	limits    Limits
	customers map[string]*customer[T]
	// active lists the customers with entries, by name.
	active  []*customer[T]
	virtual float64
	queued  float64
	length  int
}

// New returns an empty queue.
func New[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l.Defaults(), customers: map[string]*customer[T]{}}
}

// Len is the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Work is the expected work of all waiting requests.
func (q *Queue[T]) Work() float64 { return q.queued }

// Push adds a request. When the queue is full, it returns the entry that has
// to go: the newest of the customer with the most waiting work for its weight,
// which may be the new entry itself.
func (q *Queue[T]) Push(now time.Duration, name string, weight, work float64, deadline time.Duration, v T) (entry, shed *Entry[T]) {
	c := q.customer(name, weight)
	late := min(time.Duration(work)*fallback, (deadline-now)/fallbackPart)
	e := &Entry[T]{
		value:    v,
		customer: c,
		work:     max(work, 1),
		arrived:  now,
		deadline: deadline,
		rank:     now + max(late, 0),
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

func (q *Queue[T]) add(e *Entry[T]) {
	c := e.customer
	if c.entries.len() == 0 {
		c.tag = max(c.tag, q.virtual)
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

// Remove takes a waiting request out; entries that are out already are ignored.
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
		q.rest()
	}
}

// rest ends a busy period: nobody waits, so nobody is behind.
func (q *Queue[T]) rest() {
	q.queued = 0
	for _, c := range q.customers {
		q.virtual = max(q.virtual, c.tag)
	}
}

func (q *Queue[T]) heaviest() *customer[T] {
	return slices.MaxFunc(q.active, func(a, b *customer[T]) int {
		return cmp.Compare(a.queued/a.weight, b.queued/b.weight)
	})
}

// Next offers waiting requests in fair order until one is taken, which leaves
// the queue and is charged to its customer. It reports whether one was.
func (q *Queue[T]) Next(take func(*Entry[T]) bool) bool {
	order := slices.Clone(q.active)
	slices.SortStableFunc(order, func(a, b *customer[T]) int { return cmp.Compare(a.tag, b.tag) })
	for _, c := range order {
		for _, e := range c.entries.first(headTries) {
			if !take(e) {
				continue
			}
			q.virtual = max(q.virtual, c.tag)
			c.tag += e.work / c.weight
			c.served += e.work
			q.Remove(e)
			return true
		}
	}
	return false
}

// Expired removes and returns the requests whose deadline has come.
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
