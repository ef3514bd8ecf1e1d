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
	// mostBacklog is the prefill time from which on an endpoint gets no further
	// request; what waits here keeps its fair order.
	mostBacklog = 400 * time.Millisecond
	// claimOver is the part by which a VM's claim to its share may exceed an
	// endpoint's concurrency until the others have heard of it.
	claimOver = 0.25
)

// field is the endpoints that can serve a request, in the same order in each slice.
type field struct {
	candidates []sycroute.Candidate
	endpoints  []*endpoint
	matches    []sycprefix.Match
	// source is where missing blocks can be imported from.
	source  *endpoint
	sources []sycroute.Source
	// shared is the number of leading blocks that any endpoint is expected to hold.
	shared int
}

func (f *field) reset() {
	f.candidates = f.candidates[:0]
	f.endpoints = f.endpoints[:0]
	f.matches = f.matches[:0]
	f.source = nil
	f.shared = 0
}

// matched is what each endpoint holds of a request's prompt, in the order of
// Dispatcher.order. It is valid until the event that it was made in ends.
type matched struct {
	valid   bool
	request uint64
	salt    string
	list    []sycprefix.Match
	deepest int
}

// match looks a prompt up in all caches and returns the greatest depth.
func (d *Dispatcher[P]) match(now time.Duration, r *Request, o Option) int {
	m := &d.matched
	if m.valid && m.request == r.ID && m.salt == o.Salt {
		return m.deepest
	}
	*m = matched{valid: true, request: r.ID, salt: o.Salt, list: m.list[:0]}
	hint := 0
	for _, e := range d.order {
		match := e.cache.MatchNear(now, o.Chain, hint)
		if match.Depth > 0 {
			hint = match.Depth
		}
		m.deepest = max(m.deepest, match.Depth)
		m.list = append(m.list, match)
	}
	return m.deepest
}

// gather fills the field with the endpoints that can run a request with an option.
func (d *Dispatcher[P]) gather(now time.Duration, r *Request, o Option, part float64) {
	f := &d.field
	f.reset()
	f.shared = d.match(now, r, o)
	source := sycroute.Source{}
	failed := d.failedDomains(r)
	for i, e := range d.order {
		m := d.matched.list[i]
		if m.Confirmed > source.Held && e.health.State() != sychealth.Out {
			source = sycroute.Source{Name: e.record.Name(), Held: m.Confirmed}
			f.source = e
		}
		if !d.eligible(now, e, r, o) {
			continue
		}
		f.endpoints = append(f.endpoints, e)
		f.matches = append(f.matches, m)
		f.candidates = append(f.candidates, d.candidate(now, e, r, o, m, part))
	}
	f.leave(failed)
	if f.source != nil {
		f.offer(source)
	}
	if d.store(0) != nil {
		f.replaceByImport()
	}
}

// failedDomains lists the other failure domains in which an attempt of the request has
// failed. They may be cut off, so that each engine there would cost a retry.
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

// leave drops the endpoints of failure domains, as long as another one has room.
func (f *field) leave(domains []string) {
	if len(domains) == 0 {
		return
	}
	outside := func(i int) bool { return !slices.Contains(domains, f.endpoints[i].record.FailureDomain()) }
	kept := 0
	room := false
	for i := range f.endpoints {
		room = room || outside(i) && f.candidates[i].Room
	}
	if !room {
		return
	}
	for i := range f.endpoints {
		if !outside(i) {
			continue
		}
		f.endpoints[kept], f.matches[kept], f.candidates[kept] = f.endpoints[i], f.matches[i], f.candidates[i]
		kept++
	}
	f.endpoints, f.matches, f.candidates = f.endpoints[:kept], f.matches[:kept], f.candidates[:kept]
}

// replaceByImport tells that a store holds what caches evict.
func (f *field) replaceByImport() {
	for i, e := range f.endpoints {
		f.candidates[i].Replace = min(f.candidates[i].Replace, e.importPerBlock)
	}
}

