package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

// holders returns how many VMs hold the lease, and how many take one for its holder.
func (n *network) holders() (holding, followed int) {
	for _, f := range n.vms {
		if _, holds := f.lease.Holds(n.now); holds {
			holding++
		}
		if f.lease.Newest().Holder != "" {
			followed++
		}
	}
	return holding, followed
}

// TestDutiesEndWithTheEra lets one VM learn that the log was restored. It guards against a holder that goes on
// until it reaches the log itself, against late news of its former lease, and against news of the next holder, at lower offsets,
// that count as old.
func TestDutiesEndWithTheEra(t *testing.T) {
	for _, count := range []int{7, 60} {
		n := newNetwork(t, count)
		former, next := n.vms[3], n.vms[5]
		n.grantAt(former, sycfeed.Position{Offset: 500})
		n.run(time.Second)
		late := former.State("vm1")
		holding, followed := n.holders()
		must.Eq(t, 1, holding)
		must.Eq(t, count, followed)
		n.vms[4].endDuties(n.now, 1)
		n.run(maxHops * relayPeriod)
		n.vms[1].receiveState(n.now, late)
		n.run(time.Second)
		holding, followed = n.holders()
		must.Zero(t, holding+followed)
		readers := 0
		for _, f := range n.vms {
			if f.shouldReadDuty(n.now) {
				readers++
			}
		}
		must.Eq(t, readerCount, readers)
		n.grantAt(next, sycfeed.Position{Era: 1, Offset: 2})
		n.run(time.Second)
		holding, followed = n.holders()
		must.Eq(t, 1, holding)
		must.Eq(t, count, followed)
		must.Eq(t, next.options.Incarnation, n.vms[1].lease.Newest().Holder)
		must.Greater(t, 500, next.lease.Term())
	}
}
