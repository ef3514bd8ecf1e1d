package sycload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// maxLatency is the largest latency that histograms record. Longer latencies are
// recorded as maxLatency.
const maxLatency = 10 * time.Minute

// maxFaults limits the number of fault descriptions in a result.
const maxFaults = 20

// customerTally counts the outcomes of one customer's requests, or of all customers'.
type customerTally struct {
	result CustomerResult
	// firstToken and betweenTokens hold latencies in microseconds.
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	// sentBlocks has the hashes of the prompt blocks sent so far.
	sentBlocks map[uint64]struct{}
	// withinRate counts the requests sent within the customer's rate and burst.
	withinRate int
}

// newCustomerTally returns an empty tally for the customer of the given name.
func newCustomerTally(name string) *customerTally {
	return &customerTally{
		result:        CustomerResult{Customer: name, Refusals: map[string]int{}},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		sentBlocks:    map[uint64]struct{}{},
	}
}

// newHistogram returns a histogram of latencies from 1 microsecond to maxLatency, with
// a precision of three decimal digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// tally counts the outcomes of a run.
type tally struct {
	// start is the start of the run.
	start time.Time
	// mu guards the fields below.
	mu sync.Mutex
	// customers has the tally of each customer, in the order of the workload.
	customers []*customerTally
	bookings  BookingResult
	// faults has at most maxFaults descriptions of faults.
	faults    []string
	exchanges []Exchange
}

// newTally returns an empty tally for a run that started at start.
func newTally(customers []Customer, start time.Time) *tally {
	t := &tally{start: start}
	for _, c := range customers {
		t.customers = append(t.customers, newCustomerTally(c.name))
	}
	return t
}

// recordSent counts a request that is about to be sent.
func (t *tally) recordSent(a *arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	customer := t.customers[a.customer]
	customer.result.Sent++
	if a.withinRate {
		customer.withinRate++
	}
}

// addPrompt records a prompt as sent by a customer. It returns how many of its leading
// tokens, in whole blocks, the customer has sent before.
func (t *tally) addPrompt(customer int, prompt string) int {
	chain := sycblock.Chain("", prompt)
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.customers[customer].sentBlocks
	n := 0
	for n < len(chain) {
		if _, ok := sent[chain[n]]; !ok {
			break
		}
		n++
	}
	for _, hash := range chain[n:] {
		sent[hash] = struct{}{}
	}
	return n * sycblock.TokensPerBlock
}

// recordResponse records the outcome of a request to a model. reusable is the number of
// prompt tokens that addPrompt returned for it.
func (t *tally) recordResponse(a *arrival, o outcome, reusable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	customer := t.customers[a.customer]
	t.count(customer, a, o)
	if o.firstToken > 0 {
		recordLatency(customer.firstToken, o.firstToken)
	}
	for _, gap := range o.gaps {
		recordLatency(customer.betweenTokens, gap)
	}
	if o.verdict != Right {
		return
	}
	r := &customer.result
	r.PromptTokens += o.usage.PromptTokens
	r.CachedTokens += o.usage.Details.CachedTokens
	r.ReusableTokens += reusable
	r.RecomputedTokens += max(0, reusable-o.usage.Details.CachedTokens)
}

// recordBooking records the outcome of a booking.
func (t *tally) recordBooking(a *arrival, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(t.customers[a.customer], a, o)
	t.bookings.Sent++
	switch o.verdict {
	case Right:
		t.bookings.Confirmed++
	case Refused:
		t.bookings.Refused++
	default:
		t.bookings.Unknown++
	}
}

// count counts the outcome of an exchange by its verdict and keeps the exchange. The
// caller holds mu.
func (t *tally) count(customer *customerTally, a *arrival, o outcome) {
	r := &customer.result
	r.Resumes += o.resumes
	t.exchanges = append(t.exchanges, NewExchange(ExchangeFields{
		Customer:     r.Customer,
		Planned:      t.start.Add(a.at),
		Ended:        time.Now(),
		PromptHash:   o.promptHash,
		Slot:         a.slot,
		Verdict:      o.verdict,
		Reason:       o.reason,
		Weights:      o.weights,
		Resumes:      o.resumes,
		Interruption: o.interruption,
		ResumedAt:    o.resumedAt,
	}))
	switch o.verdict {
	case Right:
		r.Right++
		return
	case Wrong:
		r.Wrong++
	case Refused:
		r.Refused++
		r.Refusals[o.reason]++
		return
	case Failed:
		r.Failed++
	}
	if len(t.faults) < maxFaults {
		t.faults = append(t.faults, r.Customer+" at "+a.at.Round(time.Millisecond).String()+": "+o.reason)
	}
}

// progress returns the counts so far, without the number of planned requests.
func (t *tally) progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var p Progress
	for _, customer := range t.customers {
		r := customer.result
		p.Sent += r.Sent
		p.Answered += r.Right + r.Wrong + r.Refused + r.Failed
		p.Wrong += r.Wrong
	}
	return p
}

// recordLatency adds a latency to a histogram, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// result returns the result of the run.
func (t *tally) result(o Options) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := Result{
		Label:     o.Label,
		Workload:  o.Workload.name,
		Seed:      o.Seed,
		Started:   t.start,
		Bookings:  t.bookings,
		Faults:    t.faults,
		exchanges: t.exchanges,
	}
	total := newCustomerTally("all")
	for _, customer := range t.customers {
		result.Customers = append(result.Customers, customer.finish())
		total.add(customer)
	}
	result.Total = total.finish()
	result.Total.RefusedWithinRate = 0
	for _, c := range result.Customers {
		result.Total.RefusedWithinRate += c.RefusedWithinRate
	}
	return result
}

// add adds the counts and latencies of another customer.
func (c *customerTally) add(other *customerTally) {
	r, o := &c.result, other.result
	r.Sent += o.Sent
	r.Right += o.Right
	r.Wrong += o.Wrong
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Resumes += o.Resumes
	r.PromptTokens += o.PromptTokens
	r.CachedTokens += o.CachedTokens
	r.ReusableTokens += o.ReusableTokens
	r.RecomputedTokens += o.RecomputedTokens
	for _, reason := range slices.Sorted(maps.Keys(o.Refusals)) {
		r.Refusals[reason] += o.Refusals[reason]
	}
	c.withinRate += other.withinRate
	c.firstToken.Merge(other.firstToken)
	c.betweenTokens.Merge(other.betweenTokens)
}

// finish returns the customer's result, with the numbers that are computed from all its
// requests.
func (c *customerTally) finish() CustomerResult {
	r := c.result
	// When a customer sends more than its rate, the routers may admit other requests
	// than those that the plan counts as within the rate. So only the number of admitted
	// requests is compared, not which ones they are.
	r.RefusedWithinRate = max(0, c.withinRate-(r.Sent-r.Refused))
	r.WithinRate = c.withinRate
	r.FirstToken = percentiles(c.firstToken)
	r.BetweenTokens = percentiles(c.betweenTokens)
	r.FirstTokenCurve = percentileCurve(c.firstToken)
	return r
}
