// Package sycconfig applies the operations of the config and system streams, in log
// order, to the state that every VM acts on. The state depends on the records alone,
// so that all VMs that have applied the same records have the same state.
//
// A State is immutable. A Replica holds a VM's current State of one stream. Snapshots
// of a State are written to the log in chunks, so that a VM can start without the
// records that the log's retention has dropped. Each Object has a generation, the
// number of accepted operations on it, which operations can expect to have a certain
// value (optimistic concurrency control).
package sycconfig

import (
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Names of the streams whose records make up a state.
const (
	// ConfigStream holds the records that operators write.
	ConfigStream = "config"
	// SystemStream holds the records that VMs write.
	SystemStream = "system"
)

// State is the immutable result of applying all records of a stream up to an offset.
type State struct {
	// stream is the name of the stream; empty accepts the kinds of all streams.
	stream string
	// next is the offset after the last applied record. A replica never replaces its
	// state by one with a lower next.
	next uint64

	// The objects of each kind by name: the name of a slot table is that of its failure
	// domain, of a holder that of the rate slot, of a rollout that of the version.
	customers objects[sycrecord.Customer]
	keys      objects[sycrecord.Key]
	routes    objects[sycrecord.Route]
	endpoints objects[sycrecord.Endpoint]
	versions  objects[sycrecord.Version]
	slots     objects[sycrecord.Slots]
	holders   objects[sycrecord.Holder]
	leases    objects[sycrecord.Lease]
	rollouts  objects[sycrecord.Rollout]

	// keysByHash maps the hash of each key that isn't deleted to the key's name.
	keysByHash table[string, string]
	// routesByPrefix maps the prefix of each route, without a trailing slash, to the
	// route's name.
	routesByPrefix table[string, string]
	// maxPrefixDepth is at least the number of path segments of every route's prefix.
	// It doesn't decrease when a route is deleted.
	maxPrefixDepth int
	// recentIDs indexes the operation IDs of the last RecentIDs records.
	recentIDs idWindow
	// unreadable maps an object (see unreadableKey) to its newest operation that this
	// program could not read, until a later operation on the object is accepted.
	unreadable table[string, Unreadable]
}

// NewState returns the state before the first record of a stream that may hold all
// kinds.
func NewState() *State { return &State{} }

// NewStream returns the state before the first record of the named stream. It rejects
// operations on the kinds of other streams.
func NewStream(stream string) *State { return &State{stream: stream} }

// Stream returns the name of the stream, empty if the state accepts all kinds.
func (s *State) Stream() string { return s.stream }

// Next returns the offset after the last applied record.
func (s *State) Next() uint64 { return s.next }

// LastID returns the ID of the last applied record. It returns false if that record
// had no usable ID, or repeated a recent one.
func (s *State) LastID() (id string, ok bool) { return s.recentIDs.idAt(s.next - 1) }

// Customer returns a customer by name.
func (s *State) Customer(name string) (Object[sycrecord.Customer], bool) {
	return s.customers.get(name)
}

// Customers returns all customers, ordered by name.
func (s *State) Customers() []Object[sycrecord.Customer] { return s.customers.list() }

// Key returns an API key by name.
func (s *State) Key(name string) (Object[sycrecord.Key], bool) { return s.keys.get(name) }

// Owner returns the name of the customer that owns the API key with the given SHA-256
// in lower-case hexadecimal. Withdrawn keys have no owner.
func (s *State) Owner(sha256 string) (string, bool) {
	name, ok := s.keysByHash.get(sha256)
	if !ok {
		return "", false
	}
	key, ok := s.keys.get(name)
	if !ok || key.value.Withdrawn() {
		return "", false
	}
	return key.value.Customer(), true
}

// Route returns the route with the longest prefix that matches the path. A prefix
// matches whole path segments: /a matches /a and /a/b but not /ab.
func (s *State) Route(path string) (Object[sycrecord.Route], bool) {
	candidate := strings.TrimSuffix(firstSegments(path, s.maxPrefixDepth), "/")
	for {
		if name, ok := s.routesByPrefix.get(candidate); ok {
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

// Slots returns the slot tables of all failure domains, ordered by failure domain.
func (s *State) Slots() []Object[sycrecord.Slots] { return s.slots.list() }

// Holder returns the record of the last takeover of a rate slot, if there was a
// takeover.
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

// Unreadable returns the newest unreadable operation of each object that has one.
// These objects keep the values that they had before.
func (s *State) Unreadable() []Unreadable {
	var list []Unreadable
	for _, u := range s.unreadable.all() {
		list = append(list, u)
	}
	return list
}

// Generation returns an object's generation, which an operation on the object may
// expect. It is 0 if the object never existed.
func (s *State) Generation(kind sycrecord.Kind, name string) uint64 {
	c := s.collection(kind)
	if c == nil {
		return 0
	}
	return c.generation(name)
}

// collection returns all objects of a kind, nil if the kind is unknown.
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

// firstSegments returns the first n segments of a path.
func firstSegments(path string, n int) string {
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
