package sycprefix

import "math/bits"

const (
	// slotBytes is the size of a table slot in bytes.
	slotBytes = 8
	// keyShift separates the key, the upper 48 bits of a block's hash, from the entry's
	// stamp and predictedBit.
	keyShift = 16
	// stampMask covers the stamp, the entry's time in units of stampUnit. It wraps
	// after 2^15 units, about 70 minutes.
	stampMask = 1<<15 - 1
	// predictedBit is set in entries that the engine has not confirmed.
	predictedBit = 1 << 15
	// initialSlots is the number of slots of a new table.
	initialSlots = 64
	// maxLoadNumerator/maxLoadDenominator is the highest load factor, the fraction of
	// slots in use. A table that would exceed it grows.
	maxLoadNumerator, maxLoadDenominator = 4, 5
)

// table is a hash table of block entries with open addressing and linear probing. A
// slot holds 48 bits of the block's hash, predictedBit and a 15-bit time stamp. An
// empty slot is 0.
type table struct {
	// slots holds the entries, packed as described above.
	slots []uint64
	// used is the number of entries.
	used int
	// limit is the largest number of entries. A full table evicts an old entry for each
	// new one.
	limit int
	// hand is the slot at which the next sweep or eviction starts.
	hand int
}

// newTable returns an empty table for at most limit entries.
func newTable(limit int) table {
	return table{slots: make([]uint64, initialSlots), limit: max(limit, 1)}
}

// key returns the upper 48 bits of a hash, which identify a block. It is never 0.
func key(hash uint64) uint64 {
	return max(hash>>keyShift, 1)
}

// pack returns the contents of a slot.
func pack(key uint64, stamp uint16, predicted bool) uint64 {
	slot := key<<keyShift | uint64(stamp&stampMask)
	if predicted {
		slot |= predictedBit
	}
	return slot
}

// slotStamp returns the time stamp in a slot.
func slotStamp(slot uint64) uint16 { return uint16(slot & stampMask) }

// slotPredicted reports whether a slot's entry is predicted, not confirmed.
func slotPredicted(slot uint64) bool { return slot&predictedBit != 0 }

// home returns the slot at which the search for a key starts.
func (t *table) home(key uint64) int {
	high, _ := bits.Mul64(key<<keyShift, uint64(len(t.slots)))
	return int(high)
}

// next returns the slot after i, and the first one after the last.
func (t *table) next(i int) int {
	i++
	if i == len(t.slots) {
		return 0
	}
	return i
}

// find returns the index of the key's slot and true, or of the empty slot for it and
// false.
func (t *table) find(key uint64) (int, bool) {
	i := t.home(key)
	for t.slots[i] != 0 {
		if t.slots[i]>>keyShift == key {
			return i, true
		}
		i = t.next(i)
	}
	return i, false
}

// get returns the contents of a hash's slot, 0 if there is none.
func (t *table) get(hash uint64) uint64 {
	i, _ := t.find(key(hash))
	return t.slots[i]
}

// insert adds or renews an entry. A prediction renews a confirmed entry's stamp and
// leaves it confirmed.
func (t *table) insert(hash uint64, stamp uint16, predicted bool) {
	k := key(hash)
	i, found := t.find(k)
	if found {
		predicted = predicted && slotPredicted(t.slots[i])
		t.slots[i] = pack(k, stamp, predicted)
		return
	}
	if t.used >= t.limit {
		t.evict(stamp)
		i, _ = t.find(k)
	} else if (t.used+1)*maxLoadDenominator > len(t.slots)*maxLoadNumerator {
		t.grow()
		i, _ = t.find(k)
	}
	t.slots[i] = pack(k, stamp, predicted)
	t.used++
}

// remove deletes the entry of a hash, if there is one.
func (t *table) remove(hash uint64) {
	if i, ok := t.find(key(hash)); ok {
		t.clearSlot(i)
	}
}

// clearSlot empties a slot and moves later entries up, so that the probe sequences
// through the slot stay unbroken.
func (t *table) clearSlot(hole int) {
	t.used--
	for i := t.next(hole); t.slots[i] != 0; i = t.next(i) {
		home := t.home(t.slots[i] >> keyShift)
		if between(hole, home, i) {
			continue
		}
		t.slots[hole] = t.slots[i]
		hole = i
	}
	t.slots[hole] = 0
}

// between reports whether slot home lies after slot hole and not after slot i, counting
// cyclically. If it does, the entry in slot i, whose home it is, can't move to hole,
// because a search for its key starts after hole.
func between(hole, home, i int) bool {
	if hole <= i {
		return hole < home && home <= i
	}
	return hole < home || home <= i
}

// grow increases the number of slots by half, up to what the limit needs.
func (t *table) grow() {
	size := len(t.slots) + len(t.slots)/2
	size = min(size, t.limit*maxLoadDenominator/maxLoadNumerator+2)
	old := t.slots
	t.slots = make([]uint64, max(size, len(old)+1))
	t.hand = 0
	for _, slot := range old {
		if slot != 0 {
			i, _ := t.find(slot >> keyShift)
			t.slots[i] = slot
		}
	}
}

// evictSample is the number of entries of which an eviction removes the oldest. Looking
// at a few entries approximates the oldest of all at a fixed cost.
const evictSample = 8

// evict removes the oldest of the next evictSample entries after the hand.
func (t *table) evict(stamp uint16) {
	oldest, age := -1, -1
	for seen := 0; seen < evictSample; t.hand = t.next(t.hand) {
		slot := t.slots[t.hand]
		if slot == 0 {
			continue
		}
		seen++
		if a := int(ageOf(slot, stamp)); a > age {
			oldest, age = t.hand, a
		}
		if seen == t.used {
			break
		}
	}
	if oldest >= 0 {
		t.clearSlot(oldest)
	}
}

// ageOf returns the time from a slot's stamp to the given one, in units of stampUnit.
func ageOf(slot uint64, stamp uint16) uint16 {
	return (stamp - slotStamp(slot)) & stampMask
}

// sweep visits the next n slots and removes the entries for which drop returns true.
func (t *table) sweep(n int, drop func(slot uint64) bool) {
	if t.hand >= len(t.slots) {
		t.hand = 0
	}
	for range min(n, len(t.slots)) {
		if slot := t.slots[t.hand]; slot != 0 && drop(slot) {
			t.clearSlot(t.hand)
			continue
		}
		t.hand = t.next(t.hand)
	}
}
