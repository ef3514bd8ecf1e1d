package sycslot

import (
	"maps"
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Machine tracks which slots one VM holds and how much of them it accrues. It
// isn't safe for concurrent use.
type Machine struct {
	address       string
	failureDomain string
	settings      Settings
	// held holds the VM's slots by name.
	held map[string]*heldSlot
	// configNext and systemNext are the highest offsets of the states that held
	// was updated from. They never decrease.
	configNext uint64
	systemNext uint64
	// waitStarts holds, by slot name, when this VM began to wait before it takes the
	// slot over.
	waitStarts waitStarts
}

// New returns a machine for the VM at an address. It accrues nothing yet.
func New(address, failureDomain string, s Settings) *Machine {
	return &Machine{
		address:       address,
		failureDomain: failureDomain,
		settings:      s.Defaults(),
		held:          map[string]*heldSlot{},
		waitStarts:    waitStarts{},
	}
}

// Update applies a new state or new reports of other VMs. It stops slots that were
// lost and starts slots that the other VMs have confirmed.
func (m *Machine) Update(v View) {
	m.configNext = max(m.configNext, v.Config.Next())
	m.systemNext = max(m.systemNext, v.System.Next())
	m.applyState(v.Config, v.System)
	if v.Removed {
		clear(m.held)
		return
	}
	if !v.Complete {
		return
	}
	for _, h := range m.held {
		if h.fraction != h.assigned && m.confirmed(h, v) {
			h.fraction = h.assigned
			h.needsAllDomains = false
		}
	}
}

// Restart stops all slots. The next updates start them as after the start of the
// process, so the other VMs must confirm them again.
func (m *Machine) Restart() {
	clear(m.held)
	clear(m.waitStarts)
}

// applyState updates the held slots to those that a state assigns to this VM.
func (m *Machine) applyState(config, system *sycconfig.State) {
	held := map[string]*heldSlot{}
	for _, s := range slots(config, system, m.failureDomain) {
		if s.holder == m.address {
			held[s.name] = m.updateSlot(m.held[s.name], s)
		}
	}
	m.held = held
}

// updateSlot returns the new state of a held slot, whose previous state is nil if
// this VM didn't hold it. A smaller fraction applies at once, while a larger one
// waits for confirmation.
func (m *Machine) updateSlot(previous *heldSlot, s slot) *heldSlot {
	if previous != nil && previous.slot == s {
		return previous
	}
	next := &heldSlot{
		assigned: syclimit.NewFraction(s.domainFraction * s.fraction),
		slot:     s,
		config:   m.configNext,
		system:   m.systemNext,
	}
	if previous != nil {
		next.fraction = min(previous.fraction, next.assigned)
		next.needsAllDomains = previous.needsAllDomains || s.domainFraction > previous.slot.domainFraction
	}
	return next
}

// confirmed reports whether no other VM can still accrue any part of a held slot.
// This holds if every other VM is gone or has reported at least the slot's offsets,
// and this VM has applied at least the offsets of all reports.
func (m *Machine) confirmed(h *heldSlot, v View) bool {
	return !slices.ContainsFunc(v.Peers, func(p Peer) bool {
		if p.FailureDomain != m.failureDomain && !h.needsAllDomains {
			return false
		}
		if v.GoneSince(p.Address, h.config, h.system) {
			return false
		}
		return !p.Reported ||
			p.ConfigNext < h.config || p.SystemNext < h.system ||
			p.ConfigNext > m.configNext || p.SystemNext > m.systemNext
	})
}

// Fraction returns the fraction of every customer's rate and burst that the VM
// accrues.
func (m *Machine) Fraction() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, h := range m.held {
		sum += h.fraction
	}
	return sum
}

// Waiting reports whether a held slot doesn't accrue in full because other VMs
// haven't confirmed it yet.
func (m *Machine) Waiting() bool {
	for _, h := range m.held {
		if h.fraction != h.assigned {
			return true
		}
	}
	return false
}

// Applied returns the offsets after the last applied records of the config and
// system streams, to report to the other VMs.
func (m *Machine) Applied() (configNext, systemNext uint64) { return m.configNext, m.systemNext }

// SlotNames returns the names of the slots that the VM holds, sorted.
func (m *Machine) SlotNames() []string { return slices.Sorted(maps.Keys(m.held)) }

// slot is an entry of a slot table with the VM that holds the slot.
type slot struct {
	name string
	// home is the VM that the slot table assigns the slot to, holder the VM that
	// may accrue it.
	home   string
	holder string
	// domainFraction is the failure domain's fraction of every customer's rate and
	// burst, and fraction is the slot's fraction of that.
	domainFraction float64
	fraction       float64
	// generation is the holder record's generation, the number of operations
	// accepted for it, or 0 if there is no record. A takeover names it, so that it
	// is rejected if the record has changed since.
	generation uint64
	// table and record are the log offsets of the slot table and holder record.
	table  uint64
	record uint64
}

// slots returns the slots of a failure domain in the order of its slot table.
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

// resolve returns a slot of a table with its holder. A holder record has no effect
// once the table assigns the slot to a home other than the record's.
func resolve(system *sycconfig.State, table sycconfig.Object[sycrecord.Slots], f sycrecord.SlotFields) slot {
	s := slot{
		name: f.Name, home: f.Address, holder: f.Address,
		domainFraction: table.Value().Share(), fraction: f.Fraction, table: table.Offset(),
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

// Holding is the fraction of every customer's rate and burst that the state assigns
// to the VM at an address, as the sum of its slots.
type Holding struct {
	Address       string
	FailureDomain string
	Fraction      syclimit.Fraction
}

// Holdings returns the holdings of all VMs that hold a slot, in all failure domains,
// ordered by address.
func Holdings(config, system *sycconfig.State) []Holding {
	byAddress := map[string]Holding{}
	for _, o := range config.Slots() {
		domain := o.Value().FailureDomain()
		for _, f := range o.Value().Slots() {
			s := resolve(system, o, f)
			h := byAddress[s.holder]
			h.Address, h.FailureDomain = s.holder, domain
			h.Fraction += syclimit.NewFraction(s.domainFraction * s.fraction)
			byAddress[s.holder] = h
		}
	}
	list := make([]Holding, 0, len(byAddress))
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		list = append(list, byAddress[address])
	}
	return list
}
