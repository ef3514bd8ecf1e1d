package sycconfig

// RecentIDs is the number of offsets whose operation IDs are kept: a record is
// rejected if one of the RecentIDs records before it has the same ID. The rule
// depends on the records alone, so that all VMs reach the same state.
const RecentIDs = 4096

// idWindow is an immutable index of the IDs of the last RecentIDs records.
type idWindow struct {
	// offsets maps IDs to log offsets.
	offsets table[string, uint64]
	// ids maps log offsets to IDs.
	ids table[uint64, string]
}

// offsetOf returns the offset of the record with an ID, if it's in the window.
func (r idWindow) offsetOf(id string) (offset uint64, ok bool) { return r.offsets.get(id) }

// idAt returns the ID of the record at an offset, if it's in the window.
func (r idWindow) idAt(offset uint64) (id string, ok bool) { return r.ids.get(offset) }

// add returns the window with the ID of the record at an offset added.
func (r idWindow) add(offset uint64, id string) idWindow {
	r.offsets = r.offsets.set(id, offset)
	r.ids = r.ids.set(offset, id)
	return r
}

// expire returns the window without the ID of the record that is too old to be
// compared with the record at the given offset.
func (r idWindow) expire(offset uint64) idWindow {
	if offset <= RecentIDs {
		return r
	}
	old := offset - RecentIDs - 1
	id, ok := r.ids.get(old)
	if !ok {
		return r
	}
	r.ids = r.ids.remove(old)
	r.offsets = r.offsets.remove(id)
	return r
}
