package sycdispatch

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
)

const (
	// maxBacklog is the predicted time of an endpoint's prefill backlog above which
	// it gets no further requests, unless it is idle. Requests that wait in the
	// pool's queue instead keep their fair order.
	maxBacklog = 400 * time.Millisecond
	// maxOvercommit is the fraction of its concurrency by which an endpoint may be
	// overloaded when a VM below its fair fraction sends to a full endpoint. The
	// other VMs reduce their load only once they have received its digest.
	maxOvercommit = 0.25
)

// candidateSet holds the endpoints that can serve a request, in the same order in
// candidates, endpoints and matches.
type candidateSet struct {
	// candidates describes each endpoint to the policy.
	candidates []sycroute.Candidate
	// endpoints holds the Dispatcher's state of each endpoint.
	endpoints []*endpoint
	// matches is the number of the prompt's leading blocks that each endpoint has
	// cached.
	matches []sycprefix.Match
	// source is the endpoint from which candidates can import blocks. It is nil if
	// there is none.
	source *endpoint
	// sources holds the description of source for each candidate, with the
	// candidate's own import times. It is reused between decisions.
	sources []sycroute.ImportSource
	// sharedBlocks is the number of the prompt's leading blocks that at least one
	// endpoint is expected to have cached.
	sharedBlocks int
}

// reset empties the set for the next request.
func (set *candidateSet) reset() {
	set.candidates = set.candidates[:0]
	set.endpoints = set.endpoints[:0]
	set.matches = set.matches[:0]
	set.source = nil
	set.sharedBlocks = 0
}

// promptMatches holds how many blocks of a request's prompt each endpoint has
// cached. It is valid only during the event in which it was computed.
type promptMatches struct {
	// valid is false if the matches must be computed again.
	valid bool
	// request is the ID of the request that the matches were computed for.
	request uint64
	// salt is the cache salt that the matches were computed for.
	salt string
	// list has one match for each endpoint, in the order of Dispatcher.byName.
	list []sycprefix.Match
	// maxDepth is the greatest depth in list, in blocks.
	maxDepth int
}

// matchPrompt looks the prompt up in the cached blocks of all endpoints and returns
// the greatest number of leading blocks found.
func (d *Dispatcher[P]) matchPrompt(now time.Duration, r *Request, o Option) int {
	m := &d.promptMatches
	if m.valid && m.request == r.ID && m.salt == o.Salt {
		return m.maxDepth
	}
	*m = promptMatches{valid: true, request: r.ID, salt: o.Salt, list: m.list[:0]}
	hint := 0
	for _, e := range d.byName {
		match := e.cache.MatchWithHint(now, o.Chain, hint)
		if match.Depth > 0 {
			hint = match.Depth
		}
		m.maxDepth = max(m.maxDepth, match.Depth)
		m.list = append(m.list, match)
	}
	return m.maxDepth
}

// collectCandidates fills the candidate set with the endpoints that can run a
// request with the option. fraction is this VM's fair fraction of the pool's
// endpoints.
func (d *Dispatcher[P]) collectCandidates(now time.Duration, r *Request, o Option, fraction float64) {
	set := &d.candidateSet
	set.reset()
	set.sharedBlocks = d.matchPrompt(now, r, o)
	source := sycroute.ImportSource{}
	failedDomains := d.failedDomains(r)
	for i, e := range d.byName {
		m := d.promptMatches.list[i]
		if m.Confirmed > source.CachedBlocks && e.health.State() != sychealth.Out {
			source = sycroute.ImportSource{Name: e.record.Name(), CachedBlocks: m.Confirmed}
			set.source = e
		}
		if !d.eligible(now, e, r, o) {
			continue
		}
		set.endpoints = append(set.endpoints, e)
		set.matches = append(set.matches, m)
		set.candidates = append(set.candidates, d.candidate(now, e, r, o, m, fraction))
	}
	set.dropDomains(failedDomains)
	if set.source != nil {
		set.offerSource(source)
	}
	if d.store(0) != nil {
		set.limitReplaceToImport()
	}
}

// failedDomains lists the failure domains, other than this VM's, in which an attempt
// of the request has failed. Such a domain may be unreachable as a whole, and each
// of its endpoints would cost a retry.
func (d *Dispatcher[P]) failedDomains(r *Request) []string {
	var domains []string
	for _, name := range r.Exclude {
		e := d.endpoints[name]
		if e != nil && e.record.FailureDomain() != d.options.FailureDomain {
			domains = append(domains, e.record.FailureDomain())
		}
	}
	return domains
}

// dropDomains removes the endpoints of the given failure domains, if an endpoint
// elsewhere has room for the request.
func (set *candidateSet) dropDomains(domains []string) {
	if len(domains) == 0 {
		return
	}
	outside := func(i int) bool { return !slices.Contains(domains, set.endpoints[i].record.FailureDomain()) }
	kept := 0
	room := false
	for i := range set.endpoints {
		room = room || outside(i) && set.candidates[i].HasRoom
	}
	if !room {
		return
	}
	for i := range set.endpoints {
		if !outside(i) {
			continue
		}
		set.endpoints[kept], set.matches[kept], set.candidates[kept] = set.endpoints[i], set.matches[i], set.candidates[i]
		kept++
	}
	set.endpoints, set.matches, set.candidates = set.endpoints[:kept], set.matches[:kept], set.candidates[:kept]
}

