package sycversion

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// holderName returns the name under which a process of a VM holds the lease.
func holderName(address, incarnation string) string { return address + " " + incarnation }

// leaseRecord converts a lease object of the system stream to the form that package
// syclease reads.
func leaseRecord(lease sycconfig.Object[sycrecord.Lease]) syclease.Record {
	value := lease.Value()
	return syclease.Record{
		Number:   lease.Generation(),
		Fence:    lease.Offset(),
		Holder:   holderName(value.Address(), value.Incarnation()),
		Proposal: value.Proposal(),
		Duration: time.Duration(value.Duration()),
	}
}

// keepLease acquires or renews the lease if that is due and any model has versions.
func (m *Manager) keepLease(ctx context.Context) {
	if len(sycrollout.Models(m.options.Store.Config())) == 0 {
		return
	}
	due := false
	var p proposal
	m.options.Loop.Do(func(now time.Duration) {
		if due = m.lease.Due(now); due {
			p = proposal{kind: sycrecord.KindLease, name: LeaseName, expect: m.lease.LastNumber(), spec: sycrecord.LeaseFields{
				Address:     m.options.Address,
				Incarnation: m.options.Incarnation,
				Duration:    sycrecord.Duration(m.options.Lease),
				Proposal:    m.lease.Propose(now),
			}}
		}
	})
	if !due {
		return
	}
	accepted := m.propose(ctx, p)
	m.options.Loop.Do(func(now time.Duration) {
		m.lease.Settled(now, accepted)
		if lease, ok := m.options.Store.System().Lease(LeaseName); ok {
			m.lease.Apply(now, leaseRecord(lease))
		}
	})
}
