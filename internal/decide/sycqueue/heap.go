package sycqueue

import "cmp"

// heap is a binary min-heap of one customer's entries, ordered by rank, then by
// arrival. It keeps each entry's index up to date.
type heap[T any] struct {
	// entries is the heap in array form. The children of index i are at 2i+1 and
	// 2i+2.
	entries []*Entry[T]
}

// len returns the number of entries.
func (h *heap[T]) len() int { return len(h.entries) }

// first returns up to n entries from the start of the heap's array. Only the first
// one is certain to be the least.
func (h *heap[T]) first(n int) []*Entry[T] {
	return append([]*Entry[T](nil), h.entries[:min(n, len(h.entries))]...)
}

// newest returns the entry that arrived last. The heap must not be empty.
func (h *heap[T]) newest() *Entry[T] {
	newest := h.entries[0]
	for _, e := range h.entries {
		if e.arrived > newest.arrived || (e.arrived == newest.arrived && e.rank >= newest.rank) {
			newest = e
		}
	}
	return newest
}

// push adds an entry.
func (h *heap[T]) push(e *Entry[T]) {
	e.index = len(h.entries)
	h.entries = append(h.entries, e)
	h.up(e.index)
}

// remove removes an entry, which must be in the heap.
func (h *heap[T]) remove(e *Entry[T]) {
	i := e.index
	last := len(h.entries) - 1
	h.swap(i, last)
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.index = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// less reports whether the entry at index i comes before the one at index j.
func (h *heap[T]) less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c < 0
	}
	return a.arrived < b.arrived
}

// swap exchanges the entries at indexes i and j.
func (h *heap[T]) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index = i
	h.entries[j].index = j
}

// up moves the entry at index i towards the root until its parent is not greater.
func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the entry at index i away from the root until no child is less.
func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.entries) {
			return
		}
		if child+1 < len(h.entries) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
