package sycconfig

import (
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// shareTolerance is how far the sum of the failure domains' shares may exceed 1 by
// floating-point rounding.
const shareTolerance = 1e-9

// checkConflicts checks an operation against the other objects of the state, such as
// a key against its customer. The value is nil for a delete.
func (s *State) checkConflicts(op sycrecord.Operation, value sycrecord.Value) error {
	switch v := value.(type) {
	case nil:
		return s.checkDelete(op)
	case sycrecord.Key:
		return s.checkKey(v)
	case sycrecord.Route:
		return s.checkRoute(v)
	case sycrecord.Version:
		return s.checkVersion(v)
	case sycrecord.Slots:
		return s.checkSlots(v)
	}
	return nil
}

// checkDelete requires that the object exists. A customer must have no keys left.
func (s *State) checkDelete(op sycrecord.Operation) error {
	if !s.collection(op.Kind).exists(op.Name) {
		return &MissingError{Kind: op.Kind, Name: op.Name}
	}
	if op.Kind != sycrecord.KindCustomer {
		return nil
	}
	for name, key := range s.keys.all() {
		if key.value.Customer() == op.Name {
			return conflict("name", "customer %q still has key %q", op.Name, name)
		}
	}
	return nil
}

// checkKey requires that the key's customer exists and that no other key has the
// same hash.
func (s *State) checkKey(key sycrecord.Key) error {
	if !s.customers.exists(key.Customer()) {
		return conflict("spec.customer", "customer %q does not exist", key.Customer())
	}
	if other, ok := s.keysByHash.get(key.SHA256()); ok && other != key.Name() {
		return conflict("spec.sha256", "is that of key %q", other)
	}
	return nil
}

// checkRoute requires that no other route has the same prefix.
func (s *State) checkRoute(route sycrecord.Route) error {
	if other, ok := s.routesByPrefix.get(prefixKey(route)); ok && other != route.Name() {
		return conflict("spec.prefix", "is that of route %q", other)
	}
	return nil
}

// checkVersion requires that a model has at most one initial version.
func (s *State) checkVersion(version sycrecord.Version) error {
	if !version.Initial() {
		return nil
	}
	for name, other := range s.versions.all() {
		same := other.value.Initial() && other.value.Model() == version.Model()
		if same && name != version.Name() {
			return conflict("spec.initial", "model %q has the initial version %q", version.Model(), name)
		}
	}
	return nil
}

// checkSlots requires that the slot names and addresses of all failure domains are
// unique and that their shares add up to at most 1.
func (s *State) checkSlots(slots sycrecord.Slots) error {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for _, slot := range slots.Slots() {
		names[slot.Name] = true
		addresses[slot.Address] = true
	}
	sum := slots.Share()
	for domain, other := range s.slots.all() {
		if domain == slots.FailureDomain() {
			continue
		}
		sum += other.value.Share()
		for _, slot := range other.value.Slots() {
			if names[slot.Name] {
				return conflict("spec.slots", "slot %q is in failure domain %q", slot.Name, domain)
			}
			if addresses[slot.Address] {
				return conflict("spec.slots", "address %q is in failure domain %q", slot.Address, domain)
			}
		}
	}
	if sum > 1+shareTolerance {
		return conflict("spec.share", "brings the shares of all failure domains to %g; at most 1 is allowed", sum)
	}
	return nil
}

// prefixKey returns a route's prefix without a trailing slash, its key in
// State.routesByPrefix.
func prefixKey(route sycrecord.Route) string { return strings.TrimSuffix(route.Prefix(), "/") }

// prefixDepth returns the number of path segments of a route's prefix.
func prefixDepth(route sycrecord.Route) int { return strings.Count(prefixKey(route), "/") }
