package sycprefix

import "math/bits"

const (
	// slotBytes is the size of a table slot.
	slotBytes = 8
	// keyShift separates the upper 48 bits of a hash, which identify a block,
	// from the entry's stamp and kind.
	keyShift = 16
	// stampMask covers the stamp, which counts stampUnit and wraps.
	stampMask = 1<<15 - 1
	// predictedBit marks entries that no event has confirmed.
	predictedBit = 1 << 15
	// smallest is the number of slots of a new table.
	smallest = 64
	// fullNumerator/fullDenominator is the highest load factor.
	fullNumerator, fullDenominator = 4, 5
)

// table is an open-addressing set of block hashes with linear probing. A slot
// holds 48 bits of the hash, 15 bits of time stamp and the kind of entry; an
// empty slot is 0.
type table struct {
	slots []uint64
	used  int
	// limit is the largest number of entries.
	limit int
	// hand is where the next sweep starts.
	hand int
}

func newTable(limit int) table {
	return table{slots: make([]uint64, smallest), limit: max(limit, 1)}
}

// key is the part of a hash that identifies a block; never 0.
func key(hash uint64) uint64 {
	return max(hash>>keyShift, 1)
}

func pack(key uint64, stamp uint16, predicted bool) uint64 {
	slot := key<<keyShift | uint64(stamp&stampMask)
	if predicted {
		slot |= predictedBit
	}
	return slot
}

func slotStamp(slot uint64) uint16 { return uint16(slot & stampMask) }

func slotPredicted(slot uint64) bool { return slot&predictedBit != 0 }

// home is the slot at which the search for a key starts.
func (t *table) home(key uint64) int {
	high, _ := bits.Mul64(key<<keyShift, uint64(len(t.slots)))
	return int(high)
}

func (t *table) next(i int) int {
	i++
	if i == len(t.slots) {
		return 0
	}
	return i
}

// find returns the slot that holds the key, or the empty slot where it belongs.
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

// get returns the slot of a hash, 0 if there is none.
func (t *table) get(hash uint64) uint64 {
	i, _ := t.find(key(hash))
	return t.slots[i]
}

// put adds or renews an entry. A prediction renews a confirmed entry's stamp
// and leaves it confirmed.
func (t *table) put(hash uint64, stamp uint16, predicted bool) {
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
	} else if (t.used+1)*fullDenominator > len(t.slots)*fullNumerator {
		t.grow()
		i, _ = t.find(k)
	}
	t.slots[i] = pack(k, stamp, predicted)
	t.used++
}

// remove deletes the entry of a hash, if there is one.
func (t *table) remove(hash uint64) {
	if i, ok := t.find(key(hash)); ok {
		t.clear(i)
	}
}

// clear empties a slot and closes the gap in its probe sequence.
func (t *table) clear(hole int) {
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

// between reports whether home lies cyclically in (hole, i].
func between(hole, home, i int) bool {
	if hole <= i {
		return hole < home && home <= i
	}
	return hole < home || home <= i
}

// grow makes room for half as many entries again, up to the limit.
func (t *table) grow() {
	size := len(t.slots) + len(t.slots)/2
	size = min(size, t.limit*fullDenominator/fullNumerator+2)
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

// evictSample is the number of entries of which the oldest makes room.
const evictSample = 8

// evict removes the oldest of a few entries after the hand.
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
		t.clear(oldest)
	}
}

// ageOf is the time between a slot's stamp and the given one, in stamp units.
func ageOf(slot uint64, stamp uint16) uint16 {
	return (stamp - slotStamp(slot)) & stampMask
}

// sweep looks at n slots and removes the entries for which drop is true.
func (t *table) sweep(n int, drop func(slot uint64) bool) {
	if t.hand >= len(t.slots) {
		t.hand = 0
	}
	for range min(n, len(t.slots)) {
		if slot := t.slots[t.hand]; slot != 0 && drop(slot) {
			t.clear(t.hand)
			continue
		}
		t.hand = t.next(t.hand)
	}
}
