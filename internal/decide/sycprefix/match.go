package sycprefix

import "time"

// Match is the length of a prompt's prefix that an engine is believed to have cached,
// in blocks.
type Match struct {
	// Depth is the length of the prefix of confirmed and predicted blocks.
	Depth int
	// Confirmed is the length of the prefix before the first predicted block; 0 while
	// the cache isn't synced.
	Confirmed int
}

// Match returns the chain's longest cached prefix. It assumes that a cached block's
// predecessors are cached too, so that it takes logarithmic time. Verify checks every
// block.
func (c *Cache) Match(now time.Duration, chain []uint64) Match {
	return c.MatchWithHint(now, chain, 0)
}

// MatchWithHint is Match with a guess of the prefix length in blocks. A correct hint
// saves the search, as when many engines have cached the same prefix.
func (c *Cache) MatchWithHint(now time.Duration, chain []uint64, hint int) Match {
	stamp := stampAt(now)
	cached := func(b uint64) bool { return c.has(b, stamp, true) }
	depth, ok := checkHint(chain, hint, cached)
	if !ok {
		depth = prefixLen(chain, cached)
	}
	if depth == 0 || !c.synced {
		return Match{Depth: depth}
	}
	if c.has(chain[depth-1], stamp, false) {
		return Match{Depth: depth, Confirmed: depth}
	}
	confirmed := prefixLen(chain[:depth], func(b uint64) bool { return c.has(b, stamp, false) })
	return Match{Depth: depth, Confirmed: confirmed}
}

// checkHint returns the hint and true if the cached prefix is exactly that long.
func checkHint(chain []uint64, hint int, cached func(uint64) bool) (int, bool) {
	if hint <= 0 || hint > len(chain) || !cached(chain[0]) {
		return 0, false
	}
	if !cached(chain[hint-1]) || (hint < len(chain) && cached(chain[hint])) {
		return 0, false
	}
	return hint, true
}

// Verify looks up every block of a match and returns the match up to the first block
// that isn't cached.
func (c *Cache) Verify(now time.Duration, chain []uint64, m Match) Match {
	stamp := stampAt(now)
	for i, b := range chain[:m.Depth] {
		if !c.has(b, stamp, true) {
			return Match{Depth: i, Confirmed: min(i, m.Confirmed)}
		}
		if i < m.Confirmed && !c.has(b, stamp, false) {
			m.Confirmed = i
		}
	}
	return m
}

// has reports whether a block has an entry that has not expired. Predicted entries
// count only if predicted is true.
func (c *Cache) has(block uint64, stamp uint16, predicted bool) bool {
	slot := c.table.get(block)
	if slot == 0 || c.expired(slot, stamp) {
		return false
	}
	return predicted || !slotPredicted(slot)
}

// prefixLen returns the number of leading blocks that are cached. It doubles the
// length until a block isn't cached, and then bisects.
func prefixLen(chain []uint64, cached func(uint64) bool) int {
	low, high := 0, 1
	for high <= len(chain) && cached(chain[high-1]) {
		low, high = high, 2*high
	}
	high = min(high, len(chain)+1)
	for low+1 < high {
		middle := (low + high) / 2
		if cached(chain[middle-1]) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
