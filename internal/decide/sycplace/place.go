// Package sycplace chooses the endpoint of each request on one VM, from the
// registry, what the VM and its peers have under way, which parts of prompts
// the engines are believed to keep, and how attempts went.
//
// A Placer is a pure state machine: it is told the time and every event.
package sycplace

import (
	"cmp"
	"maps"
	"slices"
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
	// suspectPenalty is the disadvantage of an endpoint in doubtful health.
	suspectPenalty = 250 * time.Millisecond
	// oldAfter is the age of newer weights from which on engines with older ones
	// are at a disadvantage, and oldNever that from which on they get no requests
	// while others can.
	oldAfter = 1300 * time.Millisecond
	oldNever = 6 * time.Second
	// oldPart is the disadvantage as a part of the objective.
	oldPart = 0.2
	// fullPause is how long an endpoint that was full is left alone.
	fullPause = 60 * time.Millisecond
	// waitingPerSlot is how many requests may wait at a plain service's endpoint
	// for each that runs.
	waitingPerSlot = 2
	// overdueTimes and overdueMore say when an answer is overdue: so many times what
	// was expected, and this much more.
	overdueTimes = 3
	overdueMore  = 500 * time.Millisecond
	// namesKept is how many versions of a model's weights are remembered.
	namesKept = 8
	// heldGrace is how long after a hold broken answers are still put down to it.
	heldGrace = 500 * time.Millisecond
	// noneRetry is the time after which a request that found no endpoint may come again.
	noneRetry = 500 * time.Millisecond
)

// Request is a request to be placed.
type Request struct {
	ID      uint64
	Service string
	// Model is empty for plain services.
	Model string
	// Parts is the prompt; the last part is the request's own.
	Parts  []Part
	Tokens int
	// Exclude names endpoints that were tried.
	Exclude []string
	// Left is the time to the request's deadline.
	Left time.Duration
	// Resumable requests may go on at another endpoint.
	Resumable bool
	// Objective is the time to the first byte that callers hope for.
	Objective time.Duration
	// Work is how long a request to the plain service takes, 0 if unknown.
	Work time.Duration
}

// Target is where a request goes.
type Target struct {
	Endpoint Endpoint
	// Weights is the version of the request's model there.
	Weights int64
	// Held is the number of prompt tokens that are believed to be kept there.
	Held int
	// Fetch is the address of an engine that keeps more of the prompt, if the
	// endpoint should fetch it from there, and Fetched the tokens that it keeps more.
	Fetch   string
	Fetched int
	// Shared is the number of prompt tokens that other requests may share.
	Shared int
	// Load is what was under way there.
	Load Load
	// Expected is the time to the first byte of the answer.
	Expected time.Duration
}

// Reason says why a request was not placed.
type Reason string

// Reasons of refusals.
const (
	// NoEndpoint means that the service has no endpoint that may get work.
	NoEndpoint Reason = "no_endpoint"
	// Full means that the endpoints can't start the request in time.
	Full Reason = "full"
)

// Refusal says that a request was not placed.
type Refusal struct {
	Reason Reason
	// After is the time after which it may come again.
	After time.Duration
	// Endpoints is how many endpoints were considered.
	Endpoints int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Served is a complete answer.
	Served Outcome = iota
	// Failed is an answer that says so, was broken off or made no sense.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// WasFull means that the endpoint had no room.
	WasFull
	// Moved means that another endpoint has the address.
	Moved
	// Cancelled is an attempt that nobody waits for.
	Cancelled
)

// attempt is a request under way.
type attempt struct {
	endpoint *endpoint
	request  *Request
	started  time.Duration
	missing  int
	expected time.Duration
	answered bool
	// load is what was under way at the endpoint when the attempt began.
	load  Load
	first time.Duration
	// overdue is set once the answer is overdue.
	overdue bool
}

// Ended is an attempt that has ended, as evidence about its endpoint.
type Ended struct {
	Service string
	Release string
	Outcome Outcome
	// Requests and Tokens are what was under way at the endpoint when the attempt
	// began, its own prompt included.
	Requests int
	Tokens   int
	// FirstToken is the time to the first byte of the answer, 0 if none came.
	FirstToken time.Duration
}

// Settings describes the deployment's engines.
type Settings struct {
	FailureDomain string
	Seed          uint64
	// TokensPerSecond is how fast an engine reads prompts.
	TokensPerSecond float64
	// FirstToken is the time to the first token of an empty prompt.
	FirstToken time.Duration
}

