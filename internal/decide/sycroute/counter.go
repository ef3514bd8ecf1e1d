package sycroute

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// countWindow is the length of the sliding window in which uses are counted.
	countWindow = 4 * time.Second
	// maxCounted limits how many prefixes are counted in a window. When it is reached,
	// uses of further prefixes aren't counted.
	maxCounted = 1 << 14
	// defaultDepth is the length, in blocks, of the prefix that identifies the group of
	// a prompt without known prefixes.
	defaultDepth = 4
	// groupFraction is the fraction of an endpoint's concurrent requests that one group
	// should fill.
	groupFraction = 0.5
)

// PrefixCounter counts how often the prefixes of prompts are used, over a sliding
// window. A prefix is identified by the hash of its last block.
type PrefixCounter struct {
	// start is when the current window started.
	start time.Duration
	// current and previous hold the uses in the current window and in the one before,
	// by prefix.
	current, previous map[uint64]float64
}

// PrefixUse is a prefix and how often it was used.
type PrefixUse struct {
	// ID is the hash of the prefix's last block.
	ID uint64
	// Count is the number of uses in the current and the previous window.
	Count float64
}

// NewPrefixCounter returns a counter without uses.
func NewPrefixCounter() *PrefixCounter {
	return &PrefixCounter{current: map[uint64]float64{}, previous: map[uint64]float64{}}
}

// countedDepths lists the lengths of the prefixes that are counted, in blocks.
var countedDepths = []int{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024}

// Record counts a use of each prefix of a prompt at the counted depths. Chain is the
// hashes of the prompt's blocks.
func (c *PrefixCounter) Record(now time.Duration, chain []uint64) {
	c.rotate(now)
	for _, d := range countedDepths {
		if d > len(chain) {
			return
		}
		id := chain[d-1]
		if _, ok := c.current[id]; ok || len(c.current) < maxCounted {
			c.current[id]++
		}
	}
}

// rotate starts a new window when the current one is over.
func (c *PrefixCounter) rotate(now time.Duration) {
	switch age := now - c.start; {
	case age < countWindow:
		return
	case age < 2*countWindow:
		c.previous, c.current = c.current, map[uint64]float64{}
	default:
		c.previous, c.current = map[uint64]float64{}, map[uint64]float64{}
	}
	c.start = now
}

// Rate returns the uses of a prefix per second.
func (c *PrefixCounter) Rate(now time.Duration, id uint64) float64 {
	c.rotate(now)
	fraction := float64(now-c.start) / float64(countWindow)
	return (c.current[id] + (1-fraction)*c.previous[id]) / countWindow.Seconds()
}

// Top returns the n most used prefixes, the most used first. Prefixes that were used
// once are left out.
func (c *PrefixCounter) Top(n int) []PrefixUse {
	list := make([]PrefixUse, 0, len(c.current))
	for _, id := range slices.Sorted(maps.Keys(c.current)) {
		if count := c.current[id] + c.previous[id]; count > 1 {
			list = append(list, PrefixUse{ID: id, Count: count})
		}
	}
	slices.SortStableFunc(list, func(a, b PrefixUse) int { return cmp.Compare(b.Count, a.Count) })
	return list[:min(n, len(list))]
}

// Group returns the prompt's group, identified by the hash of a prefix's last block.
// The prefix is the longest counted one that an endpoint has cached or that was used
// before, so that prompts with a long common prefix get the same group. Chain is the hashes
// of the prompt's blocks, cached the length of its longest cached prefix in blocks.
// An empty chain has group 0.
func (c *PrefixCounter) Group(chain []uint64, cached int) uint64 {
	if len(chain) == 0 {
		return 0
	}
	depth := min(defaultDepth, len(chain))
	for _, d := range countedDepths {
		if d > len(chain) {
			break
		}
		id := chain[d-1]
		if d <= cached || c.current[id]+c.previous[id] > 0 {
			depth = max(depth, d)
		}
	}
	return chain[depth-1]
}

// Replicas returns the number of endpoints that a group needs. Rate is the group's
// requests per second, duration how long an endpoint takes for one, and concurrent how
// many an endpoint runs at the same time.
func Replicas(rate float64, duration time.Duration, concurrent int) int {
	load := rate * duration.Seconds()
	return 1 + int(load/(groupFraction*float64(max(concurrent, 1))))
}
