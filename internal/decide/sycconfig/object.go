package sycconfig

import (
	"iter"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Object is the last accepted value of a record.
type Object[T any] struct {
	value      T
	generation uint64
	offset     uint64
	// deleted marks a tombstone: it keeps the generation, so that an operation
	// that expects a former one is refused, and has no value.
	deleted bool
}

// Value is the object's record.
func (o Object[T]) Value() T { return o.value }

// Generation counts the accepted operations on the object, from 1. It goes on
// counting when an object is deleted and put again.
func (o Object[T]) Generation() uint64 { return o.generation }

// Offset is the log offset of the last accepted operation.
func (o Object[T]) Offset() uint64 { return o.offset }

// objects holds the objects of one kind with their tombstones.
type objects[T sycrecord.Value] struct {
	table table[string, Object[T]]
	// live counts the objects that are not deleted.
	live int
}

func (m objects[T]) get(name string) (Object[T], bool) {
	o, ok := m.table.get(name)
	if o.deleted {
		return Object[T]{}, false
	}
	return o, ok
}

// generation is 0 for an object that never was.
func (m objects[T]) generation(name string) uint64 {
	o, _ := m.table.get(name)
	return o.generation
}

// exists reports whether the object is there and not deleted.
func (m objects[T]) exists(name string) bool {
	_, ok := m.get(name)
	return ok
}

// apply sets or deletes an object. The value is nil exactly for a delete.
func (m objects[T]) apply(offset uint64, name string, value sycrecord.Value) objects[T] {
	next := Object[T]{generation: m.generation(name) + 1, offset: offset}
	existed := m.exists(name)
	typed, ok := value.(T)
	next.value = typed
	next.deleted = !ok
	m.table = m.table.with(name, next)
	if existed && !ok {
		m.live--
	}
	if !existed && ok {
		m.live++
	}
	return m
}

// advance counts an operation whose content cannot be read.
func (m objects[T]) advance(offset uint64, name string) objects[T] {
	o, ok := m.table.get(name)
	o.generation++
	o.offset = offset
	o.deleted = o.deleted || !ok
	m.table = m.table.with(name, o)
	return m
}

// all yields the objects that are not deleted, ordered by name.
func (m objects[T]) all() iter.Seq2[string, Object[T]] {
	return func(yield func(string, Object[T]) bool) {
		for name, o := range m.table.all() {
			if !o.deleted && !yield(name, o) {
				return
			}
		}
	}
}

// list returns the objects that are not deleted, ordered by name.
func (m objects[T]) list() []Object[T] {
	list := make([]Object[T], 0, m.live)
	for _, o := range m.all() {
		list = append(list, o)
	}
	return list
}
