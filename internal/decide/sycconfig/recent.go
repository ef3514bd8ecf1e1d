package sycconfig

// RecentIDs is the number of offsets whose ids are remembered: a record is
// ignored if one with its id is among the RecentIDs records before it. The rule
// depends on the records alone, so all VMs agree.
const RecentIDs = 4096

// recent is the immutable memory of ids of the last records.
type recent struct {
	offsets table[string, uint64]
	// ids is the inverse of offsets.
	ids table[uint64, string]
}

func (r recent) find(id string) (offset uint64, ok bool) { return r.offsets.get(id) }

func (r recent) at(offset uint64) (id string, ok bool) { return r.ids.get(offset) }

// with remembers the id at an offset.
func (r recent) with(offset uint64, id string) recent {
	r.offsets = r.offsets.with(id, offset)
	r.ids = r.ids.with(offset, id)
	return r
}

// forget drops the id of the record that is too old for the record at an offset.
func (r recent) forget(offset uint64) recent {
	if offset <= RecentIDs {
		return r
	}
	old := offset - RecentIDs - 1
	id, ok := r.ids.get(old)
	if !ok {
		return r
	}
	r.ids = r.ids.without(old)
	r.offsets = r.offsets.without(id)
	return r
}
