package sycdispatch

import "time"

const (
	// minAnnouncedBlocks is the size, in blocks to compute, from which on a prefill
	// is announced to other VMs.
	minAnnouncedBlocks = 16
	// markedDepthsPerDoubling is the number of marked depths from a depth up to its
	// double. Marked depths are the numbers of leading blocks for which digests hold
	// a chain's hash. Leaving out the other hashes keeps digests small.
	markedDepthsPerDoubling = 4
	// firstMarkedDepth is the smallest marked depth, in blocks.
	firstMarkedDepth = 4
	// urgentPrefillBlocks is the size of a prefill, in blocks to compute, from which
	// on this VM sends its digest at once.
	urgentPrefillBlocks = 64
)

// RunningPrefill describes a prefill that an endpoint is running, so that other VMs
// can wait for its blocks instead of computing them again.
type RunningPrefill struct {
	// Marks holds the hashes of the prompt's chain at the marked depths beyond the
	// blocks that were cached or imported.
	Marks []uint64
	// Left is the expected time until the prefill ends.
	Left time.Duration
}

// peerPrefill is a prefill that another VM has started, as stored for one of its
// block hashes.
type peerPrefill struct {
	// from names the VM that started the prefill.
	from string
	// until is when the prefill is expected to end.
	until time.Duration
}

// nextMarkedDepth returns the smallest marked depth that is greater than depth. The
// marked depths are 4, 5, 6, 7, 8, 10, 12, 14, 16, 20 and so on.
func nextMarkedDepth(depth int) int {
	mark, step := firstMarkedDepth, firstMarkedDepth/markedDepthsPerDoubling
	for mark <= depth {
		mark += step
		if mark >= 2*markedDepthsPerDoubling*step {
			step *= 2
		}
	}
	return mark
}

// markedHashes returns the hashes of a chain at the marked depths beyond its first
// cached blocks.
func markedHashes(chain []uint64, cached int) []uint64 {
	var list []uint64
	for depth := nextMarkedDepth(cached); depth <= len(chain); depth = nextMarkedDepth(depth) {
		list = append(list, chain[depth-1])
	}
	return list
}

// announcedPrefills lists the prefills that this VM has running on the endpoint and
// that are long enough to be announced to other VMs.
func (e *endpoint) announcedPrefills(now time.Duration) []RunningPrefill {
	var list []RunningPrefill
	for _, a := range e.attempts {
		cached := a.cachedBlocks + a.importedBlocks
		if a.prefilled || len(a.option.Chain)-cached < minAnnouncedBlocks {
			continue
		}
		list = append(list, RunningPrefill{
			Marks: markedHashes(a.option.Chain, cached),
			Left:  a.remainingTime(now),
		})
	}
	return list
}

// addPeerPrefills records the prefills that another VM announced at the given time.
func (e *endpoint) addPeerPrefills(from string, at time.Duration, list []RunningPrefill) {
	for _, c := range list {
		for _, block := range c.Marks {
			if until := at + c.Left; until > e.peerPrefills[block].until {
				e.peerPrefills[block] = peerPrefill{from: from, until: until}
			}
		}
	}
}

// removePeerPrefills removes prefills that a VM announced in an earlier digest.
func (e *endpoint) removePeerPrefills(from string, list []RunningPrefill) {
	for _, c := range list {
		for _, block := range c.Marks {
			if e.peerPrefills[block].from == from {
				delete(e.peerPrefills, block)
			}
		}
	}
}

// runningPrefill looks for a running prefill, of this VM or another, that covers
// more of the chain than the depth in blocks that is already cached. It returns the
// number of blocks covered and the expected time until the prefill ends, or zeros if
// there is none.
func (e *endpoint) runningPrefill(now time.Duration, chain []uint64, depth int) (int, time.Duration) {
	most, wait := depth, time.Duration(0)
	for _, a := range e.attempts {
		if a.prefilled || len(a.option.Chain) <= most || len(chain) <= most {
			continue
		}
		if n := commonPrefix(a.option.Chain, chain); n > most {
			most, wait = n, a.remainingTime(now)
		}
	}
	if len(e.peerPrefills) > 0 {
		most, wait = e.peerPrefillCovering(now, chain, most, wait)
	}
	if most == depth {
		return 0, 0
	}
	return most, wait
}

// peerPrefillCovering returns the longest part of the chain, beyond most blocks,
// that another VM's running prefill covers, and the expected time until that prefill
// ends. It returns most and wait unchanged if there is none.
func (e *endpoint) peerPrefillCovering(now time.Duration, chain []uint64, most int, wait time.Duration) (int, time.Duration) {
	for depth := nextMarkedDepth(most); depth <= len(chain); depth = nextMarkedDepth(depth) {
		c, ok := e.peerPrefills[chain[depth-1]]
		if !ok {
			break
		}
		if c.until > now {
			most, wait = depth, c.until-now
		}
	}
	return most, wait
}
