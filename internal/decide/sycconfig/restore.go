package sycconfig

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// load implements collection.
func (m *objects[T]) load(list []wireObject) error {
	names := make([]string, 0, len(list))
	values := make([]Object[T], 0, len(list))
	for _, wire := range list {
		o := Object[T]{generation: wire.Generation, offset: wire.Offset, deleted: true}
		if wire.Spec != nil && !wire.newer() {
			value, err := sycrecord.Restore(wire.Kind, wire.Name, wire.Spec)
			if err != nil {
				return err
			}
			o.value, _ = value.(T)
			o.deleted = false
			m.live++
		}
		names = append(names, wire.Name)
		values = append(values, o)
	}
	if !ascending(names) {
		return eris.New("objects are not in ascending order of name")
	}
	m.table = newTable(names, values)
	return nil
}

// ascending reports whether the keys strictly ascend.
func ascending[K cmp.Ordered](keys []K) bool {
	for i := 1; i < len(keys); i++ {
		if keys[i-1] >= keys[i] {
			return false
		}
	}
	return true
}

// newer reports whether the object's spec has a schema version that this program
// can't read.
func (o wireObject) newer() bool { return o.Schema > sycrecord.NewestSchema && o.Spec != nil }

// unreadable returns an unreadable put operation with the spec of an object whose
// schema version is newer than this program's.
func (o wireObject) unreadable() (wireUnreadable, error) {
	data, err := json.Marshal(sycrecord.Operation{
		Schema: o.Schema,
		Verb:   sycrecord.Put,
		Kind:   o.Kind,
		Name:   o.Name,
		Spec:   o.Spec,
	})
	return wireUnreadable{Offset: o.Offset, Data: data}, err
}

// load fills an empty state with a snapshot's content.
func (s *State) load(wire wireSnapshot) error {
	groups := map[sycrecord.Kind][]wireObject{}
	unreadable := wire.Unreadable
	for _, object := range wire.Objects {
		groups[object.Kind] = append(groups[object.Kind], object)
		if !object.newer() {
			continue
		}
		u, err := object.unreadable()
		if err != nil {
			return eris.Wrap(err, "sycconfig: encode unreadable operation")
		}
		unreadable = append(unreadable, u)
	}
	for _, kind := range kinds {
		if err := s.collection(kind).load(groups[kind]); err != nil {
			return err
		}
	}
	s.loadIndices()
	if err := s.recentIDs.load(wire.IDs); err != nil {
		return err
	}
	for _, u := range unreadable {
		if err := s.restoreUnreadable(u); err != nil {
			return err
		}
	}
	return nil
}

// loadIndices builds keysByHash, routesByPrefix and maxPrefixDepth.
func (s *State) loadIndices() {
	hashes := map[string]string{}
	for name, key := range s.keys.all() {
		hashes[key.value.SHA256()] = name
	}
	s.keysByHash = sortedTable(hashes)
	prefixes := map[string]string{}
	for name, route := range s.routes.all() {
		prefixes[prefixKey(route.value)] = name
		s.maxPrefixDepth = max(s.maxPrefixDepth, prefixDepth(route.value))
	}
	s.routesByPrefix = sortedTable(prefixes)
}

// sortedTable returns a table with the entries of a map.
func sortedTable[K cmp.Ordered, V any](m map[K]V) table[K, V] {
	keys := slices.Sorted(maps.Keys(m))
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, m[key])
	}
	return newTable(keys, values)
}

// load fills an empty window with the IDs of a snapshot.
func (r *idWindow) load(list []wireID) error {
	offsets := make(map[string]uint64, len(list))
	keys := make([]uint64, 0, len(list))
	ids := make([]string, 0, len(list))
	for _, entry := range list {
		keys = append(keys, entry.Offset)
		ids = append(ids, entry.ID)
		offsets[entry.ID] = entry.Offset
	}
	if !ascending(keys) {
		return eris.New("operation IDs are not in ascending order of offset")
	}
	r.ids = newTable(keys, ids)
	r.offsets = sortedTable(offsets)
	return nil
}

// restoreUnreadable loads an operation that the writer of a snapshot could not read.
// If this program can read it, the operation is applied now, unless it's invalid or
// conflicts with other objects. It doesn't increment the object's generation again,
// since the writer has done so.
func (s *State) restoreUnreadable(u wireUnreadable) error {
	var op sycrecord.Operation
	if err := json.Unmarshal(u.Data, &op); err != nil {
		return eris.Wrap(err, "sycconfig: decode unreadable operation")
	}
	if op.Schema > sycrecord.NewestSchema {
		s.unreadable = s.unreadable.set(unreadableKey(op.Kind, op.Name), Unreadable{
			kind:   op.Kind,
			name:   op.Name,
			schema: op.Schema,
			offset: u.Offset,
			data:   u.Data,
		})
		return nil
	}
	change, err := sycrecord.Parse(u.Data)
	if err != nil {
		return nil
	}
	value, err := s.evaluate(change)
	if err != nil || s.checkConflicts(op, value) != nil {
		return nil
	}
	generation := s.Generation(op.Kind, op.Name)
	s.set(u.Offset, op.Kind, op.Name, value)
	s.collection(op.Kind).setGeneration(op.Name, generation)
	return nil
}
