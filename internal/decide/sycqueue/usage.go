package sycqueue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Usage is the work of one customer in the queue of one VM, in prompt tokens.
type Usage struct {
	// Customer is the customer's name.
	Customer string
	// Served is the work charged since the VM's process started, after corrections.
	Served float64
	// Queued is the expected work of the waiting requests.
	Queued float64
	// Weight is the customer's weight in fair queueing.
	Weight float64
}

// Correct adds the difference between a request's actual and expected work to the
// customer's charge. A negative difference is a refund.
func (q *Queue[T]) Correct(name string, difference float64) {
	c := q.customers[name]
	if c == nil {
		return
	}
	c.finishTag += difference / c.weight
	c.served += difference
}

// Charge charges a customer for work that was done for it at other VMs. limit is
// the largest amount of work by which such charges can set the customer back behind
// the others. A customer that is already as far behind is charged nothing.
func (q *Queue[T]) Charge(name string, weight, work, limit float64) {
	c := q.customer(name, weight)
	latest := max(q.virtual+limit/c.weight, c.finishTag)
	c.finishTag = min(max(c.finishTag, q.virtual)+work/c.weight, latest)
}

// Usages returns the usage of each customer that the queue knows, sorted by name.
func (q *Queue[T]) Usages() []Usage {
	list := make([]Usage, 0, len(q.customers))
	for _, name := range slices.Sorted(maps.Keys(q.customers)) {
		c := q.customers[name]
		list = append(list, Usage{
			Customer: name,
			Served:   c.served,
			Queued:   c.queued,
			Weight:   c.weight,
		})
	}
	return list
}

// Forget drops the state of idle customers, the least finish tag first, until keep
// customers are left or no further one is idle. A customer is idle if it has no
// waiting request and its finish tag isn't ahead of the virtual time.
func (q *Queue[T]) Forget(keep int) {
	if len(q.customers) <= keep {
		return
	}
	idle := make([]*customer[T], 0, len(q.customers))
	for _, c := range q.customers {
		if c.entries.len() == 0 && c.finishTag <= q.virtual {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *customer[T]) int {
		return cmp.Or(cmp.Compare(a.finishTag, b.finishTag), cmp.Compare(a.name, b.name))
	})
	for _, c := range idle[:min(len(idle), len(q.customers)-keep)] {
		delete(q.customers, c.name)
	}
}

// Wait estimates how long a new request of the customer would wait. rate is the work
// per second that the queue's requests get. The result is 0 if the rate is 0, for
// unknown, or no request waits.
func (q *Queue[T]) Wait(name string, weight, rate float64) time.Duration {
	if rate <= 0 || q.length == 0 {
		return 0
	}
	own, weights := 0.0, max(weight, 0)
	for _, c := range q.active {
		if c.name == name {
			own = c.queued
			continue
		}
		weights += c.weight
	}
	fair := own * weights / max(weight, 1e-9)
	return time.Duration(min(fair, q.queued) / rate * float64(time.Second))
}
