package sycprefix

import "time"

// Match is how much of a prompt an engine is expected to hold, in blocks from
// the prompt's start.
type Match struct {
	// Depth counts confirmed and predicted blocks.
	Depth int
	// Confirmed is the part of Depth before the first prediction.
	Confirmed int
}

// Match searches the chain's longest prefix in the cache. It takes for granted
// that a block is held with all blocks before it and needs time in the
// logarithm of the chain; Verify checks every block.
func (c *Cache) Match(now time.Duration, chain []uint64) Match {
	return c.MatchWithHint(now, chain, 0)
}

// MatchWithHint is Match for a prefix that is likely as long as the hint, which
// saves most of the search where many caches hold the same prefix.
func (c *Cache) MatchWithHint(now time.Duration, chain []uint64, hint int) Match {
	stamp := stampAt(now)
	held := func(b uint64) bool { return c.holds(b, stamp, true) }
	depth, ok := hinted(chain, hint, held)
	if !ok {
		depth = prefixLen(chain, held)
	}
	if depth == 0 || !c.synced {
		return Match{Depth: depth}
	}
	if c.holds(chain[depth-1], stamp, false) {
		return Match{Depth: depth, Confirmed: depth}
	}
	confirmed := prefixLen(chain[:depth], func(b uint64) bool { return c.holds(b, stamp, false) })
	return Match{Depth: depth, Confirmed: confirmed}
}

// hinted reports whether the held prefix is exactly as long as the hint.
func hinted(chain []uint64, hint int, held func(uint64) bool) (int, bool) {
	if hint <= 0 || hint > len(chain) || !held(chain[0]) {
		return 0, false
	}
	if !held(chain[hint-1]) || (hint < len(chain) && held(chain[hint])) {
		return 0, false
	}
	return hint, true
}

// Verify looks every block of a match up and returns what is left of it.
func (c *Cache) Verify(now time.Duration, chain []uint64, m Match) Match {
	stamp := stampAt(now)
	for i, b := range chain[:m.Depth] {
		if !c.holds(b, stamp, true) {
			return Match{Depth: i, Confirmed: min(i, m.Confirmed)}
		}
		if i < m.Confirmed && !c.holds(b, stamp, false) {
			m.Confirmed = i
		}
	}
	return m
}

func (c *Cache) holds(block uint64, stamp uint16, predicted bool) bool {
	slot := c.table.get(block)
	if slot == 0 || c.expired(slot, stamp) {
		return false
	}
	return predicted || !slotPredicted(slot)
}

// prefixLen returns the number of leading blocks that are held: doubling steps
// from the start, then bisection.
func prefixLen(chain []uint64, held func(uint64) bool) int {
	low, high := 0, 1
	for high <= len(chain) && held(chain[high-1]) {
		low, high = high, 2*high
	}
	high = min(high, len(chain)+1)
	for low+1 < high {
		middle := (low + high) / 2
		if held(chain[middle-1]) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
