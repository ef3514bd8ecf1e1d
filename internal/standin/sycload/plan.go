package sycload

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// requestKind is the kind of HTTP request that an arrival sends.
type requestKind int

const (
	// chatStream is a chat completion with a streamed response.
	chatStream requestKind = iota
	// chatUnary is a chat completion with a response that isn't streamed.
	chatUnary
	// textStream is a text completion with a streamed response.
	textStream
	// booking books a slot at a plain service.
	booking
)

// Constants of the traffic's shape.
const (
	// peakFraction is the fraction of its rate limit that a customer sends at the
	// morning's peak. RateFactor multiplies it.
	peakFraction = 0.7
	// eveningFraction is the height of the evening's peak as a fraction of the
	// morning's peak.
	eveningFraction = 0.15
	// baseFraction is the traffic between the peaks as a fraction of the peak.
	baseFraction = 0.1
	// zipfExponent is the exponent of the Zipf distribution of documents: the document
	// of rank k is used in proportion to 1/k^zipfExponent.
	zipfExponent = 1.2
)

// arrival is one planned request.
type arrival struct {
	// at is the time of the request from the start of the run.
	at time.Duration
	// customer is the index of the customer in the workload.
	customer int
	kind     requestKind
	// router is a random number that selects a router, modulo the number of routers.
	router int
	// messages is the chat that a request to a model sends. A text completion sends
	// them joined.
	messages []sycblock.Message
	// output is the number of tokens asked for.
	output int
	// slot is the slot that a booking books, unique in the run.
	slot string
	// withinRate reports whether the request is within the customer's rate and burst.
	withinRate bool
}

// ModelRequest is a planned request to a model, for senders other than Run.
type ModelRequest struct {
	// At is the time of the request from the start of the run.
	At time.Duration
	// Customer is the name of the customer that sends it.
	Customer string
	// Prompt is the text that the engine should receive.
	Prompt string
	// Output is the number of tokens asked for.
	Output int
	// Router is a random number that selects a router, modulo the number of routers.
	Router int
}

// ModelRequests returns the requests to models that Run sends with the options, in the
// order of their times.
func ModelRequests(o Options) []ModelRequest {
	o = o.Defaults()
	var list []ModelRequest
	for _, a := range newPlan(o) {
		if a.kind == booking {
			continue
		}
		list = append(list, ModelRequest{
			At:       a.at,
			Customer: o.Workload.customers[a.customer].name,
			Prompt:   sycblock.Flatten(a.messages),
			Output:   a.output,
			Router:   a.router,
		})
	}
	return list
}

