package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycspill"
)

const (
	// recomputeFactor multiplies the time to compute shared blocks that another
	// engine has cached. It is high because the time is taken from other requests,
	// and the recomputed blocks evict others.
	recomputeFactor = 5.0
	// minFetchTokens is the smallest number of tokens worth fetching from another
	// engine's cache.
	minFetchTokens = 32
	// fetchSetup and fetchPerToken are the fixed time of a fetch and the time for each
	// token within a failure domain.
	fetchSetup    = 6 * time.Millisecond
	fetchPerToken = 4 * time.Microsecond
	// crossDomainFetchFactor multiplies the time for each fetched token between
	// failure domains.
	crossDomainFetchFactor = 2
	// crossDomainPenalty is added to the score of endpoints outside this VM's failure
	// domain.
	crossDomainPenalty = 50 * time.Millisecond
	// perRequestDelay is the delay of a first token for each request that the engine
	// is running, since every request lengthens the engine's steps.
	perRequestDelay = 300 * time.Microsecond
	// rendezvousBonus is the largest reduction of an engine's score by its rendezvous
	// rank, for a prompt that no engine has cached beyond what this one has.
	rendezvousBonus = 300 * time.Millisecond
	// queueFraction is the fraction of its objective that a request may wait for what comes before it.
	// urgentQueueFraction applies to priority 0 unless requests compete for room.
	queueFraction       = 0.35
	urgentQueueFraction = 1.0
	// lateWait is how long a request that is late already may wait, so that it keeps none from being in time.
	lateWait = 30 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request to an engine
	// may be retried.
	minRetryAfter = 100 * time.Millisecond
	// plainRetryAfter is the shortest such time for a plain service whose queue is full.
	plainRetryAfter = 50 * time.Millisecond
	// suspectPenalty is added to the score of endpoints whose health is suspect.
	suspectPenalty = 250 * time.Millisecond
	// outdatedFraction is the fraction of the objective that is added to the score of
	// engines with outdated weights.
	outdatedFraction = 0.2
	// maxQueuedPerSlot is how many requests may wait at an endpoint of a plain service
	// for each slot.
	maxQueuedPerSlot = 2
)

// estimate is the predicted cost of a request at an endpoint.
type estimate struct {
	// score is the cost by which endpoints are compared: the expected time plus
	// penalties and minus the bonus.
	score time.Duration
	// expected is the predicted time to the first byte, transfer the part of it for fetching blocks, and wait the part
	// for what comes before the request.
	expected, transfer, wait time.Duration
	// contended is set if the requests to the service compete for room.
	contended bool
	// source is the engine to fetch cached blocks from; nil if nothing is fetched.
	source *endpoint
	// fetchTokens is the number of tokens to fetch from the source.
	fetchTokens int
	// full is set if the endpoint can't answer the request in time, and after is the time after which it may.
	full  bool
	after time.Duration
	// tie decides between equal scores, the lower first.
	tie uint64
}

// estimate predicts what the request costs at an endpoint, which may fetch blocks from the
// source unless that is nil.
func (s *Selector) estimate(now time.Duration, r *Request, e, source *endpoint) estimate {
	var est estimate
	if r.Model == "" {
		est.expected = s.plainTime(r, e, e.load())
		est.score = est.expected
		est.tie = xxhash.Sum64(append(bytes8(r.ID), bytes8(e.hash)...))
	} else {
		est = s.engineEstimate(now, r, e, source)
	}
	est.score += sycspill.LatePenalty(est.expected, r.Objective)
	// With a price this changes nothing: scores are then compared within a failure domain only.
	if e.record.FailureDomain != s.settings.FailureDomain {
		est.score += crossDomainPenalty
	}
	if e.health.State() == sychealth.Suspect {
		est.score += suspectPenalty
	}
	return est
}

// engineEstimate predicts the cost at an engine: fetching or recomputing what other
// engines have cached, computing the rest, and outdated weights.
func (s *Selector) engineEstimate(now time.Duration, r *Request, e, source *endpoint) estimate {
	var est estimate
	load := e.load()
	shared := sharedTokens(r.Blocks)
	model := s.model(r.Service)
	recomputed := 0
	if source != nil {
		more := min(source.cachedTokens, shared) - e.cachedTokens
		if more >= minFetchTokens && e.record.Weights[r.Model] > 0 {
			est.source, est.fetchTokens = source, more
			est.transfer = fetchTime(more, source.record.FailureDomain != e.record.FailureDomain)
		} else {
			recomputed = max(more, 0)
		}
	}
	uncached := max(r.Tokens-e.cachedTokens-est.fetchTokens, 0)
	unexplained := model.Wait(now, e.capacity, r.urgency(), e.overdue(now))
	est.contended = s.isContended(now, r.Service)
	est.wait = model.Read(now, e.capacity, load.Tokens) + unexplained
	est.expected = est.transfer + model.Explained(now, e.capacity, load.Tokens+uncached) + time.Duration(load.Requests)*perRequestDelay + unexplained
	est.score = est.expected + time.Duration(recomputeFactor*float64(recomputed)/model.TokensPerSecond()*float64(time.Second))
	if s.outdated(now, r.Model, e, penaltyAge) {
		est.score += time.Duration(outdatedFraction * float64(r.Objective))
	}
	if source == nil && e.cachedTokens < shared {
		est.score -= rendezvousBonusFor(r, e)
	}
	return est
}

