package sycattempt

import "time"

const (
	// bucketSpan is the time that one bucket of a Budget covers.
	bucketSpan = time.Second
	// bucketCount is the number of buckets in the window of a Budget.
	bucketCount = 10
)

// Allowance sets how many retries a Budget allows within its window, which is the last
// ten seconds: Floor plus RetryFraction of the requests in the window.
type Allowance struct {
	// RetryFraction is the number of retries allowed for each request.
	RetryFraction float64
	// Floor is the number of retries that are allowed even without requests.
	Floor float64
}

// Budget is the retry budget of one endpoint or customer. It limits retries to a part of
// the requests, so that retries during an outage don't multiply the load. It counts
// requests and retries of the last ten seconds, in buckets of a second each.
type Budget struct {
	// allowance is shared by all budgets of a Budgets.
	allowance *Allowance
	// newest is the number of the newest bucket. Buckets are numbered from time zero and
	// stored at their number modulo bucketCount.
	newest int64
	// requests and retries hold the counts of each bucket.
	requests [bucketCount]uint32
	retries  [bucketCount]uint32
}

// Request counts a request, which raises the number of retries allowed.
func (b *Budget) Request(now time.Duration) {
	b.requests[b.advance(now)]++
}

// Allows reports whether the budget allows a retry now.
func (b *Budget) Allows(now time.Duration) bool { return b.Left(now) >= 1 }

// Left returns how many retries the budget still allows now. It may be a fraction, or
// negative.
func (b *Budget) Left(now time.Duration) float64 {
	b.advance(now)
	var requests, retries float64
	for i := range bucketCount {
		requests += float64(b.requests[i])
		retries += float64(b.retries[i])
	}
	return b.allowance.Floor + b.allowance.RetryFraction*requests - retries
}

// Spend counts a retry, also if the budget doesn't allow it.
func (b *Budget) Spend(now time.Duration) {
	b.retries[b.advance(now)]++
}

// advance clears the buckets that have left the window and returns the index of the
// newest bucket.
func (b *Budget) advance(now time.Duration) int {
	bucket := int64(now / bucketSpan)
	for steps := 0; b.newest < bucket && steps < bucketCount; steps++ {
		b.newest++
		b.requests[b.newest%bucketCount] = 0
		b.retries[b.newest%bucketCount] = 0
	}
	b.newest = max(b.newest, bucket)
	return int(b.newest % bucketCount)
}

// idle reports whether the window contains no requests and no retries.
func (b *Budget) idle(now time.Duration) bool {
	return int64(now/bucketSpan)-b.newest >= bucketCount
}

// Budgets holds the budgets of all endpoints, or of all customers, by name. Budgets
// that were not used within their window are removed.
type Budgets struct {
	// allowance is shared with all budgets.
	allowance *Allowance
	// budgets holds the budgets by the name of the endpoint or customer.
	budgets map[string]*Budget
	// swept is when idle budgets were last removed.
	swept time.Duration
}

// NewBudgets returns an empty Budgets whose budgets all have the allowance a.
func NewBudgets(a Allowance) *Budgets {
	return &Budgets{allowance: &a, budgets: map[string]*Budget{}}
}

// SetAllowance replaces the allowance of all budgets.
func (b *Budgets) SetAllowance(a Allowance) { *b.allowance = a }

// Get returns the budget of a name, and creates it if there is none.
func (b *Budgets) Get(now time.Duration, name string) *Budget {
	b.sweep(now)
	budget, ok := b.budgets[name]
	if !ok {
		budget = &Budget{allowance: b.allowance, newest: int64(now / bucketSpan)}
		b.budgets[name] = budget
	}
	return budget
}

// Len returns the number of stored budgets.
func (b *Budgets) Len() int { return len(b.budgets) }

// sweep removes idle budgets, at most once per window.
func (b *Budgets) sweep(now time.Duration) {
	if now-b.swept < bucketSpan*bucketCount {
		return
	}
	b.swept = now
	for name, budget := range b.budgets {
		if budget.idle(now) {
			delete(b.budgets, name)
		}
	}
}
