package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

const (
	// rereadPrice is the price of reading shared parts again that another engine
	// keeps, in times of what it takes. It is high since the time is taken from
	// other requests, and the parts displace others.
	rereadPrice = 5.0
	// easyPart is the part of the objective within which a first token is surely
	// in time; what goes beyond it is priced latePrice times.
	easyPart  = 0.6
	latePrice = 2.0
	// fetchLeast is the least number of tokens that are fetched from another
	// engine, fetchSetup and fetchPerToken the time that it takes.
	fetchLeast    = 32
	fetchSetup    = 6 * time.Millisecond
	fetchPerToken = 4 * time.Microsecond
	// fetchAway is the factor between failure domains.
	fetchAway = 2
	// awayPenalty is the disadvantage of endpoints in other failure domains.
	awayPenalty = 50 * time.Millisecond
	// stepPenalty is what each running request adds to the time of an engine's step.
	stepPenalty = 300 * time.Microsecond
	// homeBonus is the advantage of the engine that all VMs would choose for a
	// prompt that none keeps.
	homeBonus = 300 * time.Millisecond
	// queuePart is the part of its objective that a request may wait for others'
	// prompts, urgentQueuePart that of the most urgent kind.
	queuePart       = 0.35
	urgentQueuePart = 1.0
	// leastReturn is the least time after which a refused request may come again.
	leastReturn = 100 * time.Millisecond
	// suspectPenalty is the disadvantage of an endpoint in doubtful health.
	suspectPenalty = 250 * time.Millisecond
	// oldPart is the disadvantage of engines with older weights, as a part of the
	// objective.
	oldPart = 0.2
	// waitingPerSlot is how many requests may wait at a plain service's endpoint
	// for each that runs.
	waitingPerSlot = 2
)

// offer is what an endpoint offers a request.
type offer struct {
	// score is the cost as a time.
	score time.Duration
	// expected is the time to the first byte.
	expected time.Duration
	// source is the engine to fetch from, if any.
	source  *endpoint
	fetched int
}

// offer returns what the request costs at an endpoint.
func (p *Selector) offer(now time.Duration, r *Request, e *endpoint) offer {
	var o offer
	load := e.load(now)
	if r.Model == "" {
		o.expected = p.plainTime(r, e, load)
		o.score = o.expected
	} else {
		o = p.engineOffer(now, r, e, load)
	}
	if easy := time.Duration(easyPart * float64(r.Objective)); r.Objective > 0 && o.expected > easy {
		o.score += time.Duration(latePrice * float64(o.expected-easy))
	}
	if e.record.FailureDomain != p.settings.FailureDomain {
		o.score += awayPenalty
	}
	if e.health.State() == sychealth.Suspect {
		o.score += suspectPenalty
	}
	return o
}

func (p *Selector) engineOffer(now time.Duration, r *Request, e *endpoint, load Load) offer {
	var o offer
	shared := sharedTokens(r.Blocks)
	source := p.source(r, e)
	again, transfer := 0, time.Duration(0)
	if source != nil {
		more := min(source.held, shared) - e.held
		if more >= fetchLeast && e.record.Weights[r.Model] > 0 {
			o.source, o.fetched = source, more
			transfer = fetchTime(more, source.record.FailureDomain != e.record.FailureDomain)
		} else {
			again = max(more, 0)
		}
	}
	missing := max(r.Tokens-e.held-o.fetched, 0)
	read := p.readTime(load.Tokens + missing)
	o.expected = transfer + time.Duration(e.pace*float64(p.settings.FirstToken+read+time.Duration(load.Requests)*stepPenalty))
	o.score = o.expected + time.Duration(rereadPrice*float64(p.readTime(again)))
	if p.outdated(now, r.Model, e, oldAfter) {
		o.score += time.Duration(oldPart * float64(r.Objective))
	}
	if source == nil && e.held < shared {
		o.score -= homeBonusFor(r, e)
	}
	return o
}

// source returns the engine with the same weights that keeps most of the prompt,
// nil if none keeps more than the endpoint.
func (p *Selector) source(r *Request, e *endpoint) *endpoint {
	var best *endpoint
	for _, s := range p.order {
		if s == e || s.record.Service != r.Service || s.held <= e.held {
			continue
		}
		if s.record.Weights[r.Model] != e.record.Weights[r.Model] || s.health.State() == sychealth.Out {
			continue
		}
		if best == nil || s.held > best.held || s.held == best.held && s.record.FailureDomain == e.record.FailureDomain {
			best = s
		}
	}
	return best
}

func fetchTime(tokens int, away bool) time.Duration {
	transfer := time.Duration(tokens) * fetchPerToken
	if away {
		transfer *= fetchAway
	}
	return fetchSetup + transfer
}

// plainTime is the expected time of a request to a plain service.
func (p *Selector) plainTime(r *Request, e *endpoint, load Load) time.Duration {
	work := max(r.ServiceTime, time.Millisecond)
	waiting := max(load.Requests+1-e.record.Slots, 0)
	rounds := 1 + float64(waiting)/float64(max(e.record.Slots, 1))
	// Fewer requests there mean fewer that this VM hasn't heard of yet.
	crowd := time.Duration(load.Requests) * work / time.Duration(2*max(e.record.Slots, 1))
	return time.Duration(e.pace*rounds*float64(work)) + crowd
}

func (p *Selector) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.settings.TokensPerSecond * float64(time.Second))
}

// sharedTokens is the length of the parts that other requests share.
func sharedTokens(parts []Block) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// homeBonusFor makes VMs agree on an engine for a prompt that none keeps yet.
func homeBonusFor(r *Request, e *endpoint) time.Duration {
	if len(r.Blocks) < 2 {
		return 0
	}
	deepest := r.Blocks[len(r.Blocks)-2].Hash
	rank := xxhash.Sum64(append(bytes8(deepest), bytes8(e.hash)...))
	return time.Duration(float64(rank>>11) / (1 << 53) * float64(homeBonus))
}

func bytes8(v uint64) []byte {
	out := make([]byte, 8, 16)
	for i := range out {
		out[i] = byte(v >> (8 * i))
	}
	return out
}

// full reports whether the best endpoint can't answer in time, and when it may.
// Under overload the less urgent kinds are refused before the queue at the engines
// makes the others late too. What counts is the queue, not the request's own
// prompt, so that long prompts are refused no more often than short ones.
func (p *Selector) full(r *Request, e *endpoint, load Load, expected time.Duration) (time.Duration, bool) {
	if r.Model == "" {
		slots := max(e.record.Slots, 1)
		if load.Requests < slots*(1+waitingPerSlot) {
			return 0, expected > r.Remaining
		}
		return max(r.ServiceTime, 50*time.Millisecond), true
	}
	queue := time.Duration(e.pace * float64(p.readTime(load.Tokens)))
	limit := time.Duration(queuePart * float64(r.Objective))
	if r.Priority == 0 {
		limit = time.Duration(urgentQueuePart * float64(r.Objective))
	}
	if r.Objective > 0 && queue > limit {
		return queue - limit + leastReturn, true
	}
	return max(expected-r.Remaining, leastReturn), expected > r.Remaining
}
