package sycmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Roster holds the other VMs of the fleet as one VM knows them. All calls must
// come from one goroutine, with times that do not decrease.
type Roster struct {
	// self is the VM that the roster belongs to.
	self     VM
	settings Settings
	// members is ordered by address and does not contain self.
	members []*Member
	// expected holds the addresses that were passed to Expect. These members stay
	// on the roster also when they are gone.
	expected map[string]bool
	// listRead is set once the platform's list has been read.
	listRead bool
	// selfMissing is set while the newest reading of the list doesn't show this VM.
	selfMissing bool
	// selfMissingSince is the time of the first reading in a row that doesn't show
	// this VM; valid if selfMissing is set.
	selfMissingSince time.Duration
	// lastReading is the time at which the newest reading of the list began.
	lastReading time.Duration
	// introduced is set once this VM has begun to introduce itself to other VMs.
	introduced bool
	// firstIntroduction is when that began; valid if introduced is set.
	firstIntroduction time.Duration
	// pauseEnded is when this VM last noticed that its process had been paused.
	pauseEnded time.Duration
	// offsetsChanged is when a member of this failure domain last reported other
	// offsets than in its report before.
	offsetsChanged time.Duration
	// cachedTargets holds the result of targets, or nil if it must be computed.
	cachedTargets []*Member
	// nextKnown is the index of the present member that the next report's Known
	// begins with, before it is reduced modulo their number.
	nextKnown int
}

// New returns a roster of the VM self without members.
func New(self VM, s Settings) *Roster {
	return &Roster{self: self, settings: s.Defaults(), expected: map[string]bool{}}
}

// Self returns the VM that the roster belongs to.
func (r *Roster) Self() VM { return r.self }

// ApplyList applies a reading of the platform's list that began at the given time.
// A reading that does not show this VM says nothing about other VMs: either the
// list has lost its entries, or this VM was removed.
func (r *Roster) ApplyList(began time.Duration, list []VM) {
	if began < r.pauseEnded {
		return
	}
	r.listRead = true
	r.lastReading = began
	shown := make(map[string]bool, len(list))
	for _, vm := range list {
		shown[vm.Address] = true
	}
	if !shown[r.self.Address] {
		r.markSelfMissing(began)
		return
	}
	r.selfMissing = false
	for _, vm := range list {
		if m := r.add(vm); m != nil {
			m.absent = false
			m.vm.Leaving = vm.Leaving
		}
	}
	for _, m := range r.members {
		if !shown[m.vm.Address] {
			m.markAbsent(began)
		}
	}
	r.prune()
}

// markSelfMissing records a reading of the list, begun at now, without this VM.
func (r *Roster) markSelfMissing(now time.Duration) {
	if !r.selfMissing {
		r.selfMissing = true
		r.selfMissingSince = now
	}
}

// markAbsent records a reading of the list, begun at now, without the member.
func (m *Member) markAbsent(now time.Duration) {
	if !m.absent {
		m.absent = true
		m.absentFrom = now
	}
	m.absentTo = now
}

// ResetAfterPause discards all reports and readings, because this VM's process was
// paused for so long that other VMs may count it as gone. Answers and readings that
// were requested before now are ignored when they come.
func (r *Roster) ResetAfterPause(now time.Duration) {
	r.pauseEnded = now
	r.listRead = false
	r.selfMissing = false
	r.introduced = false
	for _, m := range r.members {
		m.hasReport = false
		m.offsetReports = nil
		m.absent = false
		m.nextIntroduction = now
	}
}

// ListLag returns Settings.ListLag, the longest time until a change of the fleet
// shows in the platform's list.
func (r *Roster) ListLag() time.Duration { return r.settings.ListLag }

// Complete reports whether the roster surely holds every VM of the failure domain
// that registered with the platform before this VM. Either the newest reading of
// the list shows this VM, or the list has not been read, this VM has introduced
// itself for longer than ListLag, and the fleet is small, so that answers to
// introductions name all VMs.
func (r *Roster) Complete(now time.Duration) bool {
	if r.listRead {
		return !r.selfMissing
	}
	return r.introduced && now-r.firstIntroduction > r.settings.ListLag && len(r.members) < r.settings.SmallFleet
}

// Removed reports whether the platform has removed this VM: the readings of its list
// have lacked this VM for more than twice ListLag.
func (r *Roster) Removed() bool {
	return r.selfMissing && r.lastReading-r.selfMissingSince > 2*r.settings.ListLag
}

// ReceiveIntroduction records that an introduction came from another VM. It shows
// that the VM is alive. The VM's offsets are taken only from its answers to this
// VM's introductions, because an introduction may have been delayed on its way.
func (r *Roster) ReceiveIntroduction(now time.Duration, vm VM) {
	if m := r.add(vm); m != nil {
		m.recordContact(now, vm)
	}
}

// ApplyReport applies a VM's answer to an introduction that this VM sent at the time
// sent. The VMs that the report names are always added to the roster. The rest of the
// report is ignored if the introduction was sent before the last process pause ended,
// or before the first message of the answering VM's current process came.
func (r *Roster) ApplyReport(now, sent time.Duration, report Report) {
	for _, vm := range report.Known {
		r.add(vm)
	}
	m := r.add(report.VM)
	if m == nil {
		return
	}
	if sent < r.pauseEnded || m.seen && sent < m.processSince {
		return
	}
	m.recordContact(now, report.VM)
	if m.offsetsDiffer(report) {
		m.recordOffsets(now, report)
		if report.VM.FailureDomain == r.self.FailureDomain {
			r.offsetsChanged = now
		}
	}
	m.report = report
	m.report.Known = nil
	m.hasReport = true
}