// newPlan returns the arrivals of all customers, at most MaxRequests, in the order of
// their times.
func newPlan(o Options) []arrival {
	var plan []arrival
	for i, c := range o.Workload.customers {
		seed := fnv.New64a()
		_, _ = seed.Write([]byte(c.name))
		rng := rand.New(rand.NewPCG(o.Seed, seed.Sum64()))
		p := planner{options: o, customer: i, rng: rng}
		p.library = newLibrary(rng, o.Workload, c, o.Documents)
		plan = append(plan, p.arrivals()...)
	}
	slices.SortStableFunc(plan, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return plan[:min(len(plan), o.MaxRequests)]
}

// planner plans the arrivals of one customer.
type planner struct {
	options Options
	// customer is the index of the customer in the workload.
	customer int
	library  *library
	// rng is seeded with the run's seed and the customer's name.
	rng *rand.Rand
}

// arrivals returns the customer's arrivals, a Poisson process whose rate varies over
// the run.
func (p *planner) arrivals() []arrival {
	c := p.options.Workload.customers[p.customer]
	bucket := tokenBucket{rate: c.rate, burst: c.burst, permits: c.burst}
	maxRate := c.rate * peakFraction * max(1, c.excess/peakFraction) * p.options.RateFactor
	var list []arrival
	at := time.Duration(0)
	for len(list) < p.options.MaxRequests {
		at += time.Duration(p.rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= p.options.Duration {
			break
		}
		// Thinning: arrivals at maxRate are dropped at random, so that those
		// left have the rate of their time.
		if p.rng.Float64()*maxRate > p.rate(c, at) {
			continue
		}
		a := p.arrival(c, at, len(list))
		a.withinRate = bucket.take(at)
		list = append(list, a)
	}
	return list
}

// position returns a time as a fraction of the run's duration, 0 to 1.
func (p *planner) position(at time.Duration) float64 {
	return float64(at) / float64(p.options.Duration)
}

// rate returns the arrival rate at a time, in requests per second. The morning is the
// first half of the run and the evening the second, each with one peak in its middle.
// A customer with an excess sends it in the second half of the morning.
func (p *planner) rate(c Customer, at time.Duration) float64 {
	x := p.position(at)
	peak := math.Pow(math.Sin(2*math.Pi*x), 2)
	level := baseFraction + (1-baseFraction)*peak
	if x >= 0.5 {
		level *= eveningFraction
	}
	if c.excess > 0 && x >= 0.25 && x < 0.5 {
		return c.rate * c.excess * p.options.RateFactor
	}
	return c.rate * peakFraction * level * p.options.RateFactor
}

// arrival returns the customer's n-th arrival, with random contents.
func (p *planner) arrival(c Customer, at time.Duration, n int) arrival {
	w := p.options.Workload
	a := arrival{at: at, customer: p.customer, router: p.rng.IntN(1 << 30)}
	s := w.morning
	if p.position(at) >= 0.5 {
		s = w.evening
	}
	a.kind = p.kind()
	if a.kind == booking {
		a.slot = fmt.Sprintf("%s-%d-%d", c.name, p.options.Seed, n)
		return a
	}
	role := p.rng.IntN(len(w.roles))
	question := fmt.Sprintf("Question %d. %s", n, randomText(p.rng, between(p.rng, s.question)))
	a.messages = p.library.messages(role, p.document(c, role, at), question)
	a.output = between(p.rng, s.output)
	return a
}

// kind returns a random kind of request. Of all arrivals, 3% are unary chats, 5%
// are text completions and Workload.bookings is the fraction of bookings. Without a
// BookPath there are no bookings. All others are streamed chats.
func (p *planner) kind() requestKind {
	x := p.rng.Float64()
	switch {
	case p.options.BookPath != "" && x < p.options.Workload.bookings:
		return booking
	case x > 0.97:
		return chatUnary
	case x > 0.92:
		return textStream
	default:
		return chatStream
	}
}

// document returns the index of a random document of a role. Documents are Zipf
// distributed; each role ranks them differently, and the ranks shift by one in the
// middle of the run.
func (p *planner) document(c Customer, role int, at time.Duration) int {
	total := 0.0
	for i := range c.documents {
		total += math.Pow(float64(i+1), -zipfExponent)
	}
	x := p.rng.Float64() * total
	rank := 0
	for ; rank < c.documents-1; rank++ {
		x -= math.Pow(float64(rank+1), -zipfExponent)
		if x < 0 {
			break
		}
	}
	shift := role
	if p.position(at) >= 0.5 {
		shift++
	}
	return (rank + shift) % c.documents
}

// between returns a random number from the bounds, both included.
func between(rng *rand.Rand, bounds [2]int) int {
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// tokenBucket decides which arrivals are within a rate and burst.
type tokenBucket struct {
	// rate is the number of permits that accrue per second, burst the largest number of
	// permits.
	rate, burst float64
	// permits is the number of permits at time last, at most burst.
	permits float64
	// last is the time of the last call of take, from the start of the run.
	last time.Duration
}

// take takes a permit at a time and reports whether there was one.
func (b *tokenBucket) take(at time.Duration) bool {
	b.permits = min(b.burst, b.permits+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}