// offer makes the source known to all candidates but itself.
func (f *field) offer(source sycroute.Source) {
	f.sources = slices.Grow(f.sources[:0], len(f.endpoints))
	for i, e := range f.endpoints {
		if e == f.source {
			continue
		}
		source.PerBlock = e.importPerBlock
		source.Overhead = importOverhead + f.source.network
		f.sources = append(f.sources, source)
		f.candidates[i].Source = &f.sources[len(f.sources)-1]
	}
}

// eligible reports whether an endpoint may run the request at all.
func (d *Dispatcher[P]) eligible(now time.Duration, e *endpoint, r *Request, o Option) bool {
	if !d.fits(e, r, o) {
		return false
	}
	return e.usable(now)
}

func (d *Dispatcher[P]) fits(e *endpoint, r *Request, o Option) bool {
	if e.record.Leaving() || slices.Contains(r.Exclude, e.record.Name()) {
		return false
	}
	if r.Service != "" {
		return e.offers(r.Service)
	}
	return e.serves(r.Model, o.Version, !e.reported && d.initial[o.Version.Version])
}

func (d *Dispatcher[P]) candidate(now time.Duration, e *endpoint, r *Request, o Option, m sycprefix.Match, part float64) sycroute.Candidate {
	l := e.load(now)
	speed := e.speed.Estimate()
	c := sycroute.Candidate{
		Name:     e.record.Name(),
		Hash:     e.hash,
		InFlight: l.requests,
		Near:     e.record.FailureDomain() == d.options.FailureDomain,
		Network:  e.network,
		Penalty:  e.penalty(),
		Prefill:  float64(l.prefill + r.PromptTokens),
		Held:     expected(m, e.trust),
		Speed:    speed,
	}
	if e.crowded() {
		c.Replace = speed.Prefill(sycblock.TokensPerBlock)
	}
	c.Room, c.RoomWait = e.room(now, l, speed, part)
	c.Coming, c.ComingWait = e.comingAt(now, o.Chain, m.Depth)
	return c
}

// expected weighs predicted blocks by the trust in predictions.
func expected(m sycprefix.Match, trust float64) float64 {
	return float64(m.Confirmed) + trust*float64(m.Depth-m.Confirmed)
}

// room reports whether the endpoint may get another request, and otherwise
// estimates how long that will take.
func (e *endpoint) room(now time.Duration, l load, speed sycroute.Estimate, part float64) (bool, time.Duration) {
	if now < e.pausedUntil {
		return false, e.pausedUntil - now
	}
	slots := e.slots()
	backlog := speed.Prefill(float64(l.prefill))
	if l.requests < slots && (backlog <= mostBacklog || l.requests == 0) {
		return true, 0
	}
	if e.claims(now, l, backlog, part) {
		return true, 0
	}
	over := max(l.requests+1-slots, 0)
	wait := e.stay * time.Duration(over) / time.Duration(slots)
	return false, max(wait, backlog-mostBacklog)
}

// claims reports whether this VM has less than its part of a full endpoint.
func (e *endpoint) claims(now time.Duration, l load, backlog time.Duration, part float64) bool {
	if e.peers.requests == 0 {
		return false
	}
	slots := float64(e.slots())
	own := e.own(now)
	if float64(own.requests) >= max(part*slots, 1) || float64(l.requests) >= (1+claimOver)*slots {
		return false
	}
	if backlog <= mostBacklog {
		return true
	}
	ownPart := float64(own.prefill) / float64(max(l.prefill, 1))
	return ownPart < part && backlog <= 2*mostBacklog
}

// common is the number of leading blocks that two chains share. A chain's hash
// covers all blocks before it, so that bisection finds the end.
func common(a, b []uint64) int {
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

// imported returns the blocks that the source holds beyond the candidate's own.
func (f *field) imported(i int, chain []uint64) []uint64 {
	return chain[min(f.matches[i].Depth, f.candidates[i].Source.Held):f.candidates[i].Source.Held]
}

// tokens is the length of a number of blocks.
func tokens(blocks int) int { return blocks * sycblock.TokensPerBlock }