// Placer places the requests of one VM.
type Placer struct {
	settings  Settings
	endpoints map[string]*endpoint
	// order lists the endpoints by id, so that decisions don't depend on map order.
	order    []*endpoint
	attempts map[uint64]*attempt
	// cacheTokens is the size of the engines' caches by service.
	cacheTokens map[string]int
	// held names endpoints that are about to take an order, and until when.
	held map[string]time.Duration
	// named holds the newest versions of each model's weights, oldest first.
	named map[string][]naming
	sent  []Sent
	split splitter
}

type naming struct {
	version int64
	at      time.Duration
}

// New returns a placer that knows no endpoints.
func New(s Settings) *Placer {
	return &Placer{
		settings:    s,
		endpoints:   map[string]*endpoint{},
		attempts:    map[uint64]*attempt{},
		cacheTokens: map[string]int{},
		held:        map[string]time.Duration{},
		named:       map[string][]naming{},
	}
}

// CacheTokens sets the size of the cache of each engine of a service.
func (p *Placer) CacheTokens(service string, tokens int) {
	if p.cacheTokens[service] == tokens {
		return
	}
	p.cacheTokens[service] = tokens
	for _, e := range p.order {
		if e.record.Service == service {
			e.cache.limit = int(usedCache * float64(tokens))
		}
	}
}

// Name sets the newest version of a model's weights.
func (p *Placer) Name(now time.Duration, model string, version int64) {
	names := p.named[model]
	if len(names) > 0 && names[len(names)-1].version >= version {
		return
	}
	names = append(names, naming{version: version, at: now})
	p.named[model] = names[max(len(names)-namesKept, 0):]
}

// Put takes in an endpoint's record.
func (p *Placer) Put(record Endpoint) {
	e := p.endpoints[record.ID]
	if e == nil || e.record.Born != record.Born || e.record.Address != record.Address {
		fresh := newEndpoint(record, p.settings.Seed, p.cacheTokens[record.Service])
		if e != nil {
			fresh.attempts = e.attempts
			for _, a := range fresh.attempts {
				a.endpoint = fresh
			}
		}
		p.endpoints[record.ID] = fresh
		p.reorder()
		return
	}
	record.Weights = newest(e.record.Weights, record.Weights)
	if !maps.Equal(e.record.Weights, record.Weights) {
		e.cache.clear()
	}
	e.record = record
}

// newest merges the weights of an endpoint, which never fall while it runs: a
// record may be older than what the endpoint has said itself.
func newest(old, said map[string]int64) map[string]int64 {
	out := maps.Clone(said)
	for model, version := range old {
		if _, named := out[model]; named {
			out[model] = max(out[model], version)
		}
	}
	return out
}

// Learn takes in which weights an endpoint has, as it said itself.
func (p *Placer) Learn(id string, born int64, weights map[string]int64) {
	e := p.endpoints[id]
	if e == nil || e.record.Born != born || len(weights) == 0 {
		return
	}
	record := e.record
	record.Weights = maps.Clone(e.record.Weights)
	for model, version := range weights {
		record.Weights[model] = version
	}
	p.Put(record)
}

// Drop removes an endpoint.
func (p *Placer) Drop(id string) {
	delete(p.endpoints, id)
	p.reorder()
}

func (p *Placer) reorder() {
	p.order = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *endpoint) int {
		return cmp.Compare(a.record.ID, b.record.ID)
	})
}

// Endpoint returns the record of an endpoint.
func (p *Placer) Endpoint(id string) (Endpoint, bool) {
	e, ok := p.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.record, true
}

// Endpoints lists the records of all endpoints by id.
func (p *Placer) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(p.order))
	for _, e := range p.order {
		out = append(out, e.record)
	}
	return out
}

// Hold keeps requests off an endpoint until a time, while others can take them.
func (p *Placer) Hold(id string, until time.Duration) { p.held[id] = until }

// Load returns what all VMs have under way at an endpoint.
func (p *Placer) Load(now time.Duration, id string) Load {
	if e := p.endpoints[id]; e != nil {
		return e.load(now)
	}
	return Load{}
}