// limitReplaceToImport limits the cost of evicting a block to the time to import it
// again. It is called if there is a KV store, from which evicted blocks can be
// imported.
func (set *candidateSet) limitReplaceToImport() {
	for i, e := range set.endpoints {
		set.candidates[i].EvictionCost = min(set.candidates[i].EvictionCost, e.importPerBlock)
	}
}

// offerSource sets the import source of all candidates except the source itself.
func (set *candidateSet) offerSource(source sycroute.ImportSource) {
	set.sources = slices.Grow(set.sources[:0], len(set.endpoints))
	for i, e := range set.endpoints {
		if e == set.source {
			continue
		}
		source.PerBlock = e.importPerBlock
		source.Overhead = importOverhead + set.source.roundTrip
		set.sources = append(set.sources, source)
		set.candidates[i].Source = &set.sources[len(set.sources)-1]
	}
}

// eligible reports whether the endpoint can serve the request and is allowed new
// requests now.
func (d *Dispatcher[P]) eligible(now time.Duration, e *endpoint, r *Request, o Option) bool {
	if !d.canServe(e, r, o) {
		return false
	}
	return e.usable(now)
}

// canServe reports whether the endpoint can serve the request with the option, apart
// from its load and health.
func (d *Dispatcher[P]) canServe(e *endpoint, r *Request, o Option) bool {
	if e.record.Leaving() || slices.Contains(r.Exclude, e.record.Name()) {
		return false
	}
	if r.Service != "" {
		return e.offersService(r.Service)
	}
	return e.serves(r.Model, o.Version, !e.hasReport && d.initialVersions[o.Version.Version])
}

// candidate returns what the policy needs to know about an endpoint for a request.
func (d *Dispatcher[P]) candidate(now time.Duration, e *endpoint, r *Request, o Option, m sycprefix.Match, fraction float64) sycroute.Candidate {
	l := e.totalLoad(now)
	speed := e.speed.Estimate()
	c := sycroute.Candidate{
		Name:          e.record.Name(),
		Hash:          e.hash,
		InFlight:      l.requests,
		SameDomain:    e.record.FailureDomain() == d.options.FailureDomain,
		Network:       e.roundTrip,
		HealthPenalty: e.penalty(),
		PrefillTokens: float64(l.prefillTokens + r.PromptTokens),
		CachedBlocks:  expectedBlocks(m, e.predictionHitRate),
		Speed:         speed,
	}
	if e.cacheFull() {
		c.EvictionCost = speed.Prefill(sycblock.TokensPerBlock)
	}
	c.HasRoom, c.RoomWait = e.hasRoom(now, l, speed, fraction)
	c.PendingBlocks, c.PendingWait = e.runningPrefill(now, o.Chain, m.Depth)
	return c
}

// expectedBlocks returns the expected number of cached blocks of a match. Blocks
// that are only predicted count with the endpoint's prediction hit rate.
func expectedBlocks(m sycprefix.Match, hitRate float64) float64 {
	return float64(m.Confirmed) + hitRate*float64(m.Depth-m.Confirmed)
}

// hasRoom reports whether the endpoint may get another request now. If not, it
// estimates the time until then.
func (e *endpoint) hasRoom(now time.Duration, l load, speed sycroute.Estimate, fraction float64) (bool, time.Duration) {
	if now < e.pausedUntil {
		return false, e.pausedUntil - now
	}
	concurrency := e.concurrency()
	backlog := speed.Prefill(float64(l.prefillTokens))
	if l.requests < concurrency && (backlog <= maxBacklog || l.requests == 0) {
		return true, 0
	}
	if e.belowFairFraction(now, l, backlog, fraction) {
		return true, 0
	}
	over := max(l.requests+1-concurrency, 0)
	wait := e.requestDuration * time.Duration(over) / time.Duration(concurrency)
	return false, max(wait, backlog-maxBacklog)
}

// belowFairFraction reports whether this VM may send a request to an endpoint that
// is full because of other VMs' load. It may if it has less than its fair fraction
// of the endpoint's requests and prefill, and the endpoint isn't too far over its
// limits.
func (e *endpoint) belowFairFraction(now time.Duration, l load, backlog time.Duration, fraction float64) bool {
	if e.peerLoad.requests == 0 {
		return false
	}
	concurrency := float64(e.concurrency())
	own := e.ownLoad(now)
	if float64(own.requests) >= max(fraction*concurrency, 1) || float64(l.requests) >= (1+maxOvercommit)*concurrency {
		return false
	}
	if backlog <= maxBacklog {
		return true
	}
	ownFraction := float64(own.prefillTokens) / float64(max(l.prefillTokens, 1))
	return ownFraction < fraction && backlog <= 2*maxBacklog
}

// commonPrefix returns the number of leading blocks that two chains have in common.
// A hash covers all blocks before it, so bisection finds the end.
func commonPrefix(a, b []uint64) int {
	low, high := 0, min(len(a), len(b))
	for low < high {
		middle := (low + high + 1) / 2
		if a[middle-1] == b[middle-1] {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// importBlocks returns the part of the chain that the import source has cached and
// candidate i has not.
func (set *candidateSet) importBlocks(i int, chain []uint64) []uint64 {
	return chain[min(set.matches[i].Depth, set.candidates[i].Source.CachedBlocks):set.candidates[i].Source.CachedBlocks]
}

// tokens returns the number of tokens in the given number of blocks.
func tokens(blocks int) int { return blocks * sycblock.TokensPerBlock }
