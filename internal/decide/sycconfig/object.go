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

// collection is the part of objects that does not depend on the kind.
type collection interface {
	// generation is 0 for an object that never was.
	generation(name string) uint64
	exists(name string) bool
	// value is nil if the object does not exist.
	value(name string) sycrecord.Value
	apply(offset uint64, name string, value sycrecord.Value)
	advance(offset uint64, name string)
	setGeneration(name string, generation uint64)
	appendWire(list []wireObject, kind sycrecord.Kind) ([]wireObject, error)
	// load replaces all objects by those of a snapshot.
	load(list []wireObject) error
}

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

// generation implements collection.
func (m objects[T]) generation(name string) uint64 {
	o, _ := m.table.get(name)
	return o.generation
}

// exists reports whether the object is there and not deleted.
func (m objects[T]) exists(name string) bool {
	_, ok := m.get(name)
	return ok
}

// value implements collection.
func (m objects[T]) value(name string) sycrecord.Value {
	o, ok := m.get(name)
	if !ok {
		return nil
	}
	return o.value
}

// apply sets or deletes an object. The value is nil exactly for a delete.
func (m *objects[T]) apply(offset uint64, name string, value sycrecord.Value) {
	typed, put := value.(T)
	m.replace(name, Object[T]{
		value:      typed,
		generation: m.generation(name) + 1,
		offset:     offset,
		deleted:    !put,
	})
}

// advance counts an operation whose content cannot be read.
func (m *objects[T]) advance(offset uint64, name string) {
	o, ok := m.table.get(name)
	o.generation++
	o.offset = offset
	o.deleted = o.deleted || !ok
	m.replace(name, o)
}

// setGeneration overrides the count of an object's operations.
func (m *objects[T]) setGeneration(name string, generation uint64) {
	o, _ := m.table.get(name)
	o.generation = generation
	m.replace(name, o)
}

func (m *objects[T]) replace(name string, o Object[T]) {
	if m.exists(name) {
		m.live--
	}
	if !o.deleted {
		m.live++
	}
	m.table = m.table.with(name, o)
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
