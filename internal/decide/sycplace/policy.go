package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policies for the selection of engines. PolicyExpected is the one for use, the
// others are baselines to compare it with.
const (
	// PolicyExpected selects the engine with the lowest estimated cost, which counts
	// the expected time and the cached blocks.
	PolicyExpected = "expected"
	// PolicyRoundRobin selects the engine that this VM has sent the fewest requests.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoaded selects the engine with the fewest requests in flight.
	PolicyLeastLoaded = "least_loaded"
	// PolicyRendezvous selects an engine by rendezvous hashing of the prompt's last
	// shared block.
	PolicyRendezvous = "rendezvous"
)

// policyScore returns the score of an endpoint under the selector's policy. The
// lowest score wins.
func (s *Selector) policyScore(r *Request, e *endpoint, est estimate) time.Duration {
	if r.Model == "" {
		return est.score
	}
	switch s.settings.Policy {
	case PolicyRoundRobin:
		return time.Duration(e.sentRequests)
	case PolicyLeastLoaded:
		return time.Duration(e.load().Requests)
	case PolicyRendezvous:
		if len(r.Blocks) == 0 {
			return time.Duration(e.load().Requests)
		}
		lastShared := r.Blocks[max(len(r.Blocks)-2, 0)].Hash
		return time.Duration(xxhash.Sum64(append(bytes8(lastShared), bytes8(e.hash)...)) >> 1)
	default:
		return est.score
	}
}
