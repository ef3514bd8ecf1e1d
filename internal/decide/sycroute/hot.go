package sycroute

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// hotWindow is the time over which uses are counted.
	hotWindow = 4 * time.Second
	// hotLimit bounds the prefixes counted in a window.
	hotLimit = 1 << 14
	// coldDepth is the depth, in blocks, that stands for a prompt of which
	// nothing is known.
	coldDepth = 4
	// hotShare is the part of an endpoint's concurrency that one group should fill.
	hotShare = 0.5
)

// PrefixCounter counts the uses of prefixes over a sliding window.
type PrefixCounter struct {
	start             time.Duration
	current, previous map[uint64]float64
}

// PrefixUse is a prefix and how often it was used in the window.
type PrefixUse struct {
	ID    uint64
	Count float64
}

// NewPrefixCounter returns a counter without uses.
func NewPrefixCounter() *PrefixCounter {
	return &PrefixCounter{current: map[uint64]float64{}, previous: map[uint64]float64{}}
}

// depths lists the depths at which prefixes are counted, in blocks.
var depths = []int{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024}

// Record counts a prompt at each depth that it reaches.
func (h *PrefixCounter) Record(now time.Duration, chain []uint64) {
	h.turn(now)
	for _, d := range depths {
		if d > len(chain) {
			return
		}
		id := chain[d-1]
		if _, ok := h.current[id]; ok || len(h.current) < hotLimit {
			h.current[id]++
		}
	}
}

func (h *PrefixCounter) turn(now time.Duration) {
	switch age := now - h.start; {
	case age < hotWindow:
		return
	case age < 2*hotWindow:
		h.previous, h.current = h.current, map[uint64]float64{}
	default:
		h.previous, h.current = map[uint64]float64{}, map[uint64]float64{}
	}
	h.start = now
}

// Rate is the number of uses a second.
func (h *PrefixCounter) Rate(now time.Duration, id uint64) float64 {
	h.turn(now)
	part := float64(now-h.start) / float64(hotWindow)
	return (h.current[id] + (1-part)*h.previous[id]) / hotWindow.Seconds()
}

// Top returns the most used prefixes, at most n, the most used first.
func (h *PrefixCounter) Top(n int) []PrefixUse {
	list := make([]PrefixUse, 0, len(h.current))
	for _, id := range slices.Sorted(maps.Keys(h.current)) {
		if count := h.current[id] + h.previous[id]; count > 1 {
			list = append(list, PrefixUse{ID: id, Count: count})
		}
	}
	slices.SortStableFunc(list, func(a, b PrefixUse) int { return cmp.Compare(b.Count, a.Count) })
	return list[:min(n, len(list))]
}

// Group returns the block that stands for the prompt's shared part: the
// deepest counted one that is cached somewhere or was used before, so that
// prompts with a long common prefix agree and others don't.
func (h *PrefixCounter) Group(chain []uint64, cached int) uint64 {
	if len(chain) == 0 {
		return 0
	}
	depth := min(coldDepth, len(chain))
	for _, d := range depths {
		if d > len(chain) {
			break
		}
		id := chain[d-1]
		if d <= cached || h.current[id]+h.previous[id] > 0 {
			depth = max(depth, d)
		}
	}
	return chain[depth-1]
}

// Replicas is the number of endpoints that a group needs when its requests
// come at the rate and each stays for the given time.
func Replicas(rate float64, stay time.Duration, concurrent int) int {
	load := rate * stay.Seconds()
	return 1 + int(load/(hotShare*float64(max(concurrent, 1))))
}
