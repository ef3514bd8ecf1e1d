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
)

const (
	// namesKept is how many versions of a model's weights are remembered.
	namesKept = 8
)

// Settings describes the deployment's engines.
type Settings struct {
	FailureDomain string
	Seed          uint64
	// Policy is one of the policies; empty is PolicyExpected.
	Policy string
	// TokensPerSecond is how fast an engine reads prompts.
	TokensPerSecond float64
	// FirstToken is the time to the first token of an empty prompt.
	FirstToken time.Duration
	// WeightsWithin is how long after newer weights were named requests may begin on
	// older ones; 0 sets no bound.
	WeightsWithin time.Duration
}

// Selector places the requests of one VM.
type Selector struct {
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
	sent  []SentPrompt
	split splitter
}

type naming struct {
	version int64
	at      time.Duration
}

// New returns a placer that knows no endpoints.
func New(s Settings) *Selector {
	return &Selector{
		settings:    s,
		endpoints:   map[string]*endpoint{},
		attempts:    map[uint64]*attempt{},
		cacheTokens: map[string]int{},
		held:        map[string]time.Duration{},
		named:       map[string][]naming{},
	}
}

// CacheTokens sets the size of the cache of each engine of a service.
func (p *Selector) CacheTokens(service string, tokens int) {
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

// AnnounceWeights sets the newest version of a model's weights.
func (p *Selector) AnnounceWeights(now time.Duration, model string, version int64) {
	names := p.named[model]
	if len(names) > 0 && names[len(names)-1].version >= version {
		return
	}
	names = append(names, naming{version: version, at: now})
	p.named[model] = names[max(len(names)-namesKept, 0):]
}

// Put takes in an endpoint's record.
func (p *Selector) Put(record Endpoint) {
	e := p.endpoints[record.ID]
	if e == nil || e.record.Incarnation != record.Incarnation || e.record.Address != record.Address {
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

// UpdateWeights takes in which weights an endpoint has, as it said itself.
func (p *Selector) UpdateWeights(id string, born int64, weights map[string]int64) {
	e := p.endpoints[id]
	if e == nil || e.record.Incarnation != born || len(weights) == 0 {
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
func (p *Selector) Drop(id string) {
	delete(p.endpoints, id)
	delete(p.held, id)
	p.reorder()
}

func (p *Selector) reorder() {
	p.order = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *endpoint) int {
		return cmp.Compare(a.record.ID, b.record.ID)
	})
}

// Endpoint returns the record of an endpoint.
func (p *Selector) Endpoint(id string) (Endpoint, bool) {
	e, ok := p.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.record, true
}

// Endpoints lists the records of all endpoints by id.
func (p *Selector) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(p.order))
	for _, e := range p.order {
		out = append(out, e.record)
	}
	return out
}

// Cordon keeps requests off an endpoint until a time, while others can take them.
func (p *Selector) Cordon(id string, until time.Duration) { p.held[id] = until }

// Load returns what all VMs have under way at an endpoint.
func (p *Selector) Load(now time.Duration, id string) Load {
	if e := p.endpoints[id]; e != nil {
		return e.load(now)
	}
	return Load{}
}

// ReleaseEndpoints returns how many endpoints of a service have a release and may get work.
func (p *Selector) ReleaseEndpoints(service, release string) int {
	n := 0
	for _, e := range p.order {
		if e.record.Service == service && e.record.Release == release && !e.record.Leaving {
			n++
		}
	}
	return n
}

// OwnLoads returns what this VM has under way, for its peers.
func (p *Selector) OwnLoads() []Load {
	var out []Load
	for _, e := range p.order {
		if len(e.attempts) > 0 {
			out = append(out, e.own())
		}
	}
	return out
}

// TakeSentPrompts returns the prompts sent since the last call, for the peers.
func (p *Selector) TakeSentPrompts() []SentPrompt {
	out := p.sent
	p.sent = nil
	return out
}

// ApplyPeerReport takes in what another VM has under way and has sent.
func (p *Selector) ApplyPeerReport(now time.Duration, vm string, loads []Load, sent []SentPrompt) {
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
			e.cache.add(now, s.Blocks)
		}
	}
}

// State describes an endpoint's health, for logs and metrics.
func (p *Selector) State(id string) string {
	if e := p.endpoints[id]; e != nil {
		return string(e.health.State())
	}
	return "unknown"
}
