package sycplace

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxReportDelay is how late an engine's report of an evicted block may arrive. A
// report within this time after the block was sent may concern an earlier copy.
const maxReportDelay = 1500 * time.Millisecond

// CacheScope returns the name of a cache scope, the set of requests that may share
// cached blocks. Requests share blocks if they name the same model and, for isolated
// customers, come from the same customer.
func CacheScope(customer string, isolated bool, model string) string {
	scope := "shared"
	if isolated {
		scope = "only/" + customer
	}
	return strconv.FormatUint(xxhash.Sum64String(scope+"/"+model), 16)
}

// Salt returns the text that an engine mixes into the keys of cached blocks. Blocks
// of another cache scope or version of the weights have another salt and don't match.
func Salt(scope string, weights int64) string {
	return scope + "." + strconv.FormatInt(weights, 10)
}

// ParseSalt returns the cache scope and the version of the weights of a salt. It
// returns false for a salt that Salt can't have made.
func ParseSalt(salt string) (scope string, weights int64, ok bool) {
	scope, version, found := strings.Cut(salt, ".")
	weights, err := strconv.ParseInt(version, 10, 64)
	return scope, weights, found && err == nil
}

// BlockHash returns the hash of a block by its cache scope and name.
func BlockHash(scope, name string) uint64 { return xxhash.Sum64String(scope + "/" + name) }

// CacheReport lists changes of an engine's cache that the engine reported, for blocks
// of one version of the weights.
type CacheReport struct {
	// Endpoint is the engine's ID.
	Endpoint string
	// Incarnation is the incarnation of the engine that reported.
	Incarnation int64
	// Weights is the version of the weights that computed the blocks.
	Weights int64
	// Cached lists blocks that the engine has, Evicted the hashes of blocks that it
	// has evicted.
	Cached  []Block
	Evicted []uint64
}

// CacheEvent is one change of an engine's cache: a block was stored or evicted.
type CacheEvent struct {
	Block
	// Weights is the version of the weights that computed the block.
	Weights int64
	// Evicted is true if the block was evicted and false if it was stored.
	Evicted bool
}

// SummarizeEvents combines an engine's cache events, in their order, into one report
// for each version of the weights. Only the last event of a block counts.
func SummarizeEvents(e Endpoint, events []CacheEvent) []CacheReport {
	type blockKey struct {
		weights int64
		hash    uint64
	}
	last := map[blockKey]CacheEvent{}
	for _, event := range events {
		last[blockKey{event.Weights, event.Hash}] = event
	}
	byWeights := map[int64]*CacheReport{}
	for k, event := range last {
		r := byWeights[k.weights]
		if r == nil {
			r = &CacheReport{Endpoint: e.ID, Incarnation: e.Incarnation, Weights: k.weights}
			byWeights[k.weights] = r
		}
		if event.Evicted {
			r.Evicted = append(r.Evicted, k.hash)
		} else {
			r.Cached = append(r.Cached, event.Block)
		}
	}
	out := make([]CacheReport, 0, len(byWeights))
	for _, weights := range slices.Sorted(maps.Keys(byWeights)) {
		out = append(out, *byWeights[weights])
	}
	return out
}

// ApplyCacheReport applies a report that an engine sent to this VM or to another one.
// Reports of another incarnation or of weights that the engine no longer has are
// ignored.
func (s *Selector) ApplyCacheReport(now time.Duration, r CacheReport) {
	e := s.endpoints[r.Endpoint]
	if e == nil || e.record.Incarnation != r.Incarnation || !e.hasWeights(r.Weights) {
		return
	}
	for _, hash := range r.Evicted {
		e.cache.evictReported(now, hash)
	}
	e.cache.addReported(r.Cached)
}

// hasWeights reports whether any model of the engine has this version of weights.
func (e *endpoint) hasWeights(version int64) bool {
	for _, loaded := range e.record.Weights {
		if loaded == version {
			return true
		}
	}
	return false
}

// CacheReports returns what engines are believed to have cached, for a VM that has just
// started: of the engines with IDs after the given one, in the order of their IDs, until the
// reports have at least maxBlocks blocks. The last ID is empty if no engines follow.
func (s *Selector) CacheReports(after string, maxBlocks int) (reports []CacheReport, last string) {
	blocks := 0
	for _, e := range s.order {
		// A cached block doesn't name its model, so the version of its weights is
		// unknown on engines with several models.
		if e.record.ID <= after || len(e.record.Weights) != 1 || len(e.cache.blocks) == 0 {
			continue
		}
		if blocks >= maxBlocks {
			return reports, reports[len(reports)-1].Endpoint
		}
		for _, version := range e.record.Weights {
			reports = append(reports, CacheReport{Endpoint: e.record.ID, Incarnation: e.record.Incarnation, Weights: version, Cached: e.cache.list()})
		}
		blocks += len(e.cache.blocks)
	}
	return reports, ""
}
