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
	// outputTokenWork is the work of one output token, in prompt tokens.
	outputTokenWork = 4
	// rateWindow is the time over which a pool's rate of finished work is measured.
	rateWindow = time.Second
	// rateSmoothing is the weight of a new measurement in the moving average of the
	// rate.
	rateSmoothing = 0.3
	// requiredWaitFraction is the fraction of the estimated queue wait that must fit
	// before a request's deadline. Less than 1 allows for estimates that are too
	// high.
	requiredWaitFraction = 0.7
	// minRetryAfter is the least time after which the caller may retry a request
	// that was refused for overload.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the greatest time after which the caller may retry such a
	// request.
	maxRetryAfter = time.Minute
	// maxOutputLengths limits the number of customers whose mean output length is
	// stored. When it is reached, the lengths of all customers are dropped.
	maxOutputLengths = 4096
	// maxCustomers is the number of customers above which a queue drops the state of
	// idle ones.
	maxCustomers = 1024
)

// pool holds the waiting requests that compete for the same endpoints, which are
// those of a model or a plain service.
type pool struct {
	// name is the pool's name, see Request.poolName.
	name string
	// queue holds the waiting requests.
	queue *sycqueue.Queue[*Request]
	// finishedWork is the work finished since windowStart, in prompt tokens.
	finishedWork float64
	// windowStart is when the current measurement of the rate began.
	windowStart time.Duration
	// backlogged is true if the queue was never empty since windowStart.
	backlogged bool
	// rate is the moving average of the work finished per second at this VM while
	// requests waited, in prompt tokens. It is 0 until it was measured.
	rate float64
}

// pool returns the named pool and creates it if needed.
func (d *Dispatcher[P]) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, queue: sycqueue.New[*Request](d.options.Limits)}
		d.pools[name] = p
	}
	return p
}

// poolNames returns the names of all pools, sorted.
func (d *Dispatcher[P]) poolNames() []string {
	return slices.Sorted(maps.Keys(d.pools))
}

// measure updates the rate at the end of each window in which the queue was never
// empty.
func (p *pool) measure(now time.Duration) {
	p.backlogged = p.backlogged && p.queue.Len() > 0
	elapsed := now - p.windowStart
	if elapsed < rateWindow {
		return
	}
	if p.backlogged {
		seen := p.finishedWork / elapsed.Seconds()
		if p.rate == 0 {
			p.rate = seen
		}
		p.rate += rateSmoothing * (seen - p.rate)
	}
	p.finishedWork = 0
	p.windowStart = now
	p.backlogged = p.queue.Len() > 0
}

// enqueue adds a request to its pool's queue. It refuses the request if the
// estimated wait is too long for its deadline. If the queue is full, it refuses the
// entry that the queue sheds.
func (d *Dispatcher[P]) enqueue(now time.Duration, p *pool, r *Request) {
	weight := d.weight(r.Customer)
	wait := p.queue.Wait(r.Customer, weight, p.rate)
	left := r.Deadline - now
	if left <= 0 || time.Duration(requiredWaitFraction*float64(wait)) > left {
		d.refuse(r.ID, overloadedRefusal(wait-left))
		return
	}
	entry, shed := p.queue.Push(now, r.Customer, weight, d.expectedWork(now, r), r.Deadline, r)
	d.queued[r.ID] = queuedRequest{pool: p, entry: entry}
	if shed != nil {
		d.refuseQueued(now, p, shed)
	}
}

// refuseQueued refuses a request that was removed from its queue.
func (d *Dispatcher[P]) refuseQueued(_ time.Duration, p *pool, e *sycqueue.Entry[*Request]) {
	r := e.Value()
	delete(d.queued, r.ID)
	d.refuse(r.ID, overloadedRefusal(p.queue.Wait(r.Customer, d.weight(r.Customer), p.rate)))
}

// expectedWork returns the expected work of a request in prompt tokens: its prompt
// tokens that no endpoint has cached, and its expected output tokens times
// outputTokenWork. A request to a plain service counts 1.
func (d *Dispatcher[P]) expectedWork(now time.Duration, r *Request) float64 {
	if r.Model == "" {
		return 1
	}
	deepest := 0
	for _, o := range r.Options {
		deepest = max(deepest, d.matchPrompt(now, r, o))
	}
	output := min(d.outputLengths.expect(r.Customer, r.MaxTokens), r.MaxTokens)
	prompt := max(r.PromptTokens-deepest*sycblock.TokensPerBlock, 1)
	return float64(prompt) + outputTokenWork*float64(output)
}

// weight returns the customer's configured weight in fair queueing, 1 by default.
func (d *Dispatcher[P]) weight(customer string) float64 {
	o, ok := d.config.Customer(customer)
	if !ok || o.Value().Weight() <= 0 {
		return 1
	}
	return o.Value().Weight()
}

// overloadedRefusal returns the refusal of a request for which all endpoints are
// busy. The caller may retry after about the given time.
func overloadedRefusal(after time.Duration) *sycwork.Refusal {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "all endpoints are busy; the request was not run",
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// outputLengths holds the moving average of the output length, in tokens, by
// customer.
type outputLengths map[string]float64

// observe adds the output length of a finished request to the customer's average.
func (o *outputLengths) observe(customer string, tokens int) {
	if *o == nil || len(*o) >= maxOutputLengths {
		*o = outputLengths{}
	}
	old, ok := (*o)[customer]
	if !ok {
		old = float64(tokens)
	}
	(*o)[customer] = old + averageSmoothing*(float64(tokens)-old)
}

// expect returns the expected output length of the customer's next request, or limit
// if none has finished.
func (o *outputLengths) expect(customer string, limit int) int {
	if tokens, ok := (*o)[customer]; ok {
		return int(tokens) + 1
	}
	return limit
}