// Place chooses an endpoint and begins an attempt there.
func (p *Placer) Place(now time.Duration, r *Request) (*Target, *Refusal) {
	candidates, refusal := p.candidates(now, r)
	if refusal != nil {
		return nil, refusal
	}
	p.match(r)
	var best *endpoint
	var bestOffer offer
	for _, e := range candidates {
		o := p.offer(now, r, e)
		if best == nil || o.score < bestOffer.score {
			best, bestOffer = e, o
		}
	}
	load := best.load(now)
	if after, full := p.full(r, best, load, bestOffer.expected); full {
		return nil, &Refusal{Reason: Full, After: after, Endpoints: len(candidates)}
	}
	target := &Target{
		Endpoint: best.record,
		Weights:  best.record.Weights[r.Model],
		Held:     best.held,
		Shared:   sharedTokens(r.Parts),
		Load:     load,
		Expected: bestOffer.expected,
	}
	if bestOffer.source != nil {
		target.Fetch, target.Fetched = bestOffer.source.record.Address, bestOffer.fetched
	}
	a := &attempt{
		endpoint: best,
		request:  r,
		started:  now,
		missing:  max(r.Tokens-best.held-bestOffer.fetched, 0),
		expected: bestOffer.expected,
		load:     load,
	}
	best.attempts[r.ID] = a
	p.attempts[r.ID] = a
	if len(r.Parts) > 0 {
		best.cache.add(r.Parts)
		p.sent = append(p.sent, Sent{Endpoint: best.record.ID, Parts: r.Parts})
	}
	return target, nil
}

// match notes how much of the prompt each engine of the service keeps.
func (p *Placer) match(r *Request) {
	if len(r.Parts) == 0 {
		return
	}
	for _, e := range p.order {
		if e.record.Service == r.Service {
			e.held = e.cache.held(r.Parts)
		}
	}
}

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

// candidates lists the endpoints that may get the request, the better ones only
// if there are any.
func (p *Placer) candidates(now time.Duration, r *Request) ([]*endpoint, *Refusal) {
	var all []*endpoint
	for _, e := range p.order {
		if e.record.Service != r.Service || slices.Contains(r.Exclude, e.record.ID) || !e.usable(now) {
			continue
		}
		if r.Model != "" && len(e.record.Weights) > 0 {
			if _, loaded := e.record.Weights[r.Model]; !loaded {
				continue
			}
		}
		all = append(all, e)
	}
	all = p.split.filter(r, all)
	if len(all) == 0 {
		return nil, &Refusal{Reason: NoEndpoint, After: noneRetry}
	}
	all = prefer(all, func(e *endpoint) bool { return !p.outdated(now, r.Model, e, oldNever) })
	all = prefer(all, func(e *endpoint) bool { return now >= p.held[e.record.ID] })
	all = prefer(all, func(e *endpoint) bool { return now >= e.fullUntil })
	return all, nil
}

