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

// form is how an arrival is sent.
type form int

const (
	chatStream form = iota
	chatWhole
	textStream
	booking
)

const (
	// peakShare is the part of its rate that a customer sends at the morning's peak.
	peakShare = 0.7
	// eveningShare is the evening's peak in parts of the morning's.
	eveningShare = 0.15
	// baseShare is sent between the peaks, in parts of the peak.
	baseShare = 0.1
	// skew is the exponent of the documents' popularity.
	skew = 1.2
)

// arrival is one planned request.
type arrival struct {
	// at is counted from the start of the run.
	at       time.Duration
	customer int
	form     form
	// router chooses among the routers.
	router   int
	messages []sycblock.Message
	output   int
	// slot is what a booking books; it is unique in the run.
	slot string
	// within reports whether the customer is within its rate and burst.
	within bool
}

// newPlan returns the arrivals of a run in the order of their times.
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
	options  Options
	customer int
	library  *library
	rng      *rand.Rand
}

func (p *planner) arrivals() []arrival {
	c := p.options.Workload.customers[p.customer]
	bucket := bucket{rate: c.rate, burst: c.burst, tokens: c.burst}
	highest := c.rate * peakShare * max(1, c.excess/peakShare) * p.options.RateFactor
	var list []arrival
	at := time.Duration(0)
	for len(list) < p.options.MaxRequests {
		at += time.Duration(p.rng.ExpFloat64() / highest * float64(time.Second))
		if at >= p.options.Duration {
			break
		}
		// Thinning turns a steady process into one whose rate varies.
		if p.rng.Float64()*highest > p.rate(c, at) {
			continue
		}
		a := p.arrival(c, at, len(list))
		a.within = bucket.take(at)
		list = append(list, a)
	}
	return list
}

// position is the time as a part of the run, 0 to 1.
func (p *planner) position(at time.Duration) float64 {
	return float64(at) / float64(p.options.Duration)
}

// rate is the arrival rate at a time: the morning peaks in the first half of
// the run, the evening in the second.
func (p *planner) rate(c Customer, at time.Duration) float64 {
	x := p.position(at)
	hump := math.Pow(math.Sin(2*math.Pi*x), 2)
	level := baseShare + (1-baseShare)*hump
	if x >= 0.5 {
		level *= eveningShare
	}
	if c.excess > 0 && x >= 0.25 && x < 0.5 {
		return c.rate * c.excess * p.options.RateFactor
	}
	return c.rate * peakShare * level * p.options.RateFactor
}

func (p *planner) arrival(c Customer, at time.Duration, n int) arrival {
	w := p.options.Workload
	a := arrival{at: at, customer: p.customer, router: p.rng.IntN(1 << 30)}
	s := w.morning
	if p.position(at) >= 0.5 {
		s = w.evening
	}
	a.form = p.form()
	if a.form == booking {
		a.slot = fmt.Sprintf("%s-%d-%d", c.name, p.options.Seed, n)
		return a
	}
	role := p.rng.IntN(len(w.roles))
	question := fmt.Sprintf("Question %d. %s", n, prose(p.rng, between(p.rng, s.question)))
	a.messages = p.library.messages(role, p.document(c, role, at), question)
	a.output = between(p.rng, s.output)
	return a
}

func (p *planner) form() form {
	x := p.rng.Float64()
	switch {
	case p.options.BookPath != "" && x < p.options.Workload.bookings:
		return booking
	case x > 0.97:
		return chatWhole
	case x > 0.92:
		return textStream
	default:
		return chatStream
	}
}

// document picks a document by its popularity, which shifts at half time.
func (p *planner) document(c Customer, role int, at time.Duration) int {
	total := 0.0
	for i := range c.documents {
		total += math.Pow(float64(i+1), -skew)
	}
	x := p.rng.Float64() * total
	rank := 0
	for ; rank < c.documents-1; rank++ {
		x -= math.Pow(float64(rank+1), -skew)
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

func between(rng *rand.Rand, bounds [2]int) int {
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// bucket tells which arrivals are within a rate and burst.
type bucket struct {
	rate, burst float64
	// tokens is at most burst.
	tokens float64
	last   time.Duration
}

func (b *bucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
