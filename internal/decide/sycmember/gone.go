package sycmember

import "time"

// maxAdvances bounds the reports that are remembered of a member.
const maxAdvances = 64

// advance remembers when a report with new offsets came. Of the oldest two the
// earlier is forgotten, which only makes offsets seem to be reached later.
func (m *Member) advance(now time.Duration, report Report) {
	m.advances = append(m.advances, advance{
		at:         now,
		configNext: report.ConfigNext,
		systemNext: report.SystemNext,
	})
	if len(m.advances) > maxAdvances {
		m.advances = m.advances[1:]
	}
}

// reached is when a report of the present process first had at least the given
// offsets; false if none had.
func (m *Member) reached(configNext, systemNext uint64) (time.Duration, bool) {
	for _, a := range m.advances {
		if a.configNext >= configNext && a.systemNext >= systemNext {
			return a.at, true
		}
	}
	return 0, false
}

// gone reports whether the list has not shown a VM for longer than its lag,
// while the VM gave no sign of life.
func (r *Roster) gone(m *Member) bool {
	lag := r.settings.ListLag
	if !m.absent || m.absentTo-m.absentFrom <= lag {
		return false
	}
	return !m.alive || m.absentTo-m.heard > lag
}

// Gone reports whether the VM at an address seems to be removed; false for one
// that is not on the roster.
func (r *Roster) Gone(address string) bool {
	i, found := r.search(address)
	return found && r.gone(r.members[i])
}

// GoneSince reports whether no VM at an address can act on a state older than
// the given offsets. Besides being gone, a reading of the list that began more
// than the lag after every other VM of the failure domain had reached the offsets
// must not show it: a VM at a reused address registers before it compares its
// state with theirs, and after that it learns of the offsets from them.
func (r *Roster) GoneSince(address string, configNext, systemNext uint64) bool {
	i, found := r.search(address)
	if !found || !r.gone(r.members[i]) {
		return false
	}
	m := r.members[i]
	for _, other := range r.members {
		if other == m || other.vm.FailureDomain != r.self.FailureDomain || r.gone(other) {
			continue
		}
		at, ok := other.reached(configNext, systemNext)
		if !ok || m.absentTo-at <= r.settings.ListLag {
			return false
		}
	}
	return true
}
