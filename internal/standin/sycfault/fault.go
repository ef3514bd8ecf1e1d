package sycfault

import (
	"math/rand/v2"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault struct {
	// Latency is added in each direction, and up to Jitter more for each piece.
	Latency time.Duration
	Jitter  time.Duration
	// Cut resets new connections and drops those that are open.
	Cut bool
	// Reset resets the connections that are open when the fault is set.
	Reset bool
	// Stall holds all bytes in both directions until the fault ends.
	Stall bool
	// LoseToTarget and LoseToClient discard the bytes of one direction. A
	// connection that lost bytes is reset when the fault ends.
	LoseToTarget bool
	LoseToClient bool
	// TruncateAfter resets a connection once this many bytes have gone to the
	// client, counted from the setting of the fault; 0 never does.
	TruncateAfter int64
}

func (f Fault) loses(toTarget bool) bool {
	if toTarget {
		return f.LoseToTarget
	}
	return f.LoseToClient
}

// Step is a fault that begins at a time.
type Step struct {
	// At is counted from the start of the schedule.
	At    time.Duration
	Fault Fault
}

// Alternate returns a schedule over the given span that sets one of the faults
// at random, each followed by a time without any. The last step has none.
func Alternate(seed uint64, span, mean time.Duration, faults []Fault) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	at := pause(rng, mean)
	for at < span {
		steps = append(steps, Step{At: at, Fault: faults[rng.IntN(len(faults))]})
		at = min(span, at+pause(rng, mean))
		steps = append(steps, Step{At: at})
		at += pause(rng, mean)
	}
	return steps
}

// pause is a time between half and one and a half of the mean.
func pause(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}
