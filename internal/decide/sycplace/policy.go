package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policies of placement among engines. All but the first are there to be compared
// with.
const (
	// PolicyExpected takes the engine that costs least by time and kept parts.
	PolicyExpected = "expected"
	// PolicyRoundRobin takes the engine that this VM has sent the fewest requests.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoaded takes the engine with the fewest requests under way.
	PolicyLeastLoaded = "least_loaded"
	// PolicyRendezvous takes the engine that ranks first for the deepest shared part.
	PolicyRendezvous = "rendezvous"
)

// rate is the score of an offer under the placer's policy; the lowest wins.
func (p *Selector) rate(now time.Duration, r *Request, e *endpoint, o offer) time.Duration {
	if r.Model == "" {
		return o.score
	}
	switch p.settings.Policy {
	case PolicyRoundRobin:
		return time.Duration(e.sent)
	case PolicyLeastLoaded:
		return time.Duration(e.load(now).Requests)
	case PolicyRendezvous:
		if len(r.Blocks) == 0 {
			return time.Duration(e.load(now).Requests)
		}
		deepest := r.Blocks[max(len(r.Blocks)-2, 0)].Hash
		return time.Duration(xxhash.Sum64(append(bytes8(deepest), bytes8(e.hash)...)) >> 1)
	default:
		return o.score
	}
}
