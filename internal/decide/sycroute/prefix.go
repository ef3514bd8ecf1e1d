package sycroute

import (
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

const (
	// importMargin is the part of the saved prefill that an import may cost.
	importMargin = 0.7
	// waitMargin is the part of the best immediate time that waiting for a
	// better endpoint may take.
	waitMargin = 0.8
	// comingMargin is the multiple of the best immediate time that waiting for
	// a prefill of the same blocks may take.
	comingMargin = 1.25
	// comingPart is the part of such a wait that must be saved in prefill.
	comingPart = 0.5
	// slackPart and slackFloor say which predictions count as equal.
	slackPart  = 0.1
	slackFloor = 3 * time.Millisecond
	// homePart is the part of the prompt's prefill that is given up to keep a
	// group together.
	homePart = 0.25
	// replacePart is the part of displaced blocks that would have been used again.
	replacePart = 0.3
	// farFloor is the disadvantage of endpoints in other failure domains.
	farFloor = 2 * time.Millisecond
)

// Prefix takes the candidate with the least predicted time to the first token.
// Requests of one group keep to the first candidates in the group's rendezvous
// order, as many as its load needs, unless others are clearly faster.
type Prefix struct {
	// scores is reused between queries.
	scores []score
}

type score struct {
	time time.Duration
	// ready is the time without waiting for room.
	ready time.Duration
	// later is the time when the request waits for the blocks that are coming;
	// 0 if none are.
	later time.Duration
	// held is the number of leading blocks that need no prefill.
	held    float64
	imports bool
	room    bool
	rank    uint64
	home    bool
}

// Pick returns the candidate with the least predicted time. It returns Wait
// when a candidate that has no room yet would still be faster, and when a
// prefill under way will soon leave what would be computed a second time.
func (p *Prefix) Pick(q Query, candidates []Candidate) Choice {
	p.scores = p.scores[:0]
	full, now, coming := -1, -1, -1
	for i := range candidates {
		s := scoreOf(q, &candidates[i])
		p.scores = append(p.scores, s)
		if s.room {
			now = p.faster(now, i)
		} else {
			full = p.faster(full, i)
		}
		if s.later > 0 && (coming < 0 || s.later < p.scores[coming].later) {
			coming = i
		}
	}
	if now < 0 || p.better(full, now) || p.repeats(candidates, coming, now) {
		return Wait
	}
	p.markHomes(q)
	i := p.settle(q, candidates, now)
	return Choice{Index: i, Import: p.scores[i].imports, FirstToken: p.scores[i].ready}
}

func (p *Prefix) faster(best, i int) int {
	if best < 0 || p.scores[i].time < p.scores[best].time {
		return i
	}
	return best
}

// better reports whether waiting for room at a full candidate is worth while.
func (p *Prefix) better(full, now int) bool {
	return full >= 0 && float64(p.scores[full].time) < waitMargin*float64(p.scores[now].time)
}

// repeats reports whether the fastest candidate would compute blocks again that
// a prefill under way elsewhere leaves at about the same time.
func (p *Prefix) repeats(candidates []Candidate, coming, now int) bool {
	if coming < 0 {
		return false
	}
	gain := float64(candidates[coming].PendingBlocks) - p.scores[now].held
	return gain >= 1 && float64(p.scores[coming].later) < comingMargin*float64(p.scores[now].time)
}

// scoreOf predicts the time to the first token at a candidate.
func scoreOf(q Query, c *Candidate) score {
	s := score{rank: Rank(q.Group, c.Hash), room: c.HasRoom, held: c.CachedBlocks}
	s.ready = c.predict(c.CachedBlocks)
	if cost, ok := importCost(c); ok {
		s.imports = true
		s.held = float64(c.Source.CachedBlocks)
		s.ready = c.predict(float64(c.Source.CachedBlocks)) + cost
	}
	s.time = s.ready
	s.time = max(s.time, 0)
	s.time += time.Duration(replacePart * (float64(q.Blocks) - c.CachedBlocks) * float64(c.EvictionCost))
	if !c.SameDomain {
		s.time += c.Network + farFloor
	}
	if !c.HasRoom {
		s.time += c.RoomWait
	}
	saved := c.Speed.Prefill((float64(c.PendingBlocks) - s.held) * sycblock.TokensPerBlock)
	if float64(saved) > comingPart*float64(c.PendingWait) {
		rest := float64(q.Tokens - c.PendingBlocks*sycblock.TokensPerBlock)
		s.later = c.PendingWait + c.Network + c.Speed.FirstToken(rest)
	}
	return s
}

// importCost is the time of an import, and whether it is worth while.
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
	return cost, float64(cost) < importMargin*float64(saved)
}

// markHomes marks the first candidates of the group's rendezvous order.
func (p *Prefix) markHomes(q Query) {
	if q.Group == 0 {
		return
	}
	for range min(max(q.Replicas, 1), len(p.scores)) {
		top := -1
		for i := range p.scores {
			if !p.scores[i].home && (top < 0 || p.scores[i].rank > p.scores[top].rank) {
				top = i
			}
		}
		p.scores[top].home = true
	}
}

// settle chooses among the candidates that are about as fast as the best one:
// homes first, then by weighted draw, which differs between VMs.
func (p *Prefix) settle(q Query, candidates []Candidate, best int) int {
	least := p.scores[best].time
	slack := slackFloor + time.Duration(slackPart*float64(least))
	missing := float64(q.Tokens) - candidates[best].CachedBlocks*sycblock.TokensPerBlock
	homeSlack := slack + time.Duration(homePart*float64(candidates[best].Speed.Prefill(missing)))
	chosen, home, highest := best, false, 0.0
	for i := range p.scores {
		s := &p.scores[i]
		limit := slack
		if s.home {
			limit = homeSlack
		}
		if !s.room || s.time > least+limit || (home && !s.home) {
			continue
		}
		draw := p.draw(q, &candidates[i], s)
		if (s.home && !home) || draw > highest {
			chosen, home, highest = i, s.home, draw
		}
	}
	return chosen
}

// draw is the candidate's lot in a weighted rendezvous: faster candidates win
// more often.
func (p *Prefix) draw(q Query, c *Candidate, s *score) float64 {
	lot := mix(mix(q.ID^q.Seed) ^ c.Hash)
	uniform := (float64(lot>>11) + 0.5) / (1 << 53)
	weight := 1 / (s.time.Seconds() + slackFloor.Seconds())
	return weight / -math.Log(uniform)
}
