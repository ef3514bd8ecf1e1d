package sycquota

import "time"

// member is another VM of the fleet.
type member struct {
	// incarnation identifies the member's process. It is empty until the first
	// report.
	incarnation string
	// heardAt is the time up to which the member's usage is known here, at first when the
	// member was added.
	heardAt time.Duration
	// spent is the total cost in the member's last report, by customer.
	spent map[string]float64
	// charged is the cost, by customer, that was charged here for this member's
	// silence. It is refunded once the member is heard of again.
	charged map[string]float64
}

// SetMembers sets the names of the other VMs of the fleet, and of those that are leaving it.
func (r *Limiter) SetMembers(now time.Duration, names []string, leaving ...string) {
	members, left := map[string]*member{}, map[string]*member{}
	for _, name := range names {
		members[name] = r.memberOf(now, name)
	}
	for _, name := range leaving {
		left[name] = r.memberOf(now, name)
	}
	r.members, r.leaving = members, left
	r.checkAt = 0
}

// memberOf returns the member with a name, a new one if there is none.
func (r *Limiter) memberOf(now time.Duration, name string) *member {
	if m := r.reporter(name); m != nil {
		return m
	}
	return &member{heardAt: now, spent: map[string]float64{}, charged: map[string]float64{}}
}

// reporter returns the VM with a name whose reports count, nil if there is none.
func (r *Limiter) reporter(name string) *member {
	if m := r.members[name]; m != nil {
		return m
	}
	return r.leaving[name]
}

// setIncarnation sets the member's process, which begins without usage.
func (m *member) setIncarnation(incarnation string) {
	if m.incarnation == incarnation {
		return
	}
	if m.incarnation != "" {
		m.spent = map[string]float64{}
	}
	m.incarnation = incarnation
}
