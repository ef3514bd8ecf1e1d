package sycsuspect

import (
	"time"
)

const (
	// maxIncidents limits the incidents that are kept for a block. The oldest are dropped.
	maxIncidents = 16
	// evidenceAge is how long an incident counts.
	evidenceAge = 10 * time.Minute
	// exchangeDelay is the longest time that a record takes from one VM to another. Times
	// that different VMs report are comparable only up to it.
	exchangeDelay = 500 * time.Millisecond
)

// incident is a broken answer of a prompt with the block.
type incident struct {
	ending  *ending
	request uint64
	// origin is the VM that reported it, empty for this one. OriginAt is the time by that
	// VM's clock, and at by this VM's.
	origin       string
	originAt, at time.Duration
	// took is the time from when the request was sent until its answer broke off.
	took  time.Duration
	begun bool
	depth int
}

// follows reports whether the request of the incident was sent after another incident.
func (i *incident) follows(o *incident) bool {
	if i.origin == o.origin {
		return i.originAt-i.took >= o.originAt
	}
	return i.at-i.took >= o.at+exchangeDelay
}

// block is what is known of one block that isn't sound, or was convicted.
type block struct {
	hash  uint64
	state State
	// touched is when the block was last in an incident or a conviction.
	touched time.Duration
	// whole is set if the block is a whole request that was in an incident.
	whole bool
	// known is set if a VM has had the block answered in the last minutes.
	known bool
	// incidents are in the order of their reports.
	incidents []*incident
	// generation, checks and convictedBy are those of the block's last conviction.
	generation, checks int64
	convictedBy        Evidence
	// checkAt is when the next check is due.
	checkAt time.Duration
	// checkRequest is the prompt of the check in flight.
	checkRequest uint64
	// trialUntil is when the trial of a held block ends at the latest.
	trialUntil time.Duration
	// toldAt is when a VM last told the conviction.
	toldAt time.Duration
}

// convicted reports whether requests with the block are rejected.
func (b *block) convicted() bool { return b.state == Convicted || b.state == Checking }

// evidence returns what speaks against the block.
func (b *block) evidence(now time.Duration) Evidence {
	e := Evidence{Known: b.known, Whole: b.whole}
	requests := map[uint64]bool{}
	ends, begun := map[*ending]bool{}, map[*ending]bool{}
	var last *incident
	for _, i := range b.incidents {
		if !i.ending.countsFor(i.request) || now-i.at > evidenceAge || !i.ending.mayBeBy(b.hash) {
			continue
		}
		requests[i.request] = true
		e.Age = max(e.Age, now-i.at)
		e.Depth = i.depth
		if i.begun && i.ending.tellsBegun() {
			begun[i.ending] = true
		}
		if ends[i.ending] {
			continue
		}
		ends[i.ending] = true
		e.Newest = now - i.ending.at
		if last == nil || i.follows(last) {
			e.Waves++
			last = i
		}
	}
	e.Requests, e.Ends, e.Begun = len(requests), len(ends), len(begun)
	return e
}

// endsUnder returns at how many endpoints that have ended, or may have, the answer of a prompt
// broke off, without those that ended for another reason that is known.
func (b *block) endsUnder(now time.Duration, request uint64) int {
	ends := map[*ending]bool{}
	for _, i := range b.incidents {
		if i.request == request && (i.ending.countsFor(request) && i.ending.mayBeBy(b.hash) || i.ending.open(now)) {
			ends[i.ending] = true
		}
	}
	return len(ends)
}
