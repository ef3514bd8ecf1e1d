package sycmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Roster is what one VM knows of the others. It must be driven from one
// goroutine with times that do not decrease.
type Roster struct {
	self     VM
	settings Settings
	// members is ordered by address and does not hold self.
	members []*Member
	// expected holds the addresses that slot tables name; they stay on the
	// roster also when they are gone.
	expected map[string]bool
	// listed reports whether the list has been read, and selfAbsent since when
	// the readings have not shown this VM.
	listed      bool
	selfMissing bool
	selfAbsent  time.Duration
	lastReading time.Duration
	// firstHello is when this VM began to introduce itself; valid if
	// introduced is set.
	introduced bool
	firstHello time.Duration
	// restarted is when this VM last noticed that it had stood still.
	restarted time.Duration
	// advanced is when a report of the own failure domain last differed from
	// the one before.
	advanced time.Duration
	// cached holds the targets of introductions, nil when they must be chosen
	// anew.
	cached []*Member
	// next is the rotating start of what reports pass on.
	next int
}

// New returns a roster that knows only the VM itself.
func New(self VM, s Settings) *Roster {
	return &Roster{self: self, settings: s.Defaults(), expected: map[string]bool{}}
}

// Self names the VM that the roster belongs to.
func (r *Roster) Self() VM { return r.self }

// ApplyList takes a reading of the platform's list that began at a time. A
// reading that does not show this VM says nothing of others: the list has lost
// its entries, or this VM is the one that was removed.
func (r *Roster) ApplyList(began time.Duration, list []VM) {
	if began < r.restarted {
		return
	}
	r.listed = true
	r.lastReading = began
	shown := make(map[string]bool, len(list))
	for _, vm := range list {
		shown[vm.Address] = true
	}
	if !shown[r.self.Address] {
		r.missSelf(began)
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
			m.miss(began)
		}
	}
	r.prune()
}

func (r *Roster) missSelf(now time.Duration) {
	if !r.selfMissing {
		r.selfMissing = true
		r.selfAbsent = now
	}
}

func (m *Member) miss(now time.Duration) {
	if !m.absent {
		m.absent = true
		m.absentFrom = now
	}
	m.absentTo = now
}

// ResetAfterPause notes that this VM has stood still for so long that others may have
// taken it for gone. It knows as little as after its start: reports and readings
// that were asked for earlier no longer count.
func (r *Roster) ResetAfterPause(now time.Duration) {
	r.restarted = now
	r.listed = false
	r.selfMissing = false
	r.introduced = false
	for _, m := range r.members {
		m.known = false
		m.advances = nil
		m.absent = false
		m.due = now
	}
}

// ListLag bounds the age of what the platform's list shows.
func (r *Roster) ListLag() time.Duration { return r.settings.ListLag }

// Complete reports whether the roster can be relied on to hold every VM of the
// failure domain that registered before this one: the list has been read, or
// it is out of reach and the fleet is so small that answers to introductions
// name all of it.
func (r *Roster) Complete(now time.Duration) bool {
	if r.listed {
		return !r.selfMissing
	}
	return r.introduced && now-r.firstHello > r.settings.ListLag && len(r.members) < r.settings.SmallFleet
}

// Removed reports whether the platform has removed this VM from its list.
func (r *Roster) Removed() bool {
	return r.selfMissing && r.lastReading-r.selfAbsent > 2*r.settings.ListLag
}

// ReceiveIntroduction takes an introduction by another VM. It is a sign of life; what the VM
// acts on counts only when it answers this one, because an introduction may
// have been under way for long.
func (r *Roster) ReceiveIntroduction(now time.Duration, vm VM) {
	if m := r.add(vm); m != nil {
		m.meet(now, vm)
	}
}

// ApplyReport takes a VM's answer to an introduction that was sent at a time.
func (r *Roster) ApplyReport(now, sent time.Duration, report Report) {
	for _, vm := range report.Known {
		r.add(vm)
	}
	m := r.add(report.VM)
	if m == nil {
		return
	}
	if sent < r.restarted || m.alive && sent < m.since {
		return
	}
	m.meet(now, report.VM)
	if m.differs(report) {
		m.advance(now, report)
		if report.VM.FailureDomain == r.self.FailureDomain {
			r.advanced = now
		}
	}
	m.report = report
	m.report.Known = nil
	m.known = true
}

