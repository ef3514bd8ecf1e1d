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
		return eris.New("objects are not in order")
	}
	m.table = newTable(names, values)
	return nil
}

func ascending[K cmp.Ordered](keys []K) bool {
	for i := 1; i < len(keys); i++ {
		if keys[i-1] >= keys[i] {
			return false
		}
	}
	return true
}

// newer reports whether the object's value cannot be read by this program.
func (o wireObject) newer() bool { return o.Schema > sycrecord.NewestSchema && o.Spec != nil }

// unreadable returns the operation that put an object of a newer schema version.
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

// load fills an empty state from a snapshot.
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
			return eris.Wrap(err, "sycconfig: decode")
		}
		unreadable = append(unreadable, u)
	}
	for _, kind := range kinds {
		if err := s.collection(kind).load(groups[kind]); err != nil {
			return err
		}
	}
	s.loadIndices()
	if err := s.recent.load(wire.IDs); err != nil {
		return err
	}
	for _, u := range unreadable {
		if err := s.restoreUnreadable(u); err != nil {
			return err
		}
	}
	return nil
}

// loadIndices builds the indices of keys and routes.
func (s *State) loadIndices() {
	hashes := map[string]string{}
	for name, key := range s.keys.all() {
		hashes[key.value.SHA256()] = name
	}
	s.hashes = sortedTable(hashes)
	prefixes := map[string]string{}
	for name, route := range s.routes.all() {
		prefixes[prefixKey(route.value)] = name
		s.depth = max(s.depth, prefixDepth(route.value))
	}
	s.prefixes = sortedTable(prefixes)
}

func sortedTable[K cmp.Ordered, V any](m map[K]V) table[K, V] {
	keys := slices.Sorted(maps.Keys(m))
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, m[key])
	}
	return newTable(keys, values)
}

// load fills the memory of ids from a snapshot.
func (r *recent) load(list []wireID) error {
	offsets := make(map[string]uint64, len(list))
	keys := make([]uint64, 0, len(list))
	ids := make([]string, 0, len(list))
	for _, entry := range list {
		keys = append(keys, entry.Offset)
		ids = append(ids, entry.ID)
		offsets[entry.ID] = entry.Offset
	}
	if !ascending(keys) {
		return eris.New("ids are not in order")
	}
	r.ids = newTable(keys, ids)
	r.offsets = sortedTable(offsets)
	return nil
}

// restoreUnreadable takes over an operation that the writer of a snapshot could
// not read. If this program can, it takes effect now.
func (s *State) restoreUnreadable(u wireUnreadable) error {
	var op sycrecord.Operation
	if err := json.Unmarshal(u.Data, &op); err != nil {
		return eris.Wrap(err, "sycconfig: restore")
	}
	if op.Schema > sycrecord.NewestSchema {
		s.unreadable = s.unreadable.with(unreadableKey(op.Kind, op.Name), Unreadable{
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
	if err != nil || s.check(op, value) != nil {
		return nil
	}
	generation := s.Generation(op.Kind, op.Name)
	s.set(u.Offset, op.Kind, op.Name, value)
	s.collection(op.Kind).setGeneration(op.Name, generation)
	return nil
}
