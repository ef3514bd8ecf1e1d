package sycfault

import (
	"math/rand/v2"
	"time"
)

// Fault says how a proxy disturbs its connections. The zero value passes all bytes on at
// once.
type Fault struct {
	// Latency is the delay of the bytes in each direction.
	Latency time.Duration
	// Jitter is the upper limit of a random delay of each read chunk, added to Latency.
	Jitter time.Duration
	// Cut resets the open connections and every new connection.
	Cut bool
	// Reset resets the connections that are open when the fault is set, once. New
	// connections aren't affected.
	Reset bool
	// Stall delays all bytes in both directions until a fault without Stall is set.
	Stall bool
	// LoseToTarget discards the bytes from the client to the target. A connection that
	// lost bytes is reset once its fault no longer discards any.
	LoseToTarget bool
	// LoseToClient discards the bytes from the target to the client, with the same reset.
	LoseToClient bool
	// TruncateAfter is the number of bytes to the client after which a connection is reset,
	// counted since the fault was set; 0 for no limit.
	TruncateAfter int64
}

// loses reports whether the fault discards bytes in the given direction.
func (f Fault) loses(toTarget bool) bool {
	if toTarget {
		return f.LoseToTarget
	}
	return f.LoseToClient
}

// Step is a fault that a schedule sets at a certain time.
type Step struct {
	// At is the time since the start of the schedule.
	At time.Duration
	// Fault replaces the fault that is in force.
	Fault Fault
}

// Alternate returns a schedule of length span that alternates between no fault and a random
// one of the given faults. Each phase lasts between half and one and a half of mean. The last
// step sets no fault, at span at the latest. The same seed gives the same schedule.
func Alternate(seed uint64, span, mean time.Duration, faults []Fault) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	at := phase(rng, mean)
	for at < span {
		steps = append(steps, Step{At: at, Fault: faults[rng.IntN(len(faults))]})
		at = min(span, at+phase(rng, mean))
		steps = append(steps, Step{At: at})
		at += phase(rng, mean)
	}
	return steps
}

// phase returns a random duration between half and one and a half of the mean.
func phase(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}
