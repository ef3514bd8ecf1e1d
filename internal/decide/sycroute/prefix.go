package sycroute

import (
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

const (
	// maxImportFraction limits the time of an import to a fraction of the prefill time that
	// it saves.
	maxImportFraction = 0.7
	// roomWaitFraction limits the time at an endpoint without room, including the wait, to
	// a fraction of the best time at an endpoint with room. A longer wait isn't worthwhile.
	roomWaitFraction = 0.8
	// pendingWaitFactor limits the time with waiting for pending blocks to a multiple of
	// the best time without. It is above 1 to accept a somewhat later answer rather
	// than compute blocks twice.
	pendingWaitFactor = 1.25
	// minPendingSaving is the prefill time that waiting for pending blocks must save, as a
	// fraction of the wait.
	minPendingSaving = 0.5
	// tieFraction and tieFloor define which predicted times count as equal: those within
	// tieFloor plus the fraction tieFraction of the least one.
	tieFraction = 0.1
	tieFloor    = 3 * time.Millisecond
	// preferredFraction is the extra time, as a fraction of the time to compute the
	// prompt's uncached tokens, that is accepted to keep a group's requests at its
	// preferred endpoints.
	preferredFraction = 0.25
	// reuseFraction is the assumed fraction of evicted blocks that would have been used
	// again.
	reuseFraction = 0.3
	// crossDomainPenalty is added, with the network round trip time, to the predicted time
	// of endpoints in other failure domains.
	crossDomainPenalty = 2 * time.Millisecond
)

// Prefix selects the candidate with the least predicted time to the first token.
// Requests of one group go to the group's preferred endpoints unless others are clearly
// faster. The preferred endpoints are the first in the group's rendezvous order, as many
// as its load needs.
type Prefix struct {
	// scores holds the candidates' scores for the current query. The slice is reused.
	scores []score
}

// score is the prediction for one candidate.
type score struct {
	// time is the cost by which candidates are compared: firstToken plus the costs of
	// evictions, of another failure domain and of waiting for room.
	time time.Duration
	// firstToken is the predicted time to the first token, including an import and the
	// health penalty.
	firstToken time.Duration
	// pendingTime is the predicted time to the first token if the request waits for the
	// candidate's pending blocks; 0 if waiting isn't worthwhile.
	pendingTime time.Duration
	// cachedBlocks is the number of leading blocks that need no prefill, since they are
	// cached or imported.
	cachedBlocks float64
	// imports is true if importing blocks is worthwhile.
	imports bool
	// hasRoom is true if the candidate has capacity for the request now.
	hasRoom bool
	// rank is the candidate's rank in the group's rendezvous order.
	rank uint64
	// preferred is true for the group's preferred endpoints.
	preferred bool
}

// Pick returns the candidate with the least predicted time. It returns Wait if a
// candidate without room would be faster in spite of the wait, or if a prefill in
// progress will soon leave blocks in a cache that would be computed twice otherwise.
func (p *Prefix) Pick(q Query, candidates []Candidate) Choice {
	p.scores = p.scores[:0]
	full, ready, pending := -1, -1, -1
	for i := range candidates {
		s := scoreOf(q, &candidates[i])
		p.scores = append(p.scores, s)
		if s.hasRoom {
			ready = p.fasterOf(ready, i)
		} else {
			full = p.fasterOf(full, i)
		}
		if s.pendingTime > 0 && (pending < 0 || s.pendingTime < p.scores[pending].pendingTime) {
			pending = i
		}
	}
	if ready < 0 || p.waitForRoom(full, ready) || p.waitForPending(candidates, pending, ready) {
		return Wait
	}
	p.markPreferred(q)
	i := p.breakTie(q, candidates, ready)
	return Choice{Index: i, Import: p.scores[i].imports, FirstToken: p.scores[i].firstToken}
}

// fasterOf returns the index of the faster one of two candidates. The first index may
// be -1 for none.
func (p *Prefix) fasterOf(best, i int) int {
	if best < 0 || p.scores[i].time < p.scores[best].time {
		return i
	}
	return best
}

// waitForRoom reports whether waiting for room at the best candidate without room is
// worthwhile. Full and ready are the indexes of the best candidates without and with
// room.
func (p *Prefix) waitForRoom(full, ready int) bool {
	return full >= 0 && float64(p.scores[full].time) < roomWaitFraction*float64(p.scores[ready].time)
}

// waitForPending reports whether the best candidate with room would compute blocks that
// a prefill in progress at another one leaves in its cache at about the same time.
func (p *Prefix) waitForPending(candidates []Candidate, pending, ready int) bool {
	if pending < 0 {
		return false
	}
	gain := float64(candidates[pending].PendingBlocks) - p.scores[ready].cachedBlocks
	return gain >= 1 && float64(p.scores[pending].pendingTime) < pendingWaitFactor*float64(p.scores[ready].time)
}

// scoreOf returns the score of a candidate for a query, without the mark for preferred
// endpoints.
func scoreOf(q Query, c *Candidate) score {
	s := score{rank: Rank(q.Group, c.Hash), hasRoom: c.HasRoom, cachedBlocks: c.CachedBlocks}
	s.firstToken = c.firstToken(c.CachedBlocks)
	if cost, ok := importCost(c); ok {
		s.imports = true
		s.cachedBlocks = float64(c.Source.CachedBlocks)
		s.firstToken = c.firstToken(float64(c.Source.CachedBlocks)) + cost
	}
	s.time = s.firstToken
	s.time = max(s.time, 0)
	s.time += time.Duration(reuseFraction * (float64(q.Blocks) - c.CachedBlocks) * float64(c.EvictionCost))
	if !c.SameDomain {
		s.time += c.Network + crossDomainPenalty
	}
	if !c.HasRoom {
		s.time += c.RoomWait
	}
	saved := c.Speed.Prefill((float64(c.PendingBlocks) - s.cachedBlocks) * sycblock.TokensPerBlock)
	if float64(saved) > minPendingSaving*float64(c.PendingWait) {
		rest := float64(q.Tokens - c.PendingBlocks*sycblock.TokensPerBlock)
		s.pendingTime = c.PendingWait + c.Network + c.Speed.FirstToken(rest)
	}
	return s
}

// importCost returns the time of an import from the candidate's source, and whether it
// is worthwhile.
func importCost(c *Candidate) (time.Duration, bool) {
	if c.Source == nil {
		return 0, false
	}
	blocks := float64(c.Source.CachedBlocks) - c.CachedBlocks
	if blocks < 1 {
		return 0, false
	}
	cost := c.Source.Overhead + time.Duration(blocks*float64(c.Source.PerBlock))
	saved := c.Speed.Prefill(blocks * sycblock.TokensPerBlock)
	return cost, float64(cost) < maxImportFraction*float64(saved)
}

// markPreferred marks the group's preferred endpoints.
func (p *Prefix) markPreferred(q Query) {
	if q.Group == 0 {
		return
	}
	for range min(max(q.Replicas, 1), len(p.scores)) {
		top := -1
		for i := range p.scores {
			if !p.scores[i].preferred && (top < 0 || p.scores[i].rank > p.scores[top].rank) {
				top = i
			}
		}
		p.scores[top].preferred = true
	}
}

// breakTie selects one of the candidates with room whose times count as equal to the best
// one's. For preferred endpoints the allowed difference is larger by preferredFraction,
// and if there are any among them, only these remain. Among those that remain it selects
// by a weighted random draw that differs between VMs, so that they don't all select the
// same.
func (p *Prefix) breakTie(q Query, candidates []Candidate, best int) int {
	least := p.scores[best].time
	tie := tieFloor + time.Duration(tieFraction*float64(least))
	missing := float64(q.Tokens) - candidates[best].CachedBlocks*sycblock.TokensPerBlock
	preferredTie := tie + time.Duration(preferredFraction*float64(candidates[best].Speed.Prefill(missing)))
	chosen, preferred, highest := best, false, 0.0
	for i := range p.scores {
		s := &p.scores[i]
		limit := tie
		if s.preferred {
			limit = preferredTie
		}
		if !s.hasRoom || s.time > least+limit || (preferred && !s.preferred) {
			continue
		}
		draw := p.weightedDraw(q, &candidates[i], s)
		if (s.preferred && !preferred) || draw > highest {
			chosen, preferred, highest = i, s.preferred, draw
		}
	}
	return chosen
}

// weightedDraw returns a candidate's random draw by weighted rendezvous hashing. The
// highest draw wins, and faster candidates win more often.
func (p *Prefix) weightedDraw(q Query, c *Candidate, s *score) float64 {
	hash := mix(mix(q.ID^q.Seed) ^ c.Hash)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := 1 / (s.time.Seconds() + tieFloor.Seconds())
	return weight / -math.Log(uniform)
}
