package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/syccapacity"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// slowdownStep is the weight of a new observation in an endpoint's slowdown, an
	// exponential moving average.
	slowdownStep = 0.15
	// maxSlowdown limits a single observation of an endpoint's slowdown.
	maxSlowdown = 8.0
	// cacheFactor scales an engine's configured cache size to the number of tokens
	// that are tracked for it. Running requests take cache space too, but a smaller
	// factor forgets blocks that the engine still has.
	cacheFactor = 1.1
)

// Endpoint is an endpoint's record in the registry.
type Endpoint struct {
	// ID identifies the endpoint. It may stay the same after a restart.
	ID string
	// Service is the name of the endpoint's service.
	Service string
	// Address is an IP address and port.
	Address string
	// FailureDomain is the failure domain in which the endpoint runs.
	FailureDomain string
	// Release is the version of the endpoint's software.
	Release string
	// Slots is how many requests the endpoint runs at the same time.
	Slots int
	// Leaving is true while the endpoint drains: it gets no new requests.
	Leaving bool
	// Incarnation identifies one run of the endpoint: it changes with each restart.
	Incarnation int64
	// Sequence doesn't decrease from one record of an incarnation to the next. Records with
	// the same one have no order.
	Sequence int64
	// Weights holds the version of each loaded model's weights, by model.
	Weights map[string]int64
	// ColdFor is how long the endpoint still tolerates only few requests after its start, as of the record. ColdKnown is
	// set if the record says so.
	ColdFor   time.Duration
	ColdKnown bool
}

// SentPrompt is a prompt that a VM has sent to an endpoint. VMs exchange them, so
// that each knows which blocks the others' requests leave in the engines' caches.
type SentPrompt struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Blocks is the prompt.
	Blocks []Block
}

// Block is a part of a prompt that engines cache as a unit. An engine can reuse it
// only together with all blocks before it in the prompt.
type Block struct {
	// Hash identifies the block's content and its cache scope, see BlockHash.
	Hash uint64
	// Tokens is the number of tokens in the block.
	Tokens int
}

// endpoint is an endpoint's record with everything this VM tracks for it.
type endpoint struct {
	// record is the registry's record with the newest known weights.
	record Endpoint
	// hash is the hash of the endpoint's ID, for rendezvous hashing.
	hash   uint64
	health *sychealth.Health
	// cache holds the blocks that an engine is believed to have cached.
	cache *cache
	// attempts holds this VM's attempts that have not ended, by Request.ID.
	attempts map[uint64]*attempt
	// ownLoad is the load from this VM, the sum over attempts.
	ownLoad Load
	// held is set while none of this VM's attempts may be broken off for an order, see HoldRequests.
	held bool
	// peerLoads holds the loads of other VMs or of groups of them, by peer.
	peerLoads map[string]Load
	// peerSum is the sum of peerLoads.
	peerSum Load
	// slowdown is the moving average of the ratio of the measured to the expected
	// time to the first byte of this VM's attempts at a plain service; at least 1.
	slowdown float64
	// lastFirstByte is when the first byte of an answer last arrived.
	lastFirstByte time.Duration
	// silentUntil is the end of the silenceSpan of the last silence.
	silentUntil time.Duration
	// cachedTokens is the length of the cached prefix of the prompt for which an
	// endpoint is being selected.
	cachedTokens int
	// sentRequests counts the requests that this VM has sent here.
	sentRequests int
	// capacity is what is known of an engine's speed and of the waits there.
	capacity *syccapacity.Engine
	// coldAsOf is when this VM learned of the endpoint's incarnation or, if that was later, got the newest record that says how
	// long it stays cold.
	coldAsOf time.Duration
	// warmup keeps the rate that the endpoint tolerates while it is cold, nil if it is warm.
	warmup *sycthrottle.Warmup
	// mayHaveRestarted is set if the endpoint has refused a connection, first at restartAt, and no record has come that was
	// certainly written later.
	mayHaveRestarted bool
	restartAt        time.Duration
	// avoidUntil is the end of the pause after the endpoint was at capacity, and faultUntil of that after it had a
	// fault.
	avoidUntil, faultUntil time.Duration
	// misplaced is set once something else has answered at the address, until the endpoint itself does.
	misplaced bool
	// successor is the endpoint that has ended this one as of the last succession, nil if there is none.
	successor *endpoint
	// reportedFault is when this VM last told the others of a fault of the endpoint, or was told of one.
	reportedFault time.Duration
}

// newEndpoint returns a healthy endpoint with an empty cache. CacheTokens is the
// engine's configured cache size.
func newEndpoint(e Endpoint, seed uint64, cacheTokens int) *endpoint {
	hash := xxhash.Sum64String(e.ID)
	return &endpoint{
		record:    e,
		hash:      hash,
		health:    sychealth.New(seed ^ hash),
		cache:     newCache(int(cacheFactor * float64(cacheTokens))),
		attempts:  map[uint64]*attempt{},
		ownLoad:   Load{Endpoint: e.ID},
		peerLoads: map[string]Load{},
		slowdown:  1,
		capacity:  syccapacity.NewEngine(),
	}
}

// usable reports whether the endpoint may get a new request: it isn't leaving and
// its health admits one.
func (e *endpoint) usable(now time.Duration) bool {
	if e.record.Leaving {
		return false
	}
	return e.health.Admits(now, len(e.attempts))
}

// observeFirstByte updates the slowdown with a measured and an expected time to the
// first byte.
func (e *endpoint) observeFirstByte(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1), maxSlowdown)
	e.slowdown += slowdownStep * (ratio - e.slowdown)
}
