package sycqueue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Usage is a customer's service at one VM.
type Usage struct {
	Customer string
	// Served is the work started since the VM's process started.
	Served float64
	// Queued is the work that waits.
	Queued float64
	Weight float64
}

// Correct charges or refunds the difference between a request's actual and
// expected work.
func (q *Queue[T]) Correct(name string, difference float64) {
	c := q.customers[name]
	if c == nil {
		return
	}
	c.tag += difference / c.weight
	c.served += difference
}

// Charge adds work that a customer was served elsewhere. The customer falls
// behind the others by at most lead work.
func (q *Queue[T]) Charge(name string, weight, work, lead float64) {
	c := q.customer(name, weight)
	ahead := max(q.virtual+lead/c.weight, c.tag)
	c.tag = min(max(c.tag, q.virtual)+work/c.weight, ahead)
}

// Usages lists the customers that have been served or wait, by name.
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

// Forget drops the state of idle customers beyond the given number, the least
// served first.
func (q *Queue[T]) Forget(keep int) {
	if len(q.customers) <= keep {
		return
	}
	idle := make([]*customer[T], 0, len(q.customers))
	for _, c := range q.customers {
		if c.entries.len() == 0 && c.tag <= q.virtual {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *customer[T]) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.name, b.name))
	})
	for _, c := range idle[:min(len(idle), len(q.customers)-keep)] {
		delete(q.customers, c.name)
	}
}

// Wait estimates how long a new request would wait, given the rate in work a
// second at which the queue's requests are served; 0 when the rate is unknown.
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
