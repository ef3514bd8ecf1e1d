package sycmember

import "time"

// maxOffsetReports limits the offsets that are kept of each member.
const maxOffsetReports = 64

// recordOffsets stores the offsets of a report and the time of its receipt. If
// there are too many, the oldest are discarded, which can only make firstReached
// return a later time than the true time.
func (m *Member) recordOffsets(now time.Duration, report Report) {
	m.offsetReports = append(m.offsetReports, offsetReport{
		at:         now,
		configNext: report.ConfigNext,
		systemNext: report.SystemNext,
	})
	if len(m.offsetReports) > maxOffsetReports {
		m.offsetReports = m.offsetReports[1:]
	}
}

// firstReached returns when the member's current process first reported at least
// the given offsets. The result is false if no stored report has them.
func (m *Member) firstReached(configNext, systemNext uint64) (time.Duration, bool) {
	for _, a := range m.offsetReports {
		if a.configNext >= configNext && a.systemNext >= systemNext {
			return a.at, true
		}
	}
	return 0, false
}

// gone reports whether the platform's list hasn't shown m for longer than ListLag
// and no message came from m in the ListLag before the last of these readings.
func (r *Roster) gone(m *Member) bool {
	lag := r.settings.ListLag
	if !m.absent || m.absentTo-m.absentFrom <= lag {
		return false
	}
	return !m.seen || m.absentTo-m.lastSeen > lag
}

// Gone reports whether the platform seems to have removed the VM at an address.
// It returns false for an address that is not on the roster.
func (r *Roster) Gone(address string) bool {
	i, found := r.search(address)
	return found && r.gone(r.members[i])
}

// GoneSince reports whether no VM at the address can act on state older than the
// given offsets. The VM must be gone, and it must be missing from a reading of the
// list that began more than ListLag after every other VM of this failure domain
// had reached the offsets. The second condition covers a new VM that reuses the
// address: it registers with the platform before it asks the other VMs for their
// offsets, so if it isn't listed yet it will still receive the given offsets.
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
		at, ok := other.firstReached(configNext, systemNext)
		if !ok || m.absentTo-at <= r.settings.ListLag {
			return false
		}
	}
	return true
}
