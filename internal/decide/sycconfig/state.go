// Package sycconfig folds the operations of the config and system streams into
// the state that every VM acts on. Folding the same records in the same order
// gives the same state everywhere.
package sycconfig

import (
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Names of the streams that are folded.
const (
	ConfigStream = "config"
	SystemStream = "system"
)

// State is the immutable result of folding a prefix of a stream.
type State struct {
	// stream is the name of the stream; empty takes the kinds of all streams.
	stream string
	// next is the offset after the last applied record; it never decreases
	// from one published state to its successor.
	next      uint64
	customers objects[sycrecord.Customer]
	keys      objects[sycrecord.Key]
	routes    objects[sycrecord.Route]
	endpoints objects[sycrecord.Endpoint]
	versions  objects[sycrecord.Version]
	slots     objects[sycrecord.Slots]
	holders   objects[sycrecord.Holder]
	leases    objects[sycrecord.Lease]
	rollouts  objects[sycrecord.Rollout]

	// hashes maps the hash of each key that is not deleted to the key's name.
	hashes table[string, string]
	// prefixes maps the prefix of each route, without a trailing slash, to the
	// route's name.
	prefixes table[string, string]
	// depth is at least the number of segments of the deepest prefix.
	depth int
	// recent remembers the ids of the last records.
	recent recent
	// unreadable maps kind and name to the newest operation that this program
	// could not read, as long as no later one was accepted.
	unreadable table[string, Unreadable]
}

// NewState returns the state before the first record, for any stream.
func NewState() *State { return &State{} }

// NewStream returns the state before the first record of the named stream,
// which refuses the kinds of other streams.
func NewStream(stream string) *State { return &State{stream: stream} }

// Stream is the name of the stream, empty if any is taken.
func (s *State) Stream() string { return s.stream }

// Next is the offset after the last applied record.
func (s *State) Next() uint64 { return s.next }

// LastID returns the id of the last applied record that had one within the
// memory of ids.
func (s *State) LastID() (id string, ok bool) { return s.recent.at(s.next - 1) }

// Customer returns a customer by name.
func (s *State) Customer(name string) (Object[sycrecord.Customer], bool) {
	return s.customers.get(name)
}

// Customers returns all customers, ordered by name.
func (s *State) Customers() []Object[sycrecord.Customer] { return s.customers.list() }

// Key returns a key by name.
func (s *State) Key(name string) (Object[sycrecord.Key], bool) { return s.keys.get(name) }

// Owner returns the customer whose key has the given SHA-256 in lower-case
// hexadecimal; withdrawn keys have no owner.
func (s *State) Owner(sha256 string) (string, bool) {
	name, ok := s.hashes.get(sha256)
	if !ok {
		return "", false
	}
	key, ok := s.keys.get(name)
	if !ok || key.value.Withdrawn() {
		return "", false
	}
	return key.value.Customer(), true
}

// Route returns the route with the longest prefix of the path. A prefix matches
// whole segments: /a is a prefix of /a and /a/b but not of /ab.
func (s *State) Route(path string) (Object[sycrecord.Route], bool) {
	candidate := strings.TrimSuffix(segments(path, s.depth), "/")
	for {
		if name, ok := s.prefixes.get(candidate); ok {
			return s.routes.get(name)
		}
		if candidate == "" {
			return Object[sycrecord.Route]{}, false
		}
		candidate = candidate[:max(0, strings.LastIndexByte(candidate, '/'))]
	}
}

// Routes returns all routes, ordered by name.
func (s *State) Routes() []Object[sycrecord.Route] { return s.routes.list() }

// Endpoints returns all endpoints, ordered by name.
func (s *State) Endpoints() []Object[sycrecord.Endpoint] { return s.endpoints.list() }

// Endpoint returns an endpoint by name.
func (s *State) Endpoint(name string) (Object[sycrecord.Endpoint], bool) {
	return s.endpoints.get(name)
}

// Versions returns all versions, ordered by name.
func (s *State) Versions() []Object[sycrecord.Version] { return s.versions.list() }

// Version returns a version by name.
func (s *State) Version(name string) (Object[sycrecord.Version], bool) {
	return s.versions.get(name)
}

// Slots returns the slot tables, ordered by failure domain.
func (s *State) Slots() []Object[sycrecord.Slots] { return s.slots.list() }

// Holder returns the VM that took a slot over, if one did.
func (s *State) Holder(slot string) (Object[sycrecord.Holder], bool) {
	return s.holders.get(slot)
}

// Lease returns a lease by name.
func (s *State) Lease(name string) (Object[sycrecord.Lease], bool) {
	return s.leases.get(name)
}

// Leases returns all leases, ordered by name.
func (s *State) Leases() []Object[sycrecord.Lease] { return s.leases.list() }

// Rollout returns the recorded progress of a version's rollout.
func (s *State) Rollout(version string) (Object[sycrecord.Rollout], bool) {
	return s.rollouts.get(version)
}

// Rollouts returns the progress of all rollouts, ordered by version.
func (s *State) Rollouts() []Object[sycrecord.Rollout] { return s.rollouts.list() }

// Unreadable returns the operations of a newer schema version that this program
// could not read; their objects keep the values that they had before.
func (s *State) Unreadable() []Unreadable {
	var list []Unreadable
	for _, u := range s.unreadable.all() {
		list = append(list, u)
	}
	return list
}

// Generation returns the generation that an operation on an object has to
// expect; 0 if the object never was.
func (s *State) Generation(kind sycrecord.Kind, name string) uint64 {
	c := s.collection(kind)
	if c == nil {
		return 0
	}
	return c.generation(name)
}

// collection returns the objects of a kind, nil if the kind is unknown.
func (s *State) collection(kind sycrecord.Kind) collection {
	switch kind {
	case sycrecord.KindCustomer:
		return &s.customers
	case sycrecord.KindKey:
		return &s.keys
	case sycrecord.KindRoute:
		return &s.routes
	case sycrecord.KindEndpoint:
		return &s.endpoints
	case sycrecord.KindVersion:
		return &s.versions
	case sycrecord.KindSlots:
		return &s.slots
	case sycrecord.KindHolder:
		return &s.holders
	case sycrecord.KindLease:
		return &s.leases
	case sycrecord.KindRollout:
		return &s.rollouts
	}
	return nil
}

// segments cuts a path after its first n segments.
func segments(path string, n int) string {
	end := 0
	for range n {
		next := strings.IndexByte(path[min(end+1, len(path)):], '/')
		if next < 0 {
			return path
		}
		end += 1 + next
	}
	return path[:end]
}
