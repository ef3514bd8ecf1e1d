package sycplace

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// toldLate is how long after a part was sent an engine may still tell that it has
// dropped an earlier copy.
const toldLate = 1500 * time.Millisecond

// CacheScope names the requests that may share cached parts: those of one model, and of one
// customer where that is kept apart.
func CacheScope(customer string, isolated bool, model string) string {
	wall := "shared"
	if isolated {
		wall = "only/" + customer
	}
	return strconv.FormatUint(xxhash.Sum64String(wall+"/"+model), 16)
}

// Salt is the text under which an engine keeps parts: those of other weights don't match.
func Salt(wall string, weights int64) string { return wall + "." + strconv.FormatInt(weights, 10) }

// ParseSalt returns what a salt was made of; ok is false if it is no salt of ours.
func ParseSalt(salt string) (wall string, weights int64, ok bool) {
	wall, version, found := strings.Cut(salt, ".")
	weights, err := strconv.ParseInt(version, 10, 64)
	return wall, weights, found && err == nil
}

// BlockHash is the hash of a part by its name and wall.
func BlockHash(wall, name string) uint64 { return xxhash.Sum64String(wall + "/" + name) }

// CacheReport is what an engine has told of its cache.
type CacheReport struct {
	Endpoint string
	// Incarnation is the engine's start that the parts were kept since, Weights the version
	// that they were made under.
	Incarnation int64
	Weights     int64
	// Cached are parts that the engine keeps, Gone hashes of parts that it has dropped.
	Cached  []Block
	Evicted []uint64
}

// CacheEvent is one thing that an engine has told of its cache.
type CacheEvent struct {
	Block
	// Weights is the version that the part was made under.
	Weights int64
	// Evicted means that the engine has ceased to keep the part.
	Evicted bool
}

// SummarizeEvents makes of an engine's events, in their order, what it keeps and has dropped by
// version of the weights. Of several events of a part the last one counts.
func SummarizeEvents(e Endpoint, events []CacheEvent) []CacheReport {
	type copied struct {
		weights int64
		hash    uint64
	}
	last := map[copied]CacheEvent{}
	for _, event := range events {
		last[copied{event.Weights, event.Hash}] = event
	}
	byWeights := map[int64]*CacheReport{}
	for c, event := range last {
		t := byWeights[c.weights]
		if t == nil {
			t = &CacheReport{Endpoint: e.ID, Incarnation: e.Incarnation, Weights: c.weights}
			byWeights[c.weights] = t
		}
		if event.Evicted {
			t.Evicted = append(t.Evicted, c.hash)
		} else {
			t.Cached = append(t.Cached, event.Block)
		}
	}
	out := make([]CacheReport, 0, len(byWeights))
	for _, weights := range slices.Sorted(maps.Keys(byWeights)) {
		out = append(out, *byWeights[weights])
	}
	return out
}

// ApplyCacheReport takes in what an engine has told of its cache, to this VM or to another.
func (p *Selector) ApplyCacheReport(now time.Duration, t CacheReport) {
	e := p.endpoints[t.Endpoint]
	if e == nil || e.record.Incarnation != t.Incarnation || !e.has(t.Weights) {
		return
	}
	for _, hash := range t.Evicted {
		e.cache.drop(now, hash)
	}
	e.cache.told(t.Cached)
}

// has reports whether the engine has a version of some model's weights.
func (e *endpoint) has(weights int64) bool {
	for _, version := range e.record.Weights {
		if version == weights {
			return true
		}
	}
	return false
}

// CacheReports returns what all engines are believed to keep, for a VM that has just started.
func (p *Selector) CacheReports() []CacheReport {
	var out []CacheReport
	for _, e := range p.order {
		// Engines with several models would need the model of each part here.
		if len(e.record.Weights) != 1 || len(e.cache.parts) == 0 {
			continue
		}
		for _, version := range e.record.Weights {
			out = append(out, CacheReport{Endpoint: e.record.ID, Incarnation: e.record.Incarnation, Weights: version, Cached: e.cache.list()})
		}
	}
	return out
}
