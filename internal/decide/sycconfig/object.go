package sycconfig

import (
	"iter"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Object is the current value of one object, such as a customer or a route, with
// its generation.
type Object[T any] struct {
	value T
	// generation counts the accepted operations on the object.
	generation uint64
	// offset is the log offset of the last accepted operation.
	offset uint64
	// deleted marks a tombstone of a deleted object. It has no value but keeps the
	// generation, so that an operation that expects an older one is rejected.
	deleted bool
}

// Value returns the object's value.
func (o Object[T]) Value() T { return o.value }

// Generation returns the number of accepted operations on the object, from 1. It
// continues from the old number when an object is deleted and put again.
func (o Object[T]) Generation() uint64 { return o.generation }

// Offset returns the log offset of the last accepted operation on the object.
func (o Object[T]) Offset() uint64 { return o.offset }

// collection gives access to the objects of one kind without their value type;
// *objects implements it.
type collection interface {
	// generation returns an object's generation, 0 if the object never existed.
	generation(name string) uint64
	// exists reports whether an object exists and isn't deleted.
	exists(name string) bool
	// value returns an object's value, nil if the object doesn't exist.
	value(name string) sycrecord.Value
	// apply sets an object's value, or deletes it if the value is nil, by the operation
	// at an offset.
	apply(offset uint64, name string, value sycrecord.Value)
	// advance increments an object's generation for an operation at an offset whose
	// spec can't be read.
	advance(offset uint64, name string)
	// setGeneration overrides an object's generation.
	setGeneration(name string, generation uint64)
	// appendWire appends the snapshot entries of all objects and tombstones to list,
	// ordered by name.
	appendWire(list []wireObject, kind sycrecord.Kind) ([]wireObject, error)
	// load fills an empty collection with the objects of a snapshot.
	load(list []wireObject) error
}

// objects holds the objects of one kind, whose values have the type T, and the
// tombstones of deleted ones.
type objects[T sycrecord.Value] struct {
	// table maps names to objects and tombstones.
	table table[string, Object[T]]
	// live counts the objects that are not deleted.
	live int
}

// get returns an object that exists and isn't deleted.
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

// exists implements collection.
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

// apply implements collection.
func (m *objects[T]) apply(offset uint64, name string, value sycrecord.Value) {
	typed, put := value.(T)
	m.replace(name, Object[T]{
		value:      typed,
		generation: m.generation(name) + 1,
		offset:     offset,
		deleted:    !put,
	})
}

// advance implements collection.
func (m *objects[T]) advance(offset uint64, name string) {
	o, ok := m.table.get(name)
	o.generation++
	o.offset = offset
	o.deleted = o.deleted || !ok
	m.replace(name, o)
}

// setGeneration implements collection.
func (m *objects[T]) setGeneration(name string, generation uint64) {
	o, _ := m.table.get(name)
	o.generation = generation
	m.replace(name, o)
}

// replace sets an object or tombstone and keeps live up to date.
func (m *objects[T]) replace(name string, o Object[T]) {
	if m.exists(name) {
		m.live--
	}
	if !o.deleted {
		m.live++
	}
	m.table = m.table.set(name, o)
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
