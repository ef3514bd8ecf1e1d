package sycdispatch

import (
	"maps"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// outputWork is the work of an output token in prompt tokens.
	outputWork = 4
	// rateWindow is the time over which the rate of finished work is measured.
	rateWindow = time.Second
	// rateStep is the weight of a new measurement of the rate.
	rateStep = 0.3
	// waitTrust is the part of an estimated wait that must fit before the deadline.
	waitTrust = 0.7
	// leastRetry and mostRetry bound the time after which refused requests may
	// be tried again.
	leastRetry = 250 * time.Millisecond
	mostRetry  = time.Minute
	// outputsKept bounds the customers whose answers' length is remembered.
	outputsKept = 4096
	// customersKept bounds the idle customers that a queue remembers.
	customersKept = 1024
)

// pool holds the requests that wait for the same set of endpoints.
type pool struct {
	name  string
	queue *sycqueue.Queue[*Request]
	// finished is the work finished since windowStart.
	finished    float64
	windowStart time.Duration
	// waited is false when the queue was empty at some time in the window.
	waited bool
	// rate is the work finished a second while requests waited; 0 if unknown.
	rate float64
}

func (d *Dispatcher[P]) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, queue: sycqueue.New[*Request](d.options.Limits)}
		d.pools[name] = p
	}
	return p
}

func (d *Dispatcher[P]) poolNames() []string {
	return slices.Sorted(maps.Keys(d.pools))
}

// measure updates the rate at the end of each window.
func (p *pool) measure(now time.Duration) {
	p.waited = p.waited && p.queue.Len() > 0
	elapsed := now - p.windowStart
	if elapsed < rateWindow {
		return
	}
	if p.waited {
		seen := p.finished / elapsed.Seconds()
		if p.rate == 0 {
			p.rate = seen
		}
		p.rate += rateStep * (seen - p.rate)
	}
	p.finished = 0
	p.windowStart = now
	p.waited = p.queue.Len() > 0
}

// enqueue puts a request into its pool's queue, or refuses what cannot start
// before its deadline.
func (d *Dispatcher[P]) enqueue(now time.Duration, p *pool, r *Request) {
	weight := d.weight(r.Customer)
	wait := p.queue.Wait(r.Customer, weight, p.rate)
	left := r.Deadline - now
	if left <= 0 || time.Duration(waitTrust*float64(wait)) > left {
		d.refuse(r.ID, overloaded(wait-left))
		return
	}
	entry, shed := p.queue.Push(now, r.Customer, weight, d.work(now, r), r.Deadline, r)
	d.waiting[r.ID] = waiting{pool: p, entry: entry}
	if shed != nil {
		d.drop(now, p, shed)
	}
}

// drop refuses a request that has left the queue.
func (d *Dispatcher[P]) drop(_ time.Duration, p *pool, e *sycqueue.Entry[*Request]) {
	r := e.Value()
	delete(d.waiting, r.ID)
	d.refuse(r.ID, overloaded(p.queue.Wait(r.Customer, d.weight(r.Customer), p.rate)))
}

// work is the expected work of a request: prompt tokens that no endpoint holds,
// and output.
func (d *Dispatcher[P]) work(now time.Duration, r *Request) float64 {
	if r.Model == "" {
		return 1
	}
	deepest := 0
	for _, o := range r.Options {
		deepest = max(deepest, d.match(now, r, o))
	}
	output := min(d.outputs.expect(r.Customer, r.MaxTokens), r.MaxTokens)
	prompt := max(r.PromptTokens-deepest*sycblock.TokensPerBlock, 1)
	return float64(prompt) + outputWork*float64(output)
}

func (d *Dispatcher[P]) weight(customer string) float64 {
	o, ok := d.config.Customer(customer)
	if !ok || o.Value().Weight() <= 0 {
		return 1
	}
	return o.Value().Weight()
}

func overloaded(after time.Duration) *sycwork.Refusal {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "all endpoints are busy; the request was not run",
		RetryAfter: min(max(after, leastRetry), mostRetry),
	}
}

// outputs remembers how long the answers to each customer are.
type outputs map[string]float64

func (o *outputs) observe(customer string, tokens int) {
	if *o == nil || len(*o) >= outputsKept {
		*o = outputs{}
	}
	old, ok := (*o)[customer]
	if !ok {
		old = float64(tokens)
	}
	(*o)[customer] = old + stayStep*(float64(tokens)-old)
}

func (o *outputs) expect(customer string, limit int) int {
	if tokens, ok := (*o)[customer]; ok {
		return int(tokens) + 1
	}
	return limit
}
