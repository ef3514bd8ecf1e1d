package sycmember

import (
	"cmp"
	"slices"
	"time"
)

// targets returns the members that this VM introduces itself to: all of its
// failure domain, and the relays of each other domain.
func (r *Roster) targets() []*Member {
	if r.cached == nil {
		r.cached = r.choose()
	}
	return r.cached
}

func (r *Roster) choose() []*Member {
	present := r.Present()
	if len(present) < r.settings.SmallFleet {
		return present
	}
	near := []*Member{}
	far := map[string][]*Member{}
	for _, m := range present {
		if m.vm.FailureDomain == r.self.FailureDomain {
			near = append(near, m)
			continue
		}
		far[m.vm.FailureDomain] = append(far[m.vm.FailureDomain], m)
	}
	return append(near, r.relays(far)...)
}

// relays returns the first few VMs of each domain by this VM's own ranking.
func (r *Roster) relays(far map[string][]*Member) []*Member {
	var list []*Member
	for _, members := range far {
		slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(r.rank(a), r.rank(b)) })
		list = append(list, members[:min(len(members), r.settings.Relays)]...)
	}
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.vm.Address, b.vm.Address) })
	return list
}

// interval is the time between introductions to one VM.
func (r *Roster) interval() time.Duration {
	spread := float64(len(r.targets())) / r.settings.IntroductionRate
	return max(r.settings.IntroductionInterval, time.Duration(spread*float64(time.Second)))
}

// Due returns the addresses that an introduction must go to now. It goes to a
// new member at once.
func (r *Roster) Due(now time.Duration) []string {
	if !r.introduced {
		r.introduced, r.firstHello = true, now
	}
	interval := r.interval()
	var list []string
	for _, m := range r.targets() {
		if m.due > now {
			continue
		}
		m.due = now + interval
		list = append(list, m.vm.Address)
	}
	return list
}

// hasteFactor is how much more often a VM introduces itself while it waits for
// reports.
const hasteFactor = 10

// HastenIntroductions makes introductions to the own failure domain due soon, because a
// report from it is waited for.
func (r *Roster) HastenIntroductions(now time.Duration) {
	soon := now + r.interval()/hasteFactor
	for _, m := range r.members {
		if m.vm.FailureDomain == r.self.FailureDomain {
			m.due = min(m.due, soon)
		}
	}
}
