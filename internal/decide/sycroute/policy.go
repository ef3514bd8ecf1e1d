// Package sycroute selects the endpoint for a request by each candidate's load, speed
// and cached blocks of the prompt.
//
// A block is a part of a prompt that engines cache as a unit. Prefill is the
// computation of the prompt's uncached tokens before the first token of the answer.
// A group is the requests whose prompts share a prefix. Rendezvous hashing orders the
// endpoints for a group in the same way on all VMs.
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
	// NamePrefix selects the policy Prefix.
	NamePrefix = "prefix"
	// NameRoundRobin selects the policy RoundRobin.
	NameRoundRobin = "round_robin"
	// NameLeastLoaded selects the policy LeastLoaded.
	NameLeastLoaded = "least_loaded"
	// NameRendezvous selects the policy Rendezvous.
	NameRendezvous = "rendezvous"
)

// Query describes the request for which a policy selects an endpoint.
type Query struct {
	// ID is unique for each query of a VM.
	ID uint64
	// Seed differs between VMs, so that their random choices differ.
	Seed uint64
	// Tokens is the number of prompt tokens.
	Tokens int
	// Blocks is the number of the prompt's complete blocks.
	Blocks int
	// Group identifies the request's group, see PrefixCounter.Group; 0 if the prompt has
	// no complete block.
	Group uint64
	// Replicas is the number of endpoints that the group's load needs; at least 1.
	Replicas int
}

// Candidate is an endpoint that can serve the request.
type Candidate struct {
	// Name identifies the endpoint. It is the same on all VMs.
	Name string
	// Hash is the hash of Name, for rendezvous hashing.
	Hash uint64
	// InFlight is the estimated number of requests from all VMs at the endpoint.
	InFlight int
	// HasRoom is true if the endpoint has capacity for the request now. If not, RoomWait
	// is the estimated time until it has.
	HasRoom  bool
	RoomWait time.Duration
	// SameDomain is true if the endpoint is in this VM's failure domain.
	SameDomain bool
	// Network is the network round trip time to the endpoint.
	Network time.Duration
	// HealthPenalty is added to the predicted time of an endpoint whose health is
	// suspect. It is negative for an endpoint that is being probed, so that it gets a
	// request.
	HealthPenalty time.Duration
	// PrefillTokens is the number of prompt tokens that the endpoint computes before the
	// request's first token if no block of its prompt is cached. It includes the tokens of
	// requests before it.
	PrefillTokens float64
	// CachedBlocks is the expected number of the prompt's leading blocks that the endpoint
	// has cached. It is a fraction where blocks are cached with some probability.
	CachedBlocks float64
	// PendingBlocks is the number of the prompt's leading blocks that the endpoint will
	// have cached after PendingWait, when a prefill in progress for another request ends.
	// It is 0 if no prefill covers more than what is cached.
	PendingBlocks int
	PendingWait   time.Duration
	// Speed is the measured prefill speed of the endpoint.
	Speed Estimate
	// EvictionCost is the time to get back a block that the endpoint evicts for this
	// request; 0 while the cache isn't full.
	EvictionCost time.Duration
	// Source is the best source to import cached blocks from; nil if there is none.
	Source *ImportSource
}

// ImportSource is an engine or block store from which an endpoint can import cached
// blocks instead of computing them.
type ImportSource struct {
	// Name is the name of the source's endpoint.
	Name string
	// CachedBlocks is the number of the prompt's leading blocks that the source has.
	CachedBlocks int
	// PerBlock is the time to import one block.
	PerBlock time.Duration
	// Overhead is the fixed time of an import, whatever its number of blocks.
	Overhead time.Duration
}

// Choice is a policy's decision.
type Choice struct {
	// Index is the index of the selected candidate; -1 if the request should wait.
	Index int
	// Import is true if the candidate should import the blocks that its Source has and it
	// has not.
	Import bool
	// FirstToken is the predicted time to the first token at the candidate.
	FirstToken time.Duration
}

// Wait is the choice that no endpoint is selected yet and the request waits.
var Wait = Choice{Index: -1}

// Policy selects one of the candidates, which are ordered by name.
type Policy interface {
	// Pick returns the choice for a query; there is at least one candidate. The choice is
	// Wait if no candidate has room.
	Pick(q Query, candidates []Candidate) Choice
}

// RoundRobin selects the candidates in turn.
type RoundRobin struct {
	// next counts the candidates tried so far. Modulo the number of candidates it is the
	// next index.
	next uint64
}

// Pick returns the next candidate that has room.
func (p *RoundRobin) Pick(_ Query, candidates []Candidate) Choice {
	for range candidates {
		i := int(p.next % uint64(len(candidates)))
		p.next++
		if candidates[i].HasRoom {
			return Choice{Index: i, FirstToken: candidates[i].firstToken(candidates[i].CachedBlocks)}
		}
	}
	return Wait
}

// LeastLoaded selects the candidate with the fewest requests in flight.
type LeastLoaded struct{}

// Pick returns the least loaded candidate with room. Ties are broken at random.
func (LeastLoaded) Pick(q Query, candidates []Candidate) Choice {
	random := mix(q.ID ^ q.Seed)
	return pickFirst(candidates, func(a, b *Candidate) int {
		return cmp.Or(
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(mix(random^b.Hash), mix(random^a.Hash)),
		)
	})
}

// Rendezvous selects the first candidate with room in the rendezvous order of the
// request's group.
type Rendezvous struct{}

// Pick returns the first candidate with room in the rendezvous order. A request without
// a group gets a random order.
func (Rendezvous) Pick(q Query, candidates []Candidate) Choice {
	group := q.Group
	if group == 0 {
		group = mix(q.ID ^ q.Seed)
	}
	return pickFirst(candidates, func(a, b *Candidate) int {
		return cmp.Compare(mix(group^b.Hash), mix(group^a.Hash))
	})
}

// pickFirst returns the first candidate with room in the order given by compare, or Wait
// if none has room.
func pickFirst(candidates []Candidate, compare func(a, b *Candidate) int) Choice {
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
	return Choice{Index: best, FirstToken: c.firstToken(c.CachedBlocks)}
}

// firstToken predicts the time to the first token if the given number of leading blocks
// is cached. It doesn't include waiting for room.
func (c *Candidate) firstToken(cached float64) time.Duration {
	tokens := c.PrefillTokens - cached*sycblock.TokensPerBlock
	return c.Network + c.HealthPenalty + c.Speed.FirstToken(tokens)
}

// Rank returns an endpoint's rank in the rendezvous order for a block; the highest rank
// comes first. Both are given by their hashes, so all VMs agree on the order.
func Rank(block, endpoint uint64) uint64 { return mix(block ^ endpoint) }

// mix returns a hash of x in which every bit depends on all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
