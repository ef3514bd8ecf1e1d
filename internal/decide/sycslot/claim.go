package sycslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Takeover is a holder record to propose.
type Takeover struct {
	Slot   string
	Fields sycrecord.HolderFields
	// Expect is the generation that the present holder record must have.
	Expect uint64
}

// claims holds the time at which each slot was first seen to need a claim.
type claims map[string]time.Duration

// Takeover returns the record that this VM should propose now, if any. live lists
// the other VMs of the failure domain that answer and stay, and gone reports
// whether a VM is removed or leaving. Of the VMs that may claim a slot, those with
// the fewest slots go first.
func (m *Machine) Takeover(now time.Duration, config, system *sycconfig.State, live []string, gone func(address string) bool) (Takeover, bool) {
	all := slots(config, system, m.failureDomain)
	held := map[string]int{}
	for _, s := range all {
		held[s.holder]++
	}
	seen := claims{}
	defer func() { m.claims = seen }()
	for _, s := range all {
		if !m.claimable(s, held, gone) {
			continue
		}
		since, ok := m.claims[s.name]
		if !ok {
			since = now
		}
		seen[s.name] = since
		wait := m.settings.TakeoverStep * time.Duration(m.turn(s, held, live))
		if now-since < wait {
			continue
		}
		seen[s.name] = now
		return m.claim(s), true
	}
	return Takeover{}, false
}

func (m *Machine) claim(s slot) Takeover {
	return Takeover{
		Slot:   s.name,
		Fields: sycrecord.HolderFields{Address: m.address, Former: s.holder, Home: s.home},
		Expect: s.generation,
	}
}

// claimable reports whether this VM may take a slot: from a VM that is gone,
// or, when it has none itself, from one that has several.
func (m *Machine) claimable(s slot, held map[string]int, gone func(string) bool) bool {
	if s.holder == m.address {
		return false
	}
	if gone(s.holder) {
		return true
	}
	return held[m.address] == 0 && held[s.holder] > 1 && s.home != s.holder
}

// turn is this VM's place among those that may claim a slot.
func (m *Machine) turn(s slot, held map[string]int, live []string) int {
	order := append([]string{m.address}, live...)
	slices.SortFunc(order, func(a, b string) int {
		if held[a] != held[b] {
			return cmp.Compare(held[a], held[b])
		}
		return cmp.Compare(rank(s.name, a), rank(s.name, b))
	})
	return slices.Index(order, m.address)
}

func rank(name, address string) uint64 { return xxhash.Sum64String(name + "\x00" + address) }
