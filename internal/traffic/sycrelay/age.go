package sycrelay

import (
	"sync"
	"time"
)

const (
	// ageMemory is how long the longest time limit of a route's callers counts. Callers may come to have shorter ones.
	ageMemory = 30 * time.Second
	// minAge is the least difference in time limits that is taken for a caller's earlier try.
	minAge = 20 * time.Millisecond
)

// ages estimates how long ago callers sent a request for the first time. The callers of a route have about the same time
// limit, and one that comes back after a refusal states what is left of it. Its methods are safe for concurrent use.
type ages struct {
	mu sync.Mutex
	// longest holds the longest time limit that a route's callers have stated lately, by route.
	longest map[string]statedLimit
}

// statedLimit is a caller's time limit, and when it was stated.
type statedLimit struct {
	limit time.Duration
	at    time.Time
}

// newAges returns an estimate that knows no callers.
func newAges() *ages { return &ages{longest: map[string]statedLimit{}} }

// observe records the time limit of a caller, 0 if it states none, and returns how old its request seems to be.
func (a *ages) observe(route string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	longest := a.longest[route]
	if limit >= longest.limit || now.Sub(longest.at) > ageMemory {
		a.longest[route] = statedLimit{limit: limit, at: now}
		return 0
	}
	if age := longest.limit - limit; age >= minAge {
		return age
	}
	return 0
}
