package sycconfig

import (
	"errors"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Result says what became of an operation.
type Result struct {
	offset uint64
	id     string
	kind   sycrecord.Kind
	name   string
	verb   sycrecord.Verb
	// err is nil exactly if the operation took effect.
	err error
}

// Offset is the operation's log offset.
func (r Result) Offset() uint64 { return r.offset }

// ID is the operation's id; empty if it could not be read.
func (r Result) ID() string { return r.id }

// Kind and name are those of the operation's object, as far as they could be read.
func (r Result) Kind() sycrecord.Kind { return r.kind }

// Name is the name of the operation's object.
func (r Result) Name() string { return r.name }

// Verb is what the operation does.
func (r Result) Verb() sycrecord.Verb { return r.verb }

// Accepted reports whether the operation took effect.
func (r Result) Accepted() bool { return r.err == nil }

// Reason says why the operation was refused; empty if it was not.
func (r Result) Reason() string {
	if r.err == nil {
		return ""
	}
	return r.err.Error()
}

// Err is the refusal: *sycrecord.FaultsError, *sycrecord.SchemaError,
// *GenerationError, *RepeatedError, *StreamError, *ConflictError or
// *MissingError; nil if the operation was accepted.
func (r Result) Err() error { return r.err }

// Unreadable is an operation of a newer schema version than the program's.
type Unreadable struct {
	kind   sycrecord.Kind
	name   string
	schema int
	offset uint64
	// data is the whole operation, for a newer program that starts from this
	// state's snapshot.
	data []byte
}

// Kind is the kind of the operation's object.
func (u Unreadable) Kind() sycrecord.Kind { return u.kind }

// Name is the name of the operation's object.
func (u Unreadable) Name() string { return u.name }

// Schema is the operation's schema version.
func (u Unreadable) Schema() int { return u.schema }

// Offset is the operation's log offset.
func (u Unreadable) Offset() uint64 { return u.offset }

// Apply folds the record at an offset, which must be Next. The state itself is
// unchanged; a refused record only advances the offset.
func (s *State) Apply(offset uint64, data []byte) (*State, Result) {
	next := *s
	next.next = offset + 1
	next.recent = s.recent.forget(offset)
	change, err := sycrecord.Parse(data)
	op := change.Operation()
	result := Result{offset: offset, id: op.ID, kind: op.Kind, name: op.Name, verb: op.Verb}
	if first, repeated := next.recent.find(op.ID); repeated {
		result.err = &RepeatedError{ID: op.ID, Offset: first}
		return &next, result
	}
	if op.ID != "" && len(op.ID) <= sycrecord.MaxID {
		next.recent = next.recent.with(offset, op.ID)
	}
	var newer *sycrecord.SchemaError
	switch {
	case errors.As(err, &newer):
		result.err = next.applyUnreadable(offset, op, data, newer)
	case err != nil:
		result.err = err
	default:
		result.err = next.apply(offset, change)
	}
	return &next, result
}

// apply changes the state or returns why not; then the state is as it was.
func (s *State) apply(offset uint64, change sycrecord.Change) error {
	op := change.Operation()
	if err := s.admit(op); err != nil {
		return err
	}
	value, err := s.evaluate(change)
	if err != nil {
		return err
	}
	if err := s.check(op, value); err != nil {
		return err
	}
	s.set(offset, op.Kind, op.Name, value)
	s.unreadable = s.unreadable.without(unreadableKey(op.Kind, op.Name))
	return nil
}

// evaluate returns the value that an operation gives to its object; nil for a
// delete.
func (s *State) evaluate(change sycrecord.Change) (sycrecord.Value, error) {
	op := change.Operation()
	if op.Verb != sycrecord.Merge {
		return change.Value(), nil
	}
	old := s.collection(op.Kind).value(op.Name)
	if old == nil {
		return nil, &MissingError{Kind: op.Kind, Name: op.Name}
	}
	return change.Merged(old)
}

// admit checks what can be judged from the envelope.
func (s *State) admit(op sycrecord.Operation) error {
	if s.stream != "" && streamOf(op.Kind) != s.stream {
		return &StreamError{Kind: op.Kind, Stream: s.stream}
	}
	have := s.Generation(op.Kind, op.Name)
	if op.Expect != nil && *op.Expect != have {
		return &GenerationError{Have: have, Want: *op.Expect}
	}
	return nil
}

// applyUnreadable counts the operation in its object's generation, as VMs that
// can read it do, and keeps the object's last value.
func (s *State) applyUnreadable(offset uint64, op sycrecord.Operation, data []byte, newer error) error {
	if err := s.admit(op); err != nil {
		return err
	}
	if c := s.collection(op.Kind); c != nil {
		c.advance(offset, op.Name)
	}
	s.unreadable = s.unreadable.with(unreadableKey(op.Kind, op.Name), Unreadable{
		kind:   op.Kind,
		name:   op.Name,
		schema: op.Schema,
		offset: offset,
		data:   data,
	})
	return newer
}

func unreadableKey(kind sycrecord.Kind, name string) string { return string(kind) + "/" + name }

// streamOf returns the stream that a kind belongs to. Kinds that the program
// does not know are taken to be the operators'.
func streamOf(kind sycrecord.Kind) string {
	switch kind {
	case sycrecord.KindHolder, sycrecord.KindLease, sycrecord.KindRollout:
		return SystemStream
	}
	return ConfigStream
}

// set gives an object its value, or deletes it where the value is nil, and
// keeps the indices.
func (s *State) set(offset uint64, kind sycrecord.Kind, name string, value sycrecord.Value) {
	switch kind {
	case sycrecord.KindKey:
		s.indexKey(name, value)
	case sycrecord.KindRoute:
		s.indexRoute(name, value)
	}
	s.collection(kind).apply(offset, name, value)
}

// indexKey keeps the index of hashes.
func (s *State) indexKey(name string, value sycrecord.Value) {
	if old, ok := s.keys.get(name); ok {
		s.hashes = s.hashes.without(old.value.SHA256())
	}
	if key, ok := value.(sycrecord.Key); ok {
		s.hashes = s.hashes.with(key.SHA256(), name)
	}
}

// indexRoute keeps the index of prefixes.
func (s *State) indexRoute(name string, value sycrecord.Value) {
	if old, ok := s.routes.get(name); ok {
		s.prefixes = s.prefixes.without(prefixKey(old.value))
	}
	if route, ok := value.(sycrecord.Route); ok {
		s.prefixes = s.prefixes.with(prefixKey(route), name)
		s.depth = max(s.depth, prefixDepth(route))
	}
}
