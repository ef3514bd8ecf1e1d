package sycmember

import (
	"cmp"
	"slices"
	"time"
)

// targets returns the members that this VM introduces itself to: all members of
// its failure domain, and the relays of each other domain. In a small fleet it
// returns all members that are not gone. The result is cached.
func (r *Roster) targets() []*Member {
	if r.cachedTargets == nil {
		r.cachedTargets = r.selectTargets()
	}
	return r.cachedTargets
}

// selectTargets computes the result of targets from the roster.
func (r *Roster) selectTargets() []*Member {
	present := r.Present()
	if len(present) < r.settings.SmallFleet {
		return present
	}
	sameDomain := []*Member{}
	otherDomains := map[string][]*Member{}
	for _, m := range present {
		if m.vm.FailureDomain == r.self.FailureDomain {
			sameDomain = append(sameDomain, m)
			continue
		}
		otherDomains[m.vm.FailureDomain] = append(otherDomains[m.vm.FailureDomain], m)
	}
	return append(sameDomain, r.relays(otherDomains)...)
}

// relays returns the Settings.Relays members of each domain that come first by
// targetRank, ordered by address.
func (r *Roster) relays(otherDomains map[string][]*Member) []*Member {
	var list []*Member
	for _, members := range otherDomains {
		slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(r.targetRank(a), r.targetRank(b)) })
		list = append(list, members[:min(len(members), r.settings.Relays)]...)
	}
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.vm.Address, b.vm.Address) })
	return list
}

// interval returns the time between introductions to one VM: it grows with the
// number of targets so that IntroductionRate holds.
func (r *Roster) interval() time.Duration {
	spread := float64(len(r.targets())) / r.settings.IntroductionRate
	return max(r.settings.IntroductionInterval, time.Duration(spread*float64(time.Second)))
}

// Due returns the addresses of the VMs that this VM must introduce itself to now,
// and counts these introductions as sent. New members are due at once.
func (r *Roster) Due(now time.Duration) []string {
	if !r.introduced {
		r.introduced, r.firstIntroduction = true, now
	}
	interval := r.interval()
	var list []string
	for _, m := range r.targets() {
		if m.nextIntroduction > now {
			continue
		}
		m.nextIntroduction = now + interval
		list = append(list, m.vm.Address)
	}
	return list
}

// hasteFactor divides the time until the next introduction while this VM waits
// for reports.
const hasteFactor = 10

// HastenIntroductions makes the introductions to all members of this failure
// domain due within a tenth of the usual interval. Callers use it while they wait
// for the members' reports.
func (r *Roster) HastenIntroductions(now time.Duration) {
	soon := now + r.interval()/hasteFactor
	for _, m := range r.members {
		if m.vm.FailureDomain == r.self.FailureDomain {
			m.nextIntroduction = min(m.nextIntroduction, soon)
		}
	}
}