// recordContact records that a message came from the member. If its process has
// changed, the reports of the process before are discarded.
func (m *Member) recordContact(now time.Duration, vm VM) {
	if m.vm.Incarnation != vm.Incarnation {
		m.processSince = now
		m.hasReport = false
		m.offsetReports = nil
	}
	m.vm = vm
	m.lastSeen = now
	m.seen = true
}

// offsetsDiffer reports whether next has other offsets than the last report, or is
// the first report of the member's current process.
func (m *Member) offsetsDiffer(next Report) bool {
	return !m.hasReport ||
		m.report.ConfigNext != next.ConfigNext || m.report.SystemNext != next.SystemNext
}

// Expect adds the VMs that the tables of rate slots name to the roster, and keeps
// them there also when they are gone. It replaces the VMs of the call before.
func (r *Roster) Expect(vms []VM) {
	clear(r.expected)
	for _, vm := range vms {
		r.expected[vm.Address] = true
		r.add(vm)
	}
	r.prune()
}

// add returns the member with vm's address, and creates it if there is none. It
// returns nil for this VM itself, for an empty address, and for a new VM when the
// roster is full.
func (r *Roster) add(vm VM) *Member {
	if vm.Address == r.self.Address || vm.Address == "" {
		return nil
	}
	i, found := r.search(vm.Address)
	if found {
		return r.members[i]
	}
	if len(r.members) >= r.settings.MaxMembers {
		return nil
	}
	m := &Member{vm: vm}
	r.cachedTargets = nil
	r.members = slices.Insert(r.members, i, m)
	return m
}

// search returns the index in members of an address, or the index at which to
// insert it and false.
func (r *Roster) search(address string) (int, bool) {
	return slices.BinarySearchFunc(r.members, address, func(m *Member, a string) int {
		return cmp.Compare(m.vm.Address, a)
	})
}

// prune removes members that are gone, unless Expect names them. GoneSince still
// needs a gone member until a reading of the list is ListLag newer than the last
// change of offsets in this failure domain.
func (r *Roster) prune() {
	r.cachedTargets = nil
	r.members = slices.DeleteFunc(r.members, func(m *Member) bool {
		return r.gone(m) && m.absentTo-r.offsetsChanged > r.settings.ListLag && !r.expected[m.vm.Address]
	})
}

// Leave marks this VM as leaving, so that Self shows it from then on.
func (r *Roster) Leave() { r.self.Leaving = true }

// Leaving reports whether the VM at an address is leaving, according to the
// platform's list or to the VM's own messages. The address may be this VM's.
func (r *Roster) Leaving(address string) bool {
	if address == r.self.Address {
		return r.self.Leaving
	}
	i, found := r.search(address)
	return found && r.members[i].vm.Leaving
}

// Members returns all members, including gone members, ordered by address.
func (r *Roster) Members() []*Member { return r.members }

// Present returns the members that are not gone, ordered by address.
func (r *Roster) Present() []*Member {
	return r.filter(func(m *Member) bool { return !r.gone(m) })
}

// Live returns the members from which a message came within SilentIntervals,
// ordered by address.
func (r *Roster) Live(now time.Duration) []*Member {
	silence := time.Duration(r.settings.SilentIntervals * float64(r.interval()))
	return r.filter(func(m *Member) bool { return m.seen && now-m.lastSeen <= silence })
}

// filter returns the members for which keep returns true, ordered by address.
func (r *Roster) filter(keep func(*Member) bool) []*Member {
	var list []*Member
	for _, m := range r.members {
		if keep(m) {
			list = append(list, m)
		}
	}
	return list
}

// Known returns the members to name in a report of this VM: in a small fleet all
// members that are not gone, otherwise the next KnownPerReply of them in rotation.
// Incarnations are left out, because each VM reports only its own.
func (r *Roster) Known() []VM {
	present := r.Present()
	count := min(len(present), r.settings.KnownPerReply)
	if len(present) < r.settings.SmallFleet {
		count = len(present)
	}
	list := make([]VM, 0, count)
	for i := range count {
		vm := present[(r.nextKnown+i)%len(present)].vm
		vm.Incarnation = ""
		list = append(list, vm)
	}
	r.nextKnown += count
	return list
}

// ReadsLog reports whether this VM is a reader of the log for its failure domain.
// In a small fleet all VMs read the log. VMs whose rosters differ may choose more or
// fewer readers, which changes only the load.
func (r *Roster) ReadsLog(now time.Duration) bool {
	if len(r.members) < r.settings.SmallFleet {
		return true
	}
	own := readerRank(r.self)
	before := 0
	for _, m := range r.Live(now) {
		neighbour := m.vm.FailureDomain == r.self.FailureDomain && !m.vm.Leaving
		if neighbour && readerRank(m.vm) < own {
			before++
		}
	}
	return before < r.settings.LogReaders
}

// readerRank orders the VMs of a failure domain for the choice of log readers. The
// order is the same on all VMs.
func readerRank(vm VM) uint64 { return xxhash.Sum64String(vm.Address) }

// targetRank orders members for the choice of relays. The order differs from VM to
// VM, which spreads the introductions over the members.
func (r *Roster) targetRank(m *Member) uint64 {
	return xxhash.Sum64String(r.self.Address + "\x00" + m.vm.Address)
}
