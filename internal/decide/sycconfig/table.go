package sycconfig

import (
	"cmp"
	"iter"
	"slices"
)

// maxLeafEntries limits the entries of a leaf, because every change of a table copies
// one leaf and the list of leaves.
const maxLeafEntries = 64

// table is an immutable ordered map. A change returns a new table that shares all but
// one leaf with the old table, so that old states stay valid at little cost.
type table[K cmp.Ordered, V any] struct {
	// leaves holds the entries by ascending key; no leaf is empty.
	leaves []*leaf[K, V]
	// length is the number of entries.
	length int
}

// leaf holds a range of a table's entries: ascending keys, and the value of keys[i]
// in values[i].
type leaf[K cmp.Ordered, V any] struct {
	keys   []K
	values []V
}

// newTable returns a table with the given keys, which must ascend, and their values.
func newTable[K cmp.Ordered, V any](keys []K, values []V) table[K, V] {
	t := table[K, V]{length: len(keys)}
	for at := 0; at < len(keys); at += maxLeafEntries {
		end := min(at+maxLeafEntries, len(keys))
		t.leaves = append(t.leaves, &leaf[K, V]{keys: keys[at:end:end], values: values[at:end:end]})
	}
	return t
}

// leafIndex returns the index of the leaf that holds a key, or that the key would be
// inserted into.
func (t table[K, V]) leafIndex(key K) int {
	i, exact := slices.BinarySearchFunc(t.leaves, key, func(l *leaf[K, V], k K) int {
		return cmp.Compare(l.keys[0], k)
	})
	if exact || i == 0 {
		return i
	}
	return i - 1
}

// get returns the value of a key.
func (t table[K, V]) get(key K) (V, bool) {
	var zero V
	if len(t.leaves) == 0 {
		return zero, false
	}
	l := t.leaves[t.leafIndex(key)]
	i, ok := slices.BinarySearch(l.keys, key)
	if !ok {
		return zero, false
	}
	return l.values[i], true
}

// set returns a table in which the key has the given value.
func (t table[K, V]) set(key K, value V) table[K, V] {
	if len(t.leaves) == 0 {
		return table[K, V]{leaves: []*leaf[K, V]{{keys: []K{key}, values: []V{value}}}, length: 1}
	}
	at := t.leafIndex(key)
	old := t.leaves[at]
	i, exists := slices.BinarySearch(old.keys, key)
	changed := old.set(i, exists, key, value)
	leaves := make([]*leaf[K, V], 0, len(t.leaves)+1)
	leaves = append(leaves, t.leaves[:at]...)
	leaves = append(leaves, changed.split(at == len(t.leaves)-1)...)
	leaves = append(leaves, t.leaves[at+1:]...)
	if exists {
		return table[K, V]{leaves: leaves, length: t.length}
	}
	return table[K, V]{leaves: leaves, length: t.length + 1}
}

// remove returns a table without the key.
func (t table[K, V]) remove(key K) table[K, V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	at := t.leafIndex(key)
	old := t.leaves[at]
	i, _ := slices.BinarySearch(old.keys, key)
	leaves := slices.Clone(t.leaves)
	if len(old.keys) == 1 {
		leaves = slices.Delete(leaves, at, at+1)
	} else {
		leaves[at] = &leaf[K, V]{
			keys:   slices.Delete(slices.Clone(old.keys), i, i+1),
			values: slices.Delete(slices.Clone(old.values), i, i+1),
		}
	}
	return table[K, V]{leaves: leaves, length: t.length - 1}
}

// all yields the entries by ascending key.
func (t table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, l := range t.leaves {
			for i, key := range l.keys {
				if !yield(key, l.values[i]) {
					return
				}
			}
		}
	}
}

// set returns a copy of the leaf with the given entry at index i. It replaces the
// entry there if exists is set, and is inserted otherwise.
func (l *leaf[K, V]) set(i int, exists bool, key K, value V) *leaf[K, V] {
	changed := &leaf[K, V]{
		keys:   make([]K, 0, len(l.keys)+1),
		values: make([]V, 0, len(l.values)+1),
	}
	after := i
	if exists {
		after = i + 1
	}
	changed.keys = append(append(append(changed.keys, l.keys[:i]...), key), l.keys[after:]...)
	changed.values = append(append(append(changed.values, l.values[:i]...), value), l.values[after:]...)
	return changed
}

// split cuts a leaf of more than maxLeafEntries entries in two. It cuts the table's
// last leaf before its last entry, not in the middle, so that inserting keys in
// ascending order leaves full leaves.
func (l *leaf[K, V]) split(last bool) []*leaf[K, V] {
	if len(l.keys) <= maxLeafEntries {
		return []*leaf[K, V]{l}
	}
	cut := len(l.keys) / 2
	if last {
		cut = len(l.keys) - 1
	}
	return []*leaf[K, V]{
		{keys: l.keys[:cut:cut], values: l.values[:cut:cut]},
		{keys: l.keys[cut:], values: l.values[cut:]},
	}
}