// meet notes a sign of life, and forgets what a former process reported.
func (m *Member) meet(now time.Duration, vm VM) {
	if m.vm.Incarnation != vm.Incarnation {
		m.since = now
		m.known = false
		m.advances = nil
	}
	m.vm = vm
	m.heard = now
	m.alive = true
}

func (m *Member) differs(next Report) bool {
	return !m.known ||
		m.report.ConfigNext != next.ConfigNext || m.report.SystemNext != next.SystemNext
}

// Expect puts the VMs that slot tables name on the roster.
func (r *Roster) Expect(vms []VM) {
	clear(r.expected)
	for _, vm := range vms {
		r.expected[vm.Address] = true
		r.add(vm)
	}
	r.prune()
}

// add returns the member with an address, new if need be; nil for the VM
// itself and when the roster is full.
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
	r.cached = nil
	r.members = slices.Insert(r.members, i, m)
	return m
}

func (r *Roster) search(address string) (int, bool) {
	return slices.BinarySearchFunc(r.members, address, func(m *Member, a string) int {
		return cmp.Compare(m.vm.Address, a)
	})
}

// prune drops the members that are gone and that no slot table names.
func (r *Roster) prune() {
	r.cached = nil
	r.members = slices.DeleteFunc(r.members, func(m *Member) bool {
		return r.gone(m) && m.absentTo-r.advanced > r.settings.ListLag && !r.expected[m.vm.Address]
	})
}

// Leave notes that this VM is leaving; its introductions say so from then on.
func (r *Roster) Leave() { r.self.Leaving = true }

// Leaving reports whether the VM at an address, which may be this one, is
// leaving by the list or by its own word.
func (r *Roster) Leaving(address string) bool {
	if address == r.self.Address {
		return r.self.Leaving
	}
	i, found := r.search(address)
	return found && r.members[i].vm.Leaving
}

// Members returns all members, also those that are gone, ordered by address.
func (r *Roster) Members() []*Member { return r.members }

// Present returns the members that are not gone, ordered by address.
func (r *Roster) Present() []*Member {
	return r.filter(func(m *Member) bool { return !r.gone(m) })
}

// Live returns the members that have reported lately, ordered by address.
func (r *Roster) Live(now time.Duration) []*Member {
	silence := time.Duration(r.settings.SilentIntervals * float64(r.interval()))
	return r.filter(func(m *Member) bool { return m.alive && now-m.heard <= silence })
}

func (r *Roster) filter(keep func(*Member) bool) []*Member {
	var list []*Member
	for _, m := range r.members {
		if keep(m) {
			list = append(list, m)
		}
	}
	return list
}

// Known returns members to pass on, all or different ones each time. Their
// incarnations are left out: only a VM itself tells its own.
func (r *Roster) Known() []VM {
	present := r.Present()
	count := min(len(present), r.settings.KnownPerReply)
	if len(present) < r.settings.SmallFleet {
		count = len(present)
	}
	list := make([]VM, 0, count)
	for i := range count {
		vm := present[(r.next+i)%len(present)].vm
		vm.Incarnation = ""
		list = append(list, vm)
	}
	r.next += count
	return list
}

// ReadsLog reports whether this VM is one of those that read the log for their
// failure domain. In a small fleet all VMs read it. Where rosters differ, more or
// fewer VMs may believe that they are; nothing but load rests on it.
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

// readerRank orders the VMs of a failure domain in the same way on all of them.
func readerRank(vm VM) uint64 { return xxhash.Sum64String(vm.Address) }

// rank orders VMs for a purpose in a way that differs from VM to VM.
func (r *Roster) rank(m *Member) uint64 {
	return xxhash.Sum64String(r.self.Address + "\x00" + m.vm.Address)
}
