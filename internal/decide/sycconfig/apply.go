package sycconfig

import (
	"errors"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Result is the outcome of applying one record: its operation was accepted, or
// rejected for a reason.
type Result struct {
	// offset is the record's log offset.
	offset uint64
	// id, kind, name and verb are from the operation's envelope; empty if the record
	// could not be parsed.
	id   string
	kind sycrecord.Kind
	name string
	verb sycrecord.Verb
	// err is the reason for the rejection, nil if the operation was accepted.
	err error
}

// Offset returns the record's log offset.
func (r Result) Offset() uint64 { return r.offset }

// ID returns the operation's ID; empty if the record could not be parsed.
func (r Result) ID() string { return r.id }

// Kind returns the kind of the operation's object; empty if it could not be parsed.
func (r Result) Kind() sycrecord.Kind { return r.kind }

// Name returns the name of the operation's object; empty if it could not be parsed.
func (r Result) Name() string { return r.name }

// Verb returns what the operation does to its object; empty if it could not be parsed.
func (r Result) Verb() sycrecord.Verb { return r.verb }

// Accepted reports whether the operation changed the state.
func (r Result) Accepted() bool { return r.err == nil }

// Reason says why the operation was rejected; empty if it was accepted.
func (r Result) Reason() string {
	if r.err == nil {
		return ""
	}
	return r.err.Error()
}

// Err returns the reason for the rejection: *sycrecord.FaultsError, *sycrecord.SchemaError,
// *GenerationError, *RepeatedError, *StreamError, *ConflictError or
// *MissingError; nil if the operation was accepted.
func (r Result) Err() error { return r.err }

// Unreadable is an operation whose schema version is newer than
// sycrecord.NewestSchema, so that this program can't apply its spec.
type Unreadable struct {
	// kind, name and schema are from the operation's envelope.
	kind   sycrecord.Kind
	name   string
	schema int
	// offset is the record's log offset.
	offset uint64
	// data is the whole record. It is kept in snapshots, so that a newer program that
	// starts from one can apply the operation.
	data []byte
}

// Kind returns the kind of the operation's object.
func (u Unreadable) Kind() sycrecord.Kind { return u.kind }

// Name returns the name of the operation's object.
func (u Unreadable) Name() string { return u.name }

// Schema returns the operation's schema version.
func (u Unreadable) Schema() int { return u.schema }

// Offset returns the record's log offset.
func (u Unreadable) Offset() uint64 { return u.offset }

// Apply returns the state after the record at the given offset, which must be
// s.Next(), and the record's result. A rejected record only advances the offset. The
// receiver is unchanged.
func (s *State) Apply(offset uint64, data []byte) (*State, Result) {
	next := *s
	next.next = offset + 1
	next.recentIDs = s.recentIDs.expire(offset)
	change, err := sycrecord.Parse(data)
	op := change.Operation()
	result := Result{offset: offset, id: op.ID, kind: op.Kind, name: op.Name, verb: op.Verb}
	if first, repeated := next.recentIDs.offsetOf(op.ID); repeated {
		result.err = &RepeatedError{ID: op.ID, Offset: first}
		return &next, result
	}
	if op.ID != "" && len(op.ID) <= sycrecord.MaxID {
		next.recentIDs = next.recentIDs.add(offset, op.ID)
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

// apply changes the state by an operation of a supported schema version. If it
// returns an error, the operation is rejected and the state unchanged.
func (s *State) apply(offset uint64, change sycrecord.Change) error {
	op := change.Operation()
	if err := s.checkEnvelope(op); err != nil {
		return err
	}
	value, err := s.evaluate(change)
	if err != nil {
		return err
	}
	if err := s.checkConflicts(op, value); err != nil {
		return err
	}
	s.set(offset, op.Kind, op.Name, value)
	s.unreadable = s.unreadable.remove(unreadableKey(op.Kind, op.Name))
	return nil
}

// evaluate returns the value that an operation gives to its object. The value is nil
// for a delete.
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

// checkEnvelope checks that the operation belongs to this stream and expects the
// object's current generation. It needs no spec, so it also applies to operations of
// newer schema versions.
func (s *State) checkEnvelope(op sycrecord.Operation) error {
	if s.stream != "" && streamOf(op.Kind) != s.stream {
		return &StreamError{Kind: op.Kind, Stream: s.stream}
	}
	have := s.Generation(op.Kind, op.Name)
	if op.Expect != nil && *op.Expect != have {
		return &GenerationError{Have: have, Want: *op.Expect}
	}
	return nil
}

// applyUnreadable applies an operation of a newer schema version as far as possible:
// it increments the object's generation, as VMs with a newer program do, and keeps
// the object's value. It returns newer, unless the operation is rejected for another
// reason.
func (s *State) applyUnreadable(offset uint64, op sycrecord.Operation, data []byte, newer error) error {
	if err := s.checkEnvelope(op); err != nil {
		return err
	}
	if c := s.collection(op.Kind); c != nil {
		c.advance(offset, op.Name)
	}
	s.unreadable = s.unreadable.set(unreadableKey(op.Kind, op.Name), Unreadable{
		kind:   op.Kind,
		name:   op.Name,
		schema: op.Schema,
		offset: offset,
		data:   data,
	})
	return newer
}

// unreadableKey returns the key of an object in State.unreadable.
func unreadableKey(kind sycrecord.Kind, name string) string { return string(kind) + "/" + name }

// streamOf returns the stream that a kind belongs to. Kinds that this program
// doesn't know are assigned to the config stream.
func streamOf(kind sycrecord.Kind) string {
	switch kind {
	case sycrecord.KindHolder, sycrecord.KindLease, sycrecord.KindRollout:
		return SystemStream
	}
	return ConfigStream
}

// set gives an object its value, or deletes it if the value is nil, and updates the
// indices of keys and routes.
func (s *State) set(offset uint64, kind sycrecord.Kind, name string, value sycrecord.Value) {
	switch kind {
	case sycrecord.KindKey:
		s.indexKey(name, value)
	case sycrecord.KindRoute:
		s.indexRoute(name, value)
	}
	s.collection(kind).apply(offset, name, value)
}

// indexKey updates keysByHash for a key that is about to get the given value; nil
// deletes it.
func (s *State) indexKey(name string, value sycrecord.Value) {
	if old, ok := s.keys.get(name); ok {
		s.keysByHash = s.keysByHash.remove(old.value.SHA256())
	}
	if key, ok := value.(sycrecord.Key); ok {
		s.keysByHash = s.keysByHash.set(key.SHA256(), name)
	}
}

// indexRoute updates routesByPrefix and maxPrefixDepth for a route that is about to
// get the given value; nil deletes it.
func (s *State) indexRoute(name string, value sycrecord.Value) {
	if old, ok := s.routes.get(name); ok {
		s.routesByPrefix = s.routesByPrefix.remove(prefixKey(old.value))
	}
	if route, ok := value.(sycrecord.Route); ok {
		s.routesByPrefix = s.routesByPrefix.set(prefixKey(route), name)
		s.maxPrefixDepth = max(s.maxPrefixDepth, prefixDepth(route))
	}
}