// fetchTime predicts how long an engine takes to fetch tokens from another one.
func fetchTime(tokens int, crossDomain bool) time.Duration {
	transfer := time.Duration(tokens) * fetchPerToken
	if crossDomain {
		transfer *= crossDomainFetchFactor
	}
	return fetchSetup + transfer
}

// plainTime predicts the time of a request to a plain service, one without models.
func (s *Selector) plainTime(r *Request, e *endpoint, load Load) time.Duration {
	service := max(r.ServiceTime, time.Millisecond)
	waiting := max(load.Requests+1-e.record.Slots, 0)
	rounds := 1 + float64(waiting)/float64(max(e.record.Slots, 1))
	// An endpoint with fewer known requests likely has fewer that other VMs have not
	// reported yet.
	unreported := time.Duration(load.Requests) * service / time.Duration(2*max(e.record.Slots, 1))
	return time.Duration(e.slowdown*rounds*float64(service)) + unreported
}

// sharedTokens returns the number of prompt tokens that other requests may share:
// those of all blocks but the last, which is the request's own.
func sharedTokens(prompt []Block) int {
	tokens := 0
	for i := 0; i+1 < len(prompt); i++ {
		tokens += prompt[i].Tokens
	}
	return tokens
}

// rendezvousBonusFor returns the reduction of an engine's score by its rendezvous
// rank for the prompt's last shared block. It makes all VMs prefer the same engine
// for a prompt that none has cached yet.
func rendezvousBonusFor(r *Request, e *endpoint) time.Duration {
	if len(r.Blocks) < 2 {
		return 0
	}
	lastShared := r.Blocks[len(r.Blocks)-2].Hash
	rank := xxhash.Sum64(append(bytes8(lastShared), bytes8(e.hash)...))
	return time.Duration(float64(rank>>11) / (1 << 53) * float64(rendezvousBonus))
}

// bytes8 returns v in little-endian order, with room to append a second value.
func bytes8(v uint64) []byte {
	out := make([]byte, 8, 16)
	for i := range out {
		out[i] = byte(v >> (8 * i))
	}
	return out
}

// full reports whether the endpoint can't answer the request in time, and after which time it may. Under overload it
// refuses less urgent requests before what waits at the engines makes the others late too. The limit applies to what
// comes before the request and not to its own prompt, so that long prompts are refused no more often than short ones.
func (s *Selector) full(r *Request, e *endpoint, est estimate) (time.Duration, bool) {
	if r.Model == "" {
		slots := max(e.record.Slots, 1)
		if e.load().Requests < slots*(1+maxQueuedPerSlot) {
			return 0, est.expected > r.Remaining
		}
		return max(r.ServiceTime, plainRetryAfter), true
	}
	if limit := waitLimit(r, est.contended); r.Objective > 0 && est.wait > limit {
		return est.wait - limit, true
	}
	return est.expected - r.Remaining, est.expected > r.Remaining
}

// waitLimit returns how long a request may wait for what comes before it. While requests compete for room, one that is late
// already gives way.
func waitLimit(r *Request, contended bool) time.Duration {
	switch {
	case contended && r.Begins && r.isLate():
		return lateWait
	case r.Priority == 0 && !contended:
		return time.Duration(urgentQueueFraction * float64(r.Objective))
	default:
		return time.Duration(queueFraction * float64(r.Objective))
	}
}

// isBetter reports whether an estimate is to be preferred: of endpoints that are full the one that will first not be, and of
// others the one with the lower score. Equal ones are drawn by the request, since answers that are too fast to be told apart
// would else all come from the first endpoint.
func (e estimate) isBetter(than estimate) bool {
	switch {
	case e.full != than.full:
		return than.full
	case e.full:
		return e.after < than.after
	case e.score != than.score:
		return e.score < than.score
	default:
		return e.tie < than.tie
	}
}

// returnAfter returns the time after which a refused request may be retried. For engines it is up to twice the time given, so
// that callers don't all come back at once.
func (s *Selector) returnAfter(r *Request, after time.Duration) time.Duration {
	if r.Model == "" {
		return max(after, plainRetryAfter)
	}
	after = max(after, minRetryAfter)
	return after + time.Duration(float64(after)*float64((r.ID*spread)>>11)/(1<<53))
}
