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

// Update follows a change of state or of reports. peers holds all other VMs
// that the platform has not removed; removed tells that it has removed this
// one, which then stops to accrue.
func (m *Machine) Update(config, system *sycconfig.State, peers []Peer, removed bool) {
	m.configNext = max(m.configNext, config.Next())
	m.systemNext = max(m.systemNext, system.Next())
	m.follow(config, system)
	if removed {
		clear(m.tenures)
		return
	}
	for _, t := range m.tenures {
		if t.fraction != t.wanted && m.confirmed(t, peers) {
			t.fraction = t.wanted
			t.wide = false
		}
	}
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

// keep continues a tenure under the fraction that the state now gives.
func (m *Machine) keep(t *tenure, s slot) *tenure {
	wanted := syclimit.NewFraction(s.share * s.fraction)
	if t == nil {
		t = &tenure{wanted: -1, share: s.share}
	}
	if t.wanted == wanted {
		return t
	}
	next := &tenure{
		wanted:   wanted,
		fraction: min(t.fraction, wanted),
		share:    s.share,
		wide:     t.wide || s.share > t.share,
		config:   m.configNext,
		system:   m.systemNext,
	}
	return next
}

// confirmed reports whether no other VM can accrue any of what a tenure wants.
func (m *Machine) confirmed(t *tenure, peers []Peer) bool {
	return !slices.ContainsFunc(peers, func(p Peer) bool {
		if p.FailureDomain != m.failureDomain && !t.wide {
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

// Names returns the names of the slots that the VM holds, sorted.
func (m *Machine) Names() []string { return slices.Sorted(maps.Keys(m.tenures)) }

// slot is a slot and the VM that the state gives it to.
type slot struct {
	name     string
	home     string
	holder   string
	share    float64
	fraction float64
	// generation is that of the holder record, 0 if there is none.
	generation uint64
}

// slots returns the slots of a failure domain in the order of its table.
func slots(config, system *sycconfig.State, failureDomain string) []slot {
	var list []slot
	for _, o := range config.Slots() {
		if o.Value().FailureDomain() != failureDomain {
			continue
		}
		for _, f := range o.Value().Slots() {
			list = append(list, resolve(system, o.Value().Share(), f))
		}
	}
	return list
}

// resolve finds the holder of a slot. A holder record counts while the table
// names the address that the record replaced.
func resolve(system *sycconfig.State, share float64, f sycrecord.SlotFields) slot {
	s := slot{name: f.Name, home: f.Address, holder: f.Address, share: share, fraction: f.Fraction}
	o, ok := system.Holder(f.Name)
	if !ok {
		return s
	}
	s.generation = o.Generation()
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
			s := resolve(system, o.Value().Share(), f)
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
