package sycload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// longest is the longest latency that histograms hold.
const longest = 10 * time.Minute

// maxFaults bounds the descriptions of faults that a result lists.
const maxFaults = 20

// account is the tally of one customer.
type account struct {
	result  CustomerResult
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	// seen holds the blocks of the prompts sent so far.
	seen map[uint64]struct{}
	// conforming counts the requests sent within rate and burst.
	conforming int
}

func newAccount(name string) *account {
	return &account{
		result:  CustomerResult{Customer: name, Refusals: map[string]int{}},
		first:   newHistogram(),
		between: newHistogram(),
		seen:    map[uint64]struct{}{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), 3)
}

// tally adds up the outcomes of a run.
type tally struct {
	start     time.Time
	mu        sync.Mutex
	accounts  []*account
	bookings  BookingResult
	faults    []string
	exchanges []Exchange
}

func newTally(customers []Customer, start time.Time) *tally {
	t := &tally{start: start}
	for _, c := range customers {
		t.accounts = append(t.accounts, newAccount(c.name))
	}
	return t
}

func (t *tally) sent(a *arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	account := t.accounts[a.customer]
	account.result.Sent++
	if a.within {
		account.conforming++
	}
}

// reusable is the number of leading prompt tokens that the customer has sent
// before; it notes the prompt as sent.
func (t *tally) reusable(customer int, prompt string) int {
	chain := sycblock.Chain("", prompt)
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := t.accounts[customer].seen
	n := 0
	for n < len(chain) {
		if _, ok := seen[chain[n]]; !ok {
			break
		}
		n++
	}
	for _, hash := range chain[n:] {
		seen[hash] = struct{}{}
	}
	return n * sycblock.TokensPerBlock
}

func (t *tally) answered(a *arrival, o outcome, reusable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	account := t.accounts[a.customer]
	t.count(account, a, o)
	if o.first > 0 {
		record(account.first, o.first)
	}
	for _, gap := range o.gaps {
		record(account.between, gap)
	}
	if o.verdict != Right {
		return
	}
	r := &account.result
	r.PromptTokens += o.usage.PromptTokens
	r.CachedTokens += o.usage.Details.CachedTokens
	r.ReusableTokens += reusable
	r.RecomputedTokens += max(0, reusable-o.usage.Details.CachedTokens)
}

func (t *tally) booked(a *arrival, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(t.accounts[a.customer], a, o)
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

// count adds the verdict. The caller holds mu.
func (t *tally) count(account *account, a *arrival, o outcome) {
	r := &account.result
	r.Resumes += o.resumes
	t.exchanges = append(t.exchanges, NewExchange(ExchangeFields{
		Customer:   r.Customer,
		Planned:    t.start.Add(a.at),
		Ended:      time.Now(),
		PromptHash: o.prompt,
		Slot:       a.slot,
		Verdict:    o.verdict,
		Reason:     o.reason,
		Weights:    o.weights,
		Resumes:    o.resumes,
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

func (t *tally) progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var p Progress
	for _, account := range t.accounts {
		r := account.result
		p.Sent += r.Sent
		p.Answered += r.Right + r.Wrong + r.Refused + r.Failed
		p.Wrong += r.Wrong
	}
	return p
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

// result closes the tally.
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
	total := newAccount("all")
	for _, account := range t.accounts {
		result.Customers = append(result.Customers, account.close())
		total.add(account)
	}
	result.Total = total.close()
	result.Total.RefusedWithinRate = 0
	for _, c := range result.Customers {
		result.Total.RefusedWithinRate += c.RefusedWithinRate
	}
	return result
}

func (a *account) add(other *account) {
	r, o := &a.result, other.result
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
	a.conforming += other.conforming
	a.first.Merge(other.first)
	a.between.Merge(other.between)
}

func (a *account) close() CustomerResult {
	r := a.result
	// A customer over its rate may have other requests admitted than those that
	// its own count holds for within it; only the number matters.
	r.RefusedWithinRate = max(0, a.conforming-(r.Sent-r.Refused))
	r.WithinRate = a.conforming
	r.FirstToken = percentiles(a.first)
	r.BetweenTokens = percentiles(a.between)
	r.FirstTokenCurve = curve(a.first)
	return r
}
