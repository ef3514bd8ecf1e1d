package sycslot

import (
	"maps"
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Machine follows the slots of one VM. It must be driven from one goroutine.
type Machine struct {
	address       string
	failureDomain string
	settings      Settings
	tenures       map[string]*tenure
	// configNext and systemNext are the offsets of the state that the tenures
	// follow; they never decrease.
	configNext uint64
	systemNext uint64
	// claims holds when each slot was first seen to need a claim.
	claims claims
}

// New returns a machine for a VM that accrues nothing yet.
func New(address, failureDomain string, s Settings) *Machine {
	return &Machine{
		address:       address,
		failureDomain: failureDomain,
		settings:      s.Defaults(),
		tenures:       map[string]*tenure{},
		claims:        claims{},
	}
}

// Update follows a change of what the VM knows.
func (m *Machine) Update(v View) {
	m.configNext = max(m.configNext, v.Config.Next())
	m.systemNext = max(m.systemNext, v.System.Next())
	m.follow(v.Config, v.System)
	if v.Removed {
		clear(m.tenures)
		return
	}
	if !v.Complete {
		return
	}
	for _, t := range m.tenures {
		if t.fraction != t.wanted && m.confirmed(t, v) {
			t.fraction = t.wanted
			t.wide = false
		}
	}
}

// Restart stops all slots; they start anew as after the start of the VM.
func (m *Machine) Restart() {
	clear(m.tenures)
	clear(m.claims)
}

// follow brings the tenures in line with a state.
func (m *Machine) follow(config, system *sycconfig.State) {
	held := map[string]*tenure{}
	for _, s := range slots(config, system, m.failureDomain) {
		if s.holder == m.address {
			held[s.name] = m.keep(m.tenures[s.name], s)
		}
	}
	m.tenures = held
}

// keep continues a tenure of a slot as the state now gives it.
func (m *Machine) keep(t *tenure, s slot) *tenure {
	if t != nil && t.slot == s {
		return t
	}
	next := &tenure{
		wanted: syclimit.NewFraction(s.share * s.fraction),
		slot:   s,
		config: m.configNext,
		system: m.systemNext,
	}
	if t != nil {
		next.fraction = min(t.fraction, next.wanted)
		next.wide = t.wide || s.share > t.slot.share
	}
	return next
}

// confirmed reports whether no other VM can accrue any of what a tenure wants.
func (m *Machine) confirmed(t *tenure, v View) bool {
	return !slices.ContainsFunc(v.Peers, func(p Peer) bool {
		if p.FailureDomain != m.failureDomain && !t.wide {
			return false
		}
		if v.GoneSince(p.Address, t.config, t.system) {
			return false
		}
		return !p.Reported ||
			p.ConfigNext < t.config || p.SystemNext < t.system ||
			p.ConfigNext > m.configNext || p.SystemNext > m.systemNext
	})
}

// Fraction is the part of every customer's tokens that the VM accrues.
func (m *Machine) Fraction() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, t := range m.tenures {
		sum += t.fraction
	}
	return sum
}

// Waiting reports whether a slot waits for reports of other VMs.
func (m *Machine) Waiting() bool {
	for _, t := range m.tenures {
		if t.fraction != t.wanted {
			return true
		}
	}
	return false
}

// Applied returns the offsets to report to other VMs.
func (m *Machine) Applied() (configNext, systemNext uint64) { return m.configNext, m.systemNext }

// SlotNames returns the names of the slots that the VM holds, sorted.
func (m *Machine) SlotNames() []string { return slices.Sorted(maps.Keys(m.tenures)) }

// slot is a slot and the VM that the state gives it to.
type slot struct {
	name     string
	home     string
	holder   string
	share    float64
	fraction float64
	// generation is that of the holder record, 0 if there is none.
	generation uint64
	// table and record are the offsets of the slot table and holder record.
	table  uint64
	record uint64
}

// slots returns the slots of a failure domain in the order of its table.
func slots(config, system *sycconfig.State, failureDomain string) []slot {
	var list []slot
	for _, o := range config.Slots() {
		if o.Value().FailureDomain() != failureDomain {
			continue
		}
		for _, f := range o.Value().Slots() {
			list = append(list, resolve(system, o, f))
		}
	}
	return list
}

// resolve finds the holder of a slot. A holder record counts while the table
// names the address that the record replaced.
func resolve(system *sycconfig.State, table sycconfig.Object[sycrecord.Slots], f sycrecord.SlotFields) slot {
	s := slot{
		name: f.Name, home: f.Address, holder: f.Address,
		share: table.Value().Share(), fraction: f.Fraction, table: table.Offset(),
	}
	o, ok := system.Holder(f.Name)
	if !ok {
		return s
	}
	s.generation = o.Generation()
	s.record = o.Offset()
	if o.Value().Home() == f.Address {
		s.holder = o.Value().Address()
	}
	return s
}

// Holding is the part of every customer's tokens that the state gives to a VM.
type Holding struct {
	Address       string
	FailureDomain string
	Fraction      syclimit.Fraction
}

// Holdings returns what the state gives to each VM, over all failure domains,
// ordered by address. VMs that hold nothing are left out.
func Holdings(config, system *sycconfig.State) []Holding {
	byAddress := map[string]Holding{}
	for _, o := range config.Slots() {
		domain := o.Value().FailureDomain()
		for _, f := range o.Value().Slots() {
			s := resolve(system, o, f)
			h := byAddress[s.holder]
			h.Address, h.FailureDomain = s.holder, domain
			h.Fraction += syclimit.NewFraction(s.share * s.fraction)
			byAddress[s.holder] = h
		}
	}
	list := make([]Holding, 0, len(byAddress))
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		list = append(list, byAddress[address])
	}
	return list
}
