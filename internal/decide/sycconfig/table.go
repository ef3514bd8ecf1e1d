package sycconfig

import (
	"cmp"
	"iter"
	"slices"
)

// leafSize bounds the entries of a leaf: a change copies one leaf and the list
// of leaves.
const leafSize = 64

// table is an immutable ordered map. A change returns a new table that shares
// all but one leaf with the old one, so that old states stay valid at little cost.
type table[K cmp.Ordered, V any] struct {
	// leaves ascend and none is empty.
	leaves []*leaf[K, V]
	length int
}

// leaf holds entries; keys ascend and values are parallel to them.
type leaf[K cmp.Ordered, V any] struct {
	keys   []K
	values []V
}

// newTable returns the table of entries whose keys ascend.
func newTable[K cmp.Ordered, V any](keys []K, values []V) table[K, V] {
	t := table[K, V]{length: len(keys)}
	for at := 0; at < len(keys); at += leafSize {
		end := min(at+leafSize, len(keys))
		t.leaves = append(t.leaves, &leaf[K, V]{keys: keys[at:end:end], values: values[at:end:end]})
	}
	return t
}

// find returns the index of the leaf that holds or would hold a key.
func (t table[K, V]) find(key K) int {
	i, exact := slices.BinarySearchFunc(t.leaves, key, func(l *leaf[K, V], k K) int {
		return cmp.Compare(l.keys[0], k)
	})
	if exact || i == 0 {
		return i
	}
	return i - 1
}

func (t table[K, V]) get(key K) (V, bool) {
	var zero V
	if len(t.leaves) == 0 {
		return zero, false
	}
	l := t.leaves[t.find(key)]
	i, ok := slices.BinarySearch(l.keys, key)
	if !ok {
		return zero, false
	}
	return l.values[i], true
}

// with returns the table with a key set to a value.
func (t table[K, V]) with(key K, value V) table[K, V] {
	if len(t.leaves) == 0 {
		return table[K, V]{leaves: []*leaf[K, V]{{keys: []K{key}, values: []V{value}}}, length: 1}
	}
	at := t.find(key)
	old := t.leaves[at]
	i, exists := slices.BinarySearch(old.keys, key)
	changed := old.with(i, exists, key, value)
	leaves := make([]*leaf[K, V], 0, len(t.leaves)+1)
	leaves = append(leaves, t.leaves[:at]...)
	leaves = append(leaves, changed.split(at == len(t.leaves)-1)...)
	leaves = append(leaves, t.leaves[at+1:]...)
	if exists {
		return table[K, V]{leaves: leaves, length: t.length}
	}
	return table[K, V]{leaves: leaves, length: t.length + 1}
}

// without returns the table without a key.
func (t table[K, V]) without(key K) table[K, V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	at := t.find(key)
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

// all yields the entries in ascending order.
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

// with returns a copy of the leaf with an entry inserted at i, or replaced if
// the key exists there.
func (l *leaf[K, V]) with(i int, exists bool, key K, value V) *leaf[K, V] {
	changed := &leaf[K, V]{
		keys:   make([]K, 0, len(l.keys)+1),
		values: make([]V, 0, len(l.values)+1),
	}
	rest := i
	if exists {
		rest = i + 1
	}
	changed.keys = append(append(append(changed.keys, l.keys[:i]...), key), l.keys[rest:]...)
	changed.values = append(append(append(changed.values, l.values[:i]...), value), l.values[rest:]...)
	return changed
}

// split cuts a leaf that is too large in two. The last leaf of a table is cut
// at its end, so that ascending insertion fills leaves.
func (l *leaf[K, V]) split(last bool) []*leaf[K, V] {
	if len(l.keys) <= leafSize {
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
