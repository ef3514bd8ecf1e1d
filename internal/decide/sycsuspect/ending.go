package sycsuspect

import (
	"slices"
	"time"
)

const (
	// maxEndings limits the ends of endpoints that are kept. The oldest are dropped.
	maxEndings = 256
	// togetherWithin is the time within which broken answers of one endpoint make its end
	// certain.
	togetherWithin = 300 * time.Millisecond
	// uncertainFor is how long an end may become certain.
	uncertainFor = 10 * time.Second
	// burst is the number of ends at about the same time from which on they may have a cause
	// of their own, such as the loss of a rack. Only a block that was in flight at half of
	// them explains them.
	burst = 3
	// maxNearby limits the ends at the same time that are remembered of each.
	maxNearby = 32
)

// ending is the end of an incarnation of an endpoint.
type ending struct {
	endpoint string
	// at is when this VM first knew of a broken answer.
	at time.Duration
	// request is the prompt of the first broken answer.
	request uint64
	// certain is set once the end is certain, and refuted once the endpoint has answered a
	// request that was sent later.
	certain, refuted bool
	// explained is set if a convicted block was in flight.
	explained bool
	// explainedBy is the convicted whole request that was in flight, 0 for none.
	explainedBy uint64
	// broken counts the broken answers, and begun those that had just begun.
	broken, begun int
	// nearby holds the ends of other endpoints at about the same time.
	nearby []*ending
	// blocks holds the suspects that were in flight, in the order in which they were reported.
	blocks []uint64
}

// counts reports whether the end is evidence.
func (e *ending) counts() bool { return e.certain && !e.refuted && !e.explained }

// countsFor reports whether the end is evidence against the blocks of a request that was in flight.
func (e *ending) countsFor(request uint64) bool {
	return e.counts() && (e.explainedBy == 0 || e.explainedBy == request)
}

// tellsBegun reports whether it means something that an answer had just begun. It doesn't if
// many had, since answers then begin long before their content.
func (e *ending) tellsBegun() bool { return e.begun <= 1+e.broken/8 }

// open reports whether the end may still become certain.
func (e *ending) open(now time.Duration) bool {
	return !e.certain && !e.refuted && !e.explained && now-e.at <= uncertainFor
}

// nearbyCount returns how many ends there were at about the same time, and at how many of them a
// block was in flight.
func (e *ending) nearbyCount(hash uint64) (all, with int) {
	all, with = 1, 1
	for _, o := range e.nearby {
		if !o.counts() {
			continue
		}
		all++
		if slices.Contains(o.blocks, hash) {
			with++
		}
	}
	return all, with
}

// mayBeBy reports whether a block that was in flight may explain the end.
func (e *ending) mayBeBy(hash uint64) bool {
	all, with := e.nearbyCount(hash)
	return all < burst || 2*with >= all
}

// addEnding adds the end of an incarnation of an endpoint at which an answer broke off.
func (t *Tracker) addEnding(now time.Duration, endpoint string, request uint64) *ending {
	e := &ending{endpoint: endpoint, at: now, request: request}
	for _, o := range t.endings {
		if now-o.at <= exchangeDelay && len(o.nearby) < maxNearby && len(e.nearby) < maxNearby {
			o.nearby = append(o.nearby, e)
			e.nearby = append(e.nearby, o)
		}
	}
	t.endings = append(t.endings, e)
	t.endings = t.endings[max(len(t.endings)-maxEndings, 0):]
	return e
}

// addBreak adds a broken answer to the end of its endpoint.
func (t *Tracker) addBreak(now time.Duration, origin string, k Break) {
	e := t.ending(now, k.Endpoint)
	if e == nil {
		e = t.addEnding(now, k.Endpoint, k.Request)
	}
	e.broken++
	if k.Begun {
		e.begun++
	}
	became := !e.certain && k.Request != e.request && now-e.at <= togetherWithin
	e.certain = e.certain || became
	for depth, hash := range k.Blocks {
		t.addIncident(now, hash, &incident{
			ending: e, request: k.Request, origin: origin, originAt: k.At, at: now, took: k.Took, begun: k.Begun, depth: depth,
		})
		if !slices.Contains(e.blocks, hash) {
			e.blocks = append(e.blocks, hash)
		}
	}
	if became {
		t.decide(now, e.blocks)
		return
	}
	t.decide(now, k.Blocks)
}

// addIncident adds an incident to a block. One of a convicted block explains the endpoint's end.
// One of a block that was answered lately doesn't count.
func (t *Tracker) addIncident(now time.Duration, hash uint64, i *incident) {
	known, tell := t.recent.has(now, hash)
	if tell {
		t.tell(Record{Served: hash})
	}
	if known {
		return
	}
	b := t.getOrAdd(now, hash)
	b.touched, b.whole = now, hash == i.request
	known, tell = t.known.has(now, hash)
	b.known = b.known || known
	if tell {
		t.tell(Record{Known: hash})
	}
	b.incidents = append(b.incidents, i)
	b.incidents = b.incidents[max(len(b.incidents)-maxIncidents, 0):]
	if !b.convicted() {
		return
	}
	t.explain(now, b, i.ending)
	if b.checkRequest == i.request {
		t.fire(now, b, eventBroken, false)
	}
}

// addEnd makes the end of an endpoint certain, and reports whether it wasn't before.
func (t *Tracker) addEnd(now time.Duration, endpoint string) bool {
	e := t.ending(now, endpoint)
	if e == nil || e.certain {
		return false
	}
	e.certain = true
	t.decide(now, e.blocks)
	return true
}

// refute makes an end no evidence, since the endpoint hasn't ended.
func (t *Tracker) refute(now time.Duration, e *ending) {
	e.refuted = true
	t.reconsider(now, e)
}

// explain makes an end no evidence against other blocks, since a convicted one was in flight. If that is a whole
// request, the end still counts against the request's own blocks.
func (t *Tracker) explain(now time.Duration, b *block, e *ending) {
	switch {
	case b.whole && e.explainedBy == 0:
		e.explainedBy = b.hash
	case !b.whole && !e.explained:
		e.explained = true
	default:
		return
	}
	t.reconsider(now, e)
}

// reconsider applies that an end is no evidence any more.
func (t *Tracker) reconsider(now time.Duration, e *ending) {
	for _, hash := range e.blocks {
		if b := t.blocks[hash]; b != nil && !b.convicted() {
			t.fire(now, b, eventExplained, false)
		}
	}
}

// ending returns the end of an incarnation of an endpoint, nil if there is none. Broken answers
// that didn't mean an end in time are forgotten.
func (t *Tracker) ending(now time.Duration, endpoint string) *ending {
	t.endings = slices.DeleteFunc(t.endings, func(e *ending) bool { return !e.certain && !e.refuted && now-e.at > uncertainFor })
	for _, e := range t.endings {
		if e.endpoint == endpoint {
			return e
		}
	}
	return nil
}
