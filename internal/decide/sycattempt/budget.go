package sycattempt

import "time"

const (
	bucketSpan  = time.Second
	bucketCount = 10
)

// Allowance says how many retries a budget allows over its window of ten seconds.
type Allowance struct {
	// RetryFraction is the fraction of the requests that may be retried.
	RetryFraction float64
	// Floor is allowed however few requests there are.
	Floor float64
}

// Budget counts the requests and retries of one endpoint or customer.
type Budget struct {
	// allowance is shared by the budgets of one owner.
	allowance *Allowance
	// newest is the number of the bucket last written, counted from time zero.
	newest   int64
	requests [bucketCount]uint32
	retries  [bucketCount]uint32
}

// Request counts a request.
func (b *Budget) Request(now time.Duration) {
	b.requests[b.advance(now)]++
}

// Allows reports whether a retry is within the budget.
func (b *Budget) Allows(now time.Duration) bool { return b.Left(now) >= 1 }

// Left is how many retries the budget allows.
func (b *Budget) Left(now time.Duration) float64 {
	b.advance(now)
	var requests, retries float64
	for i := range bucketCount {
		requests += float64(b.requests[i])
		retries += float64(b.retries[i])
	}
	return b.allowance.Floor + b.allowance.RetryFraction*requests - retries
}

// Spend counts a retry.
func (b *Budget) Spend(now time.Duration) {
	b.retries[b.advance(now)]++
}

// advance clears the buckets that have left the window.
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

// idle reports whether the window holds nothing.
func (b *Budget) idle(now time.Duration) bool {
	return int64(now/bucketSpan)-b.newest >= bucketCount
}

// Budgets holds a budget for each name in recent use.
type Budgets struct {
	allowance *Allowance
	budgets   map[string]*Budget
	// swept is when idle budgets were last dropped.
	swept time.Duration
}

// NewBudgets returns budgets that all have the same allowance.
func NewBudgets(a Allowance) *Budgets {
	return &Budgets{allowance: &a, budgets: map[string]*Budget{}}
}

// SetAllowance changes the allowance of all budgets.
func (b *Budgets) SetAllowance(a Allowance) { *b.allowance = a }

// Get returns the budget of a name.
func (b *Budgets) Get(now time.Duration, name string) *Budget {
	b.sweep(now)
	budget, ok := b.budgets[name]
	if !ok {
		budget = &Budget{allowance: b.allowance, newest: int64(now / bucketSpan)}
		b.budgets[name] = budget
	}
	return budget
}

// Len is the number of budgets held.
func (b *Budgets) Len() int { return len(b.budgets) }

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