// prefer returns the endpoints that fit, or all if none does.
func prefer(all []*endpoint, fits func(*endpoint) bool) []*endpoint {
	var out []*endpoint
	for _, e := range all {
		if fits(e) {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// outdated reports whether an engine has older weights than some that were named
// that long ago.
func (p *Placer) outdated(now time.Duration, model string, e *endpoint, age time.Duration) bool {
	for _, n := range p.named[model] {
		if n.version > e.record.Weights[model] {
			return now-n.at >= age
		}
	}
	return false
}

// offer returns what the request costs at an endpoint.
func (p *Placer) offer(now time.Duration, r *Request, e *endpoint) offer {
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

func (p *Placer) engineOffer(now time.Duration, r *Request, e *endpoint, load Load) offer {
	var o offer
	shared := sharedTokens(r.Parts)
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
func (p *Placer) source(r *Request, e *endpoint) *endpoint {
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
func (p *Placer) plainTime(r *Request, e *endpoint, load Load) time.Duration {
	work := max(r.Work, time.Millisecond)
	waiting := max(load.Requests+1-e.record.Slots, 0)
	rounds := 1 + float64(waiting)/float64(max(e.record.Slots, 1))
	// Fewer requests there mean fewer that this VM hasn't heard of yet.
	crowd := time.Duration(load.Requests) * work / time.Duration(2*max(e.record.Slots, 1))
	return time.Duration(e.pace*rounds*float64(work)) + crowd
}

func (p *Placer) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.settings.TokensPerSecond * float64(time.Second))
}

// sharedTokens is the length of the parts that other requests share.
func sharedTokens(parts []Part) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// homeBonusFor makes VMs agree on an engine for a prompt that none keeps yet.
func homeBonusFor(r *Request, e *endpoint) time.Duration {
	if len(r.Parts) < 2 {
		return 0
	}
	deepest := r.Parts[len(r.Parts)-2].Hash
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
func (p *Placer) full(r *Request, e *endpoint, load Load, expected time.Duration) (time.Duration, bool) {
	if r.Model == "" {
		slots := max(e.record.Slots, 1)
		if load.Requests < slots*(1+waitingPerSlot) {
			return 0, expected > r.Left
		}
		return max(r.Work, 50*time.Millisecond), true
	}
	return max(expected-r.Left, 100*time.Millisecond), expected > r.Left
}

// Answered tells that the first byte of an answer has come.
func (p *Placer) Answered(now time.Duration, id uint64) {
	a := p.attempts[id]
	if a == nil || a.answered {
		return
	}
	a.answered = true
	a.first = now - a.started
	a.endpoint.heard = now
	a.endpoint.learn(now-a.started, a.expected)
}

// Finish ends an attempt, and returns what it says about its endpoint.
func (p *Placer) Finish(now time.Duration, id uint64, o Outcome) Ended {
	a := p.attempts[id]
	if a == nil {
		return Ended{Outcome: Cancelled}
	}
	ended := Ended{
		Service:    a.request.Service,
		Release:    a.endpoint.record.Release,
		Outcome:    o,
		Requests:   a.load.Requests,
		Tokens:     a.load.Tokens + a.missing,
		FirstToken: a.first,
	}
	delete(p.attempts, id)
	delete(a.endpoint.attempts, id)
	switch o {
	case Served:
		a.endpoint.health.Observe(now, sychealth.Success)
	case Failed:
		if now < p.held[a.endpoint.record.ID]+heldGrace {
			// Broken off by an order.
			ended.Outcome = Cancelled
			return ended
		}
		a.endpoint.health.Observe(now, sychealth.Failure)
	case Unreachable:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
	case WasFull:
		a.endpoint.fullUntil = now + fullPause
	case Moved:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
	case Cancelled:
	}
	return ended
}

// Tick judges endpoints by the answers that are awaited: one from which nothing
// has come since an overdue request was sent to it counts as unreachable.
func (p *Placer) Tick(now time.Duration) {
	for _, e := range p.order {
		for _, a := range e.attempts {
			if a.answered || a.overdue || now-a.started < overdueTimes*a.expected+overdueMore {
				continue
			}
			a.overdue = true
			if e.heard > a.started {
				e.health.Observe(now, sychealth.Slow)
				continue
			}
			e.health.Observe(now, sychealth.Unreachable)
		}
	}
}

// Patience is how long the first byte of an answer may take until the request, if
// it may be repeated, is better sent elsewhere.
func (t *Target) Patience() time.Duration { return overdueTimes*t.Expected + overdueMore }

// Releases returns how many endpoints of a service have a release and may get work.
func (p *Placer) Releases(service, release string) int {
	n := 0
	for _, e := range p.order {
		if e.record.Service == service && e.record.Release == release && !e.record.Leaving {
			n++
		}
	}
	return n
}

// Loads returns what this VM has under way, for its peers.
func (p *Placer) Loads() []Load {
	var out []Load
	for _, e := range p.order {
		if len(e.attempts) > 0 {
			out = append(out, e.own())
		}
	}
	return out
}

// Take returns the prompts sent since the last call, for the peers.
func (p *Placer) Take() []Sent {
	out := p.sent
	p.sent = nil
	return out
}

// Heard takes in what another VM has under way and has sent.
func (p *Placer) Heard(now time.Duration, vm string, loads []Load, sent []Sent) {
	for _, e := range p.order {
		delete(e.peers, vm)
	}
	for _, l := range loads {
		if e := p.endpoints[l.Endpoint]; e != nil {
			e.peers[vm] = peerLoad{Load: l, at: now}
		}
	}
	for _, s := range sent {
		if e := p.endpoints[s.Endpoint]; e != nil {
			e.cache.add(s.Parts)
		}
	}
}

// State describes an endpoint's health, for logs and metrics.
func (p *Placer) State(id string) string {
	if e := p.endpoints[id]; e != nil {
		return string(e.health.State())
	}
	return "unknown"
}
