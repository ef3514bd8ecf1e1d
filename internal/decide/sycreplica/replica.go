// Package sycreplica holds soft state that VMs pass on to each other: the newest value of each
// key, in the order in which this VM learned them.
//
// Each change has a number on this VM. A peer tells the number up to which it has the changes,
// and gets those after it, so that nothing is sent twice over a connection that works and
// nothing is lost over one that doesn't.
package sycreplica

import (
	"container/list"
	"time"
)

// Entry is the newest value of a key.
type Entry[K comparable, V any] struct {
	Key   K
	Value V
	// Version orders the values of the key. Its origin counts it up.
	Version int64
	// Source is the VM that this VM has the value from, empty if it is its own.
	Source string
	// Change is the number of the change on this VM.
	Change int64
	// ExpiresAt is when the entry is dropped, 0 for never.
	ExpiresAt time.Duration
}

// node is an entry with its places in the lists of a replica.
type node[K comparable, V any] struct {
	Entry[K, V]
	// order and expiring are the places in the lists of these names. The latter is nil if the
	// entry doesn't expire.
	order, expiring *list.Element
}

// Replica holds the entries of one VM.
type Replica[K comparable, V any] struct {
	// nodes holds the entries by key.
	nodes map[K]*node[K, V]
	// order lists the entries, the latest change last, and expiring those of them that
	// expire.
	order, expiring *list.List
	// newest is the number of the latest change.
	newest int64
	// limit is the largest number of entries that expire. The oldest are dropped. Others
	// stay until their keys are dropped: a peer that starts needs all of them.
	limit int
}

// New returns an empty replica for at most the given number of entries that expire.
func New[K comparable, V any](limit int) *Replica[K, V] {
	return &Replica[K, V]{nodes: map[K]*node[K, V]{}, order: list.New(), expiring: list.New(), limit: limit}
}

// Newest returns the number of the latest change, 0 if there was none.
func (r *Replica[K, V]) Newest() int64 { return r.newest }

// Len returns the number of entries.
func (r *Replica[K, V]) Len() int { return len(r.nodes) }

// SetOwn sets the value of a key that originates on this VM. The number of the change is its
// version.
func (r *Replica[K, V]) SetOwn(key K, value V, expiresAt time.Duration) {
	r.put(Entry[K, V]{Key: key, Value: value, Version: r.newest + 1, ExpiresAt: expiresAt})
}

// Apply sets a value that came from another VM, the entry's Source, and reports whether it is
// newer than the one held. A value that is already held changes its source if a VM that is
// nearer to the origin sends it. That is a change, too: the peers that the former source was to
// tell may lack the value.
func (r *Replica[K, V]) Apply(entry Entry[K, V], nearer bool) bool {
	if held := r.nodes[entry.Key]; held != nil {
		if held.Version == entry.Version && nearer && held.Source != entry.Source {
			moved := held.Entry
			moved.Source = entry.Source
			r.put(moved)
		}
		if held.Version >= entry.Version {
			return false
		}
	}
	r.put(entry)
	return true
}

// put sets an entry as the latest change.
func (r *Replica[K, V]) put(entry Entry[K, V]) {
	r.newest++
	entry.Change = r.newest
	if former := r.nodes[entry.Key]; former != nil {
		r.remove(former)
	}
	n := &node[K, V]{Entry: entry}
	n.order = r.order.PushBack(n)
	r.nodes[entry.Key] = n
	if entry.ExpiresAt == 0 {
		return
	}
	n.expiring = r.expiring.PushBack(n)
	if r.expiring.Len() > r.limit {
		r.remove(nodeOf[K, V](r.expiring.Front()))
	}
}

// nodeOf returns the node at a place in a list.
func nodeOf[K comparable, V any](at *list.Element) *node[K, V] { return at.Value.(*node[K, V]) }

// Get returns the entry of a key, nil if there is none.
func (r *Replica[K, V]) Get(key K) *Entry[K, V] {
	if n := r.nodes[key]; n != nil {
		return &n.Entry
	}
	return nil
}

// Since returns the entries that changed after the change with a number, the oldest first.
// The caller doesn't modify them.
func (r *Replica[K, V]) Since(change int64) []*Entry[K, V] {
	var out []*Entry[K, V]
	at := r.order.Back()
	for at != nil && nodeOf[K, V](at).Change > change {
		at = at.Prev()
	}
	if at == nil {
		at = r.order.Front()
	} else {
		at = at.Next()
	}
	for ; at != nil; at = at.Next() {
		out = append(out, &nodeOf[K, V](at).Entry)
	}
	return out
}

// DropIf drops the entries for which the condition holds.
func (r *Replica[K, V]) DropIf(condition func(*Entry[K, V]) bool) { r.dropIf(r.order, condition) }

// Expire drops the entries whose time is over.
func (r *Replica[K, V]) Expire(now time.Duration) {
	r.dropIf(r.expiring, func(e *Entry[K, V]) bool { return now >= e.ExpiresAt })
}

// dropIf drops the entries of a list for which the condition holds.
func (r *Replica[K, V]) dropIf(entries *list.List, condition func(*Entry[K, V]) bool) {
	for at := entries.Front(); at != nil; {
		n := nodeOf[K, V](at)
		at = at.Next()
		if condition(&n.Entry) {
			r.remove(n)
		}
	}
}

// remove drops an entry.
func (r *Replica[K, V]) remove(n *node[K, V]) {
	r.order.Remove(n.order)
	if n.expiring != nil {
		r.expiring.Remove(n.expiring)
	}
	delete(r.nodes, n.Key)
}
