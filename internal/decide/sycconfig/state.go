// Package sycconfig folds the operations of the config and system streams into
// the state that every VM acts on. Folding the same records in the same order
// gives the same state everywhere.
package sycconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Object is the last accepted value of a record.
type Object[T any] struct {
	value      T
	generation uint64
	offset     uint64
}

// Value is the object's record.
func (o Object[T]) Value() T { return o.value }

// Generation counts the accepted operations on the object, from 1.
func (o Object[T]) Generation() uint64 { return o.generation }

// Offset is the log offset of the last accepted operation.
func (o Object[T]) Offset() uint64 { return o.offset }

// State is the immutable result of folding a prefix of a stream.
type State struct {
	// next is the offset after the last applied record; it never decreases
	// from one published state to its successor.
	next      uint64
	customers map[string]Object[sycrecord.Customer]
	keys      map[string]Object[sycrecord.Key]
	owners    map[string]string
	routes    map[string]Object[sycrecord.Route]
	endpoints map[string]Object[sycrecord.Endpoint]
	versions  map[string]Object[sycrecord.Version]
	slots     map[string]Object[sycrecord.Slots]
	holders   map[string]Object[sycrecord.Holder]
	leases    map[string]Object[sycrecord.Lease]
	rollouts  map[string]Object[sycrecord.Rollout]
}

// Result says what became of an operation.
type Result struct {
	offset   uint64
	id       string
	accepted bool
	reason   string
}

// Offset is the operation's log offset.
func (r Result) Offset() uint64 { return r.offset }

// ID is the operation's id.
func (r Result) ID() string { return r.id }

// Accepted reports whether the operation took effect.
func (r Result) Accepted() bool { return r.accepted }

// Reason says why the operation was refused.
func (r Result) Reason() string { return r.reason }

// NewState returns the state before the first record.
func NewState() *State {
	return &State{}
}

// NewStream returns the state before the first record of the named stream.
func NewStream(string) *State {
	return &State{}
}

// Next is the offset after the last applied record.
func (s *State) Next() uint64 { return s.next }

// Customer returns a customer by name.
func (s *State) Customer(name string) (Object[sycrecord.Customer], bool) {
	o, ok := s.customers[name]
	return o, ok
}

// Owner returns the customer whose key has the given SHA-256 in lower-case
// hexadecimal; withdrawn keys have no owner.
func (s *State) Owner(sha256 string) (string, bool) {
	name, ok := s.owners[sha256]
	return name, ok
}

// Route returns the route with the longest prefix of the path.
func (s *State) Route(path string) (Object[sycrecord.Route], bool) {
	var best Object[sycrecord.Route]
	found := false
	for _, o := range s.routes {
		p := o.value.Prefix()
		if !strings.HasPrefix(path, p) {
			continue
		}
		if !found || len(p) > len(best.value.Prefix()) {
			best, found = o, true
		}
	}
	return best, found
}

// Endpoints returns all endpoints, ordered by name.
func (s *State) Endpoints() []Object[sycrecord.Endpoint] { return sorted(s.endpoints) }

// Endpoint returns an endpoint by name.
func (s *State) Endpoint(name string) (Object[sycrecord.Endpoint], bool) {
	o, ok := s.endpoints[name]
	return o, ok
}

// Versions returns all versions, ordered by name.
func (s *State) Versions() []Object[sycrecord.Version] { return sorted(s.versions) }

// Slots returns the slot tables, ordered by failure domain.
func (s *State) Slots() []Object[sycrecord.Slots] { return sorted(s.slots) }

// Holder returns the VM that took a slot over, if one did.
func (s *State) Holder(slot string) (Object[sycrecord.Holder], bool) {
	o, ok := s.holders[slot]
	return o, ok
}

// Lease returns a lease by name.
func (s *State) Lease(name string) (Object[sycrecord.Lease], bool) {
	o, ok := s.leases[name]
	return o, ok
}

// Rollout returns the recorded progress of a version's rollout.
func (s *State) Rollout(version string) (Object[sycrecord.Rollout], bool) {
	o, ok := s.rollouts[version]
	return o, ok
}

// Rollouts returns the progress of all rollouts, ordered by version.
func (s *State) Rollouts() []Object[sycrecord.Rollout] { return sorted(s.rollouts) }

func sorted[T any](objects map[string]Object[T]) []Object[T] {
	list := make([]Object[T], 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[name])
	}
	return list
}

// Apply folds the record at an offset, which must be Next. The state itself is
// unchanged; a refused record only advances the offset.
func (s *State) Apply(offset uint64, data []byte) (*State, Result) {
	next := *s
	next.next = offset + 1
	var op sycrecord.Operation
	if err := json.Unmarshal(data, &op); err != nil {
		return &next, Result{offset: offset, reason: err.Error()}
	}
	result := Result{offset: offset, id: op.ID}
	if err := next.apply(offset, op); err != nil {
		result.reason = err.Error()
		return &next, result
	}
	result.accepted = true
	return &next, result
}

func (s *State) apply(offset uint64, op sycrecord.Operation) error {
	switch op.Kind {
	case sycrecord.KindCustomer:
		return put(&s.customers, offset, op, sycrecord.NewCustomer)
	case sycrecord.KindKey:
		err := put(&s.keys, offset, op, sycrecord.NewKey)
		s.owners = owners(s.keys)
		return err
	case sycrecord.KindRoute:
		return put(&s.routes, offset, op, sycrecord.NewRoute)
	case sycrecord.KindEndpoint:
		return put(&s.endpoints, offset, op, sycrecord.NewEndpoint)
	case sycrecord.KindVersion:
		return put(&s.versions, offset, op, sycrecord.NewVersion)
	case sycrecord.KindSlots:
		return put(&s.slots, offset, op, sycrecord.NewSlots)
	case sycrecord.KindHolder:
		return put(&s.holders, offset, op, sycrecord.NewHolder)
	case sycrecord.KindLease:
		return put(&s.leases, offset, op, sycrecord.NewLease)
	case sycrecord.KindRollout:
		return put(&s.rollouts, offset, op, sycrecord.NewRollout)
	}
	return eris.Errorf("kind %q is unknown", op.Kind)
}

func put[F, T any](objects *map[string]Object[T], offset uint64, op sycrecord.Operation, build func(string, F) T) error {
	old := (*objects)[op.Name]
	if op.Expect != nil && *op.Expect != old.generation {
		return eris.Errorf("generation is %d, not %d", old.generation, *op.Expect)
	}
	changed := maps.Clone(*objects)
	if changed == nil {
		changed = map[string]Object[T]{}
	}
	*objects = changed
	if op.Verb == sycrecord.Delete {
		delete(changed, op.Name)
		return nil
	}
	var fields F
	if err := json.Unmarshal(op.Spec, &fields); err != nil {
		return eris.Wrap(err, "spec")
	}
	changed[op.Name] = Object[T]{
		value:      build(op.Name, fields),
		generation: old.generation + 1,
		offset:     offset,
	}
	return nil
}

func owners(keys map[string]Object[sycrecord.Key]) map[string]string {
	m := make(map[string]string, len(keys))
	for _, o := range keys {
		if !o.value.Withdrawn() {
			m[o.value.SHA256()] = o.value.Customer()
		}
	}
	return m
}
