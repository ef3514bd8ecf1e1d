package sycslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Takeover is a holder record that this VM should propose to become the holder of
// a slot.
type Takeover struct {
	Slot   string
	Fields sycrecord.HolderFields
	// Expect is the generation that the slot's current holder record must have, 0
	// if there must be none.
	Expect uint64
}

// waitStarts holds, by the name of each slot that this VM may take over, when this
// VM began to wait before it takes the slot over. A proposal starts the wait anew.
type waitStarts map[string]time.Duration

// Takeover returns the next takeover that this VM should propose, if any. live
// lists the other VMs of the failure domain that respond and aren't leaving. gone
// reports whether a VM is removed or leaving. VMs with fewer slots propose first,
// so that several VMs don't propose at once.
func (m *Machine) Takeover(now time.Duration, config, system *sycconfig.State, live []string, gone func(address string) bool) (Takeover, bool) {
	all := slots(config, system, m.failureDomain)
	slotCounts := map[string]int{}
	for _, s := range all {
		slotCounts[s.holder]++
	}
	starts := waitStarts{}
	defer func() { m.waitStarts = starts }()
	for _, s := range all {
		if !m.mayTakeOver(s, slotCounts, gone) {
			continue
		}
		since, ok := m.waitStarts[s.name]
		if !ok {
			since = now
		}
		starts[s.name] = since
		wait := m.settings.TakeoverStep * time.Duration(m.position(s, slotCounts, live))
		if now-since < wait {
			continue
		}
		starts[s.name] = now
		return m.newTakeover(s), true
	}
	return Takeover{}, false
}

func (m *Machine) newTakeover(s slot) Takeover {
	return Takeover{
		Slot:   s.name,
		Fields: sycrecord.HolderFields{Address: m.address, Former: s.holder, Home: s.home},
		Expect: s.generation,
	}
}

// mayTakeOver reports whether this VM may take over a slot: from a VM that is
// gone, or, if this VM holds no slot, from a VM that holds several and isn't the
// slot's home.
func (m *Machine) mayTakeOver(s slot, slotCounts map[string]int, gone func(string) bool) bool {
	if s.holder == m.address {
		return false
	}
	if gone(s.holder) {
		return true
	}
	return slotCounts[m.address] == 0 && slotCounts[s.holder] > 1 && s.home != s.holder
}

// position returns how many live VMs come before this VM in taking over a slot. VMs with
// fewer slots come first. VMs with equally many are ordered by hash, which differs
// per slot.
func (m *Machine) position(s slot, slotCounts map[string]int, live []string) int {
	order := append([]string{m.address}, live...)
	slices.SortFunc(order, func(a, b string) int {
		if slotCounts[a] != slotCounts[b] {
			return cmp.Compare(slotCounts[a], slotCounts[b])
		}
		return cmp.Compare(hash(s.name, a), hash(s.name, b))
	})
	return slices.Index(order, m.address)
}

// hash orders the VMs that may take over a slot.
func hash(slot, address string) uint64 { return xxhash.Sum64String(slot + "\x00" + address) }
