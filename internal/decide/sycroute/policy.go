// Package sycroute chooses the endpoint for a request from what is known of
// each candidate: its load, its speed and what it holds of the prompt.
//
// Policies are pure: the same queries in the same order give the same choices.
package sycroute

import (
	"cmp"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// Names of the policies in settings.
const (
	NamePrefix      = "prefix"
	NameRoundRobin  = "round_robin"
	NameLeastLoaded = "least_loaded"
	NameRendezvous  = "rendezvous"
)

// Query is the request that a policy chooses for.
type Query struct {
	// ID is unique for each query of a VM.
	ID uint64
	// Seed differs between VMs.
	Seed uint64
	// Tokens is the length of the prompt.
	Tokens int
	// Blocks is the number of the prompt's whole blocks.
	Blocks int
	// Group identifies the shared part of the prompt, equally on all VMs; 0 if
	// the prompt is too short to share anything.
	Group uint64
	// Replicas is the number of endpoints that the group's load calls for; at least 1.
	Replicas int
}

// Candidate is an endpoint that can serve the request.
type Candidate struct {
	// Name identifies the endpoint equally on all VMs.
	Name string
	// Hash is that of Name.
	Hash uint64
	// InFlight is the estimated number of requests at the endpoint, of all VMs.
	InFlight int
	// HasRoom is false while the endpoint must not get this request yet, and
	// RoomWait estimates for how long.
	HasRoom  bool
	RoomWait time.Duration
	// SameDomain is true in the VM's own failure domain.
	SameDomain bool
	// Network is the round trip to the endpoint.
	Network time.Duration
	// HealthPenalty is added for an endpoint in doubtful health; it is negative for
	// one that should be tried.
	HealthPenalty time.Duration
	// PrefillTokens is the number of prompt tokens to compute up to the request's
	// first token, if nothing of its own prompt were held.
	PrefillTokens float64
	// CachedBlocks is the expected number of the prompt's leading blocks in the endpoint's cache.
	CachedBlocks float64
	// PendingBlocks is the number of leading blocks that will be in the cache after
	// ComingWait, when a prefill under way has ended.
	PendingBlocks int
	PendingWait   time.Duration
	// Speed is what was measured of the endpoint's prefill.
	Speed Estimate
	// EvictionCost is the expected cost of displacing a block from the endpoint's
	// cache; 0 while the cache has room.
	EvictionCost time.Duration
	// Source is the best place to import blocks from; nil if there is none.
	Source *ImportSource
}

// ImportSource is a place from which cached blocks can be imported.
type ImportSource struct {
	Name string
	// CachedBlocks is the number of the prompt's leading blocks that the source holds.
	CachedBlocks int
	// PerBlock is the time that the import of a block takes.
	PerBlock time.Duration
	// Overhead is the time that an import takes apart from its blocks.
	Overhead time.Duration
}

// Choice is what a policy decided.
type Choice struct {
	// Index is that of the chosen candidate; -1 when the request waits.
	Index int
	// Import tells to fetch the blocks that Source holds beyond the candidate's own.
	Import bool
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Wait is the choice to let a request wait.
var Wait = Choice{Index: -1}

// Policy chooses among candidates, which are ordered by name.
type Policy interface {
	// Pick returns the choice for a query; there is at least one candidate.
	Pick(q Query, candidates []Candidate) Choice
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	turn uint64
}

// Pick returns the next candidate that has room.
func (p *RoundRobin) Pick(_ Query, candidates []Candidate) Choice {
	for range candidates {
		i := int(p.turn % uint64(len(candidates)))
		p.turn++
		if candidates[i].HasRoom {
			return Choice{Index: i, FirstToken: candidates[i].predict(candidates[i].CachedBlocks)}
		}
	}
	return Wait
}

// LeastLoaded takes the candidate with the fewest requests.
type LeastLoaded struct{}

// Pick returns the least loaded candidate; ties are drawn.
func (LeastLoaded) Pick(q Query, candidates []Candidate) Choice {
	draw := mix(q.ID ^ q.Seed)
	return pickLeast(candidates, func(a, b *Candidate) int {
		return cmp.Or(
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(mix(draw^b.Hash), mix(draw^a.Hash)),
		)
	})
}

// Rendezvous takes the first candidate with room in the rendezvous order of
// the prompt's group.
type Rendezvous struct{}

// Pick returns the highest candidate of the rendezvous order.
func (Rendezvous) Pick(q Query, candidates []Candidate) Choice {
	group := q.Group
	if group == 0 {
		group = mix(q.ID ^ q.Seed)
	}
	return pickLeast(candidates, func(a, b *Candidate) int {
		return cmp.Compare(mix(group^b.Hash), mix(group^a.Hash))
	})
}

func pickLeast(candidates []Candidate, compare func(a, b *Candidate) int) Choice {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.HasRoom && (best < 0 || compare(c, &candidates[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return Wait
	}
	c := &candidates[best]
	return Choice{Index: best, FirstToken: c.predict(c.CachedBlocks)}
}

// predict is the time to the first token when the given number of blocks need
// no prefill, apart from waiting for room.
func (c *Candidate) predict(held float64) time.Duration {
	tokens := c.PrefillTokens - held*sycblock.TokensPerBlock
	return c.Network + c.HealthPenalty + c.Speed.FirstToken(tokens)
}

// Rank orders endpoints, named by their hashes, for a block; VMs agree on it.
func Rank(block, endpoint uint64) uint64 { return mix(block ^ endpoint) }

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
