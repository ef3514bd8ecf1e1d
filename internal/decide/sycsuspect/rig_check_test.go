package sycsuspect_test

import "time"

// inTouch reports whether a VM has been neither cut off nor started for a window.
func (r *rig) inTouch(vm int) bool {
	cut := vm == 1 && r.now >= r.cutFrom && r.now < r.cutUntil+window
	started := vm%2 == 0 && r.restart > 0 && r.now >= r.restart && r.now < r.restart+window
	return !cut && !started
}

// lateSends counts the sends with a deadly block later than a window after the fifth end of an
// engine by it, or the third by a request that is repeated, and returns the most of any block.
func (r *rig) lateSends() int {
	most, allowed := 0, 5
	if r.same {
		allowed = 3
	}
	for block, ends := range r.crashes {
		if len(ends) < allowed {
			continue
		}
		n := 0
		for _, at := range r.deadlySends[block] {
			if at > ends[allowed-1]+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// count returns the number of times in all lists.
func count(lists map[uint64][]time.Duration) int {
	n := 0
	for _, list := range lists {
		n += len(list)
	}
	return n
}
