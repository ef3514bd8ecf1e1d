package sycfeed

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxPrints limits the offsets of which a history holds fingerprints, from the highest down. A copy
// that a log is restored from is some seconds old.
const maxPrints = 4096

// maxEras limits the eras of which a history tells what was at an offset. A log that is restored
// more often while a VM runs counts as unknown to it.
const maxEras = 64

// fingerprint identifies a record that was at an offset.
type fingerprint struct {
	// era is the era of the record's position.
	era int64
	// seen has the bit of each era set in which the record was seen at the offset.
	seen uint64
	// hash is the hash of its key and value.
	hash uint64
}

// history is what a VM read of a log in all of its eras. The log of an era begins like that of
// some earlier one. Comparing records shows from where on it differs.
type history struct {
	// prints holds the records that were at each offset.
	prints map[int64][]fingerprint
	// highest is the highest offset in prints.
	highest int64
	// first is the first era that the log may be restored to. The eras before it were over when the
	// deployment started, or never were.
	first int64
}

func newHistory() history { return history{prints: map[int64][]fingerprint{}} }

// hashOf returns the hash of a record's key and value.
func hashOf(r Record) uint64 {
	return xxhash.Sum64(slices.Concat([]byte{byte(len(r.Key))}, []byte(r.Key), r.Value))
}

// add adds a record that was at its position, as seen in an era.
func (h *history) add(r Record, era int64) {
	hash, offset := hashOf(r), r.Position.Offset
	prints := h.prints[offset]
	i := slices.IndexFunc(prints, func(p fingerprint) bool { return p.hash == hash && p.era == r.Position.Era })
	if i < 0 {
		i, prints = len(prints), append(prints, fingerprint{era: r.Position.Era, hash: hash})
	}
	if era < maxEras {
		prints[i].seen |= 1 << era
	}
	h.prints[offset] = prints
	h.highest = max(h.highest, offset)
	if len(h.prints) > 2*maxPrints {
		maps.DeleteFunc(h.prints, func(offset int64, _ []fingerprint) bool { return offset <= h.highest-maxPrints })
	}
}

// knowsAll reports whether it is known what was at an offset in all eras from the first on and before one.
// A log that is restored may be like any of them.
func (h *history) knowsAll(before, offset int64) bool {
	seen := uint64(0)
	for _, p := range h.prints[offset] {
		seen |= p.seen
	}
	all := uint64(1)<<min(before, maxEras) - uint64(1)<<min(h.first, maxEras)
	return before <= maxEras && seen&all == all
}

// lastKnown returns the highest offset of which knowsAll is true, among the last ones.
func (h *history) lastKnown(before int64) (int64, bool) {
	for offset := h.highest; offset >= 0 && offset > h.highest-maxPrints; offset-- {
		if h.knowsAll(before, offset) {
			return offset, true
		}
	}
	return 0, false
}

// find returns the position under which a record was known that now is at an offset.
func (h *history) find(r Record) (Position, bool) {
	hash, found := hashOf(r), Position{Era: -1, Offset: r.Position.Offset}
	for _, p := range h.prints[r.Position.Offset] {
		if p.hash == hash && p.era > found.Era {
			found.Era = p.era
		}
	}
	return found, found.Era >= 0
}

// firstNew returns the offset of the first of some records that is certainly none that was at its
// offset in an earlier era. From there on all are new.
func (h *history) firstNew(records []Record) int64 {
	out := int64(math.MaxInt64)
	for _, r := range records {
		if p, found := h.find(r); found && p.Era == r.Position.Era || !found && h.knowsAll(r.Position.Era, r.Position.Offset) {
			out = min(out, r.Position.Offset)
		}
	}
	return out
}

// lastOld returns the offset of the last of some records that seems to be one of an earlier era. It
// may be a new one that is the same.
func (h *history) lastOld(records []Record) int64 {
	out := int64(-1)
	for _, r := range records {
		if p, found := h.find(r); found && p.Era < r.Position.Era {
			out = max(out, r.Position.Offset)
		}
	}
	return out
}
