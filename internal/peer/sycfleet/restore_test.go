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

// TestRepeatedRequestIsTheSameRollout writes the request of a running rollout again. It guards against a rollout
// that starts anew because a restored log had lost its request, against a VM that has started since and takes it for
// another one, and against a new request that is ignored.
func TestRepeatedRequestIsTheSameRollout(t *testing.T) {
	again := sycfeed.Position{Era: 1, Offset: 4}
	other := request
	other.TimeLimit++
	for _, tt := range []struct {
		name    string
		request Rollout
		asked   sycfeed.Position
		after   time.Duration
		anew    bool
	}{
		{"soon", request, again, time.Second, false},
		{"at the same offset", request, sycfeed.Position{Era: 1, Offset: 9}, 2 * repeatTime, false},
		{"late", request, again, 2 * repeatTime, true},
		{"other content", other, again, time.Second, true},
		{"in the same era", request, sycfeed.Position{Offset: 10}, time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(t, 12)
			started := n.vms[11]
			for _, f := range n.vms[:11] {
				f.startRollout(n.now, request, sycfeed.Position{Offset: 9})
			}
			former := n.vms[0].rollouts["s"]
			fail(n.vms[10].rollouts["s"], 100)
			for _, f := range n.vms {
				f.endDuties(n.now, 1)
				f.startRollout(n.now+tt.after, tt.request, tt.asked)
			}
			must.Eq(t, tt.anew, n.vms[0].rollouts["s"] != former)
			must.Eq(t, tt.asked, n.vms[0].rollouts["s"].asked)
			n.run(time.Second)
			started.rolloutTick(n.now, false)
			must.Eq(t, tt.anew, started.rollouts["s"].failureReason == "")
		})
	}
}

// TestStateOfARolloutIsPublishedAgain guards against a holder that takes a state for published which a restored
// log has lost, and against one that writes it again though the restored log has it.
func TestStateOfARolloutIsPublishedAgain(t *testing.T) {
	f := newNetwork(t, 2).vms[0]
	f.startRollout(0, request, sycfeed.Position{Offset: 1})
	status := publishedStatus{RolloutReport: RolloutReport{Service: "s", Release: request.Release, State: RolloutCompleted}}
	f.applyStatus(status)
	must.Eq(t, RolloutCompleted, f.rollouts["s"].published)
	f.endDuties(0, 2)
	must.Eq(t, "", f.rollouts["s"].published)
	must.Eq(t, "completed", string(f.rollouts["s"].move.State()))
	f.applyStatus(status)
	must.Eq(t, "", f.rollouts["s"].published)
	status.era = 2
	f.applyStatus(status)
	must.Eq(t, RolloutCompleted, f.rollouts["s"].published)
}

// TestVMsRegisterAgain guards against VMs whose records a restored log lacks and that don't write them again, do so
// all at once, or do so though the log has them.
func TestVMsRegisterAgain(t *testing.T) {
	const step, maxTogether = 100 * time.Millisecond, 10
	n := newNetwork(t, 60)
	for i, f := range n.vms {
		self := sycfeed.Record{Position: sycfeed.Position{Offset: int64(i)}, Key: f.options.Address, Value: []byte(`{}`)}
		s := f.subscriptions[TopicVMs]
		s.Read(n.now, []sycfeed.Record{self}, sycfeed.Position{Offset: 60})
		f.peers.selfListed, f.options.Log = f.options.Incarnation, silentLog{}
		f.endDuties(n.now, 1)
		var kept []sycfeed.Record
		if i == 0 {
			kept = append(kept, self)
			kept[0].Position.Era = 1
		}
		s.Replace(n.now, kept, sycfeed.Position{Era: 1, Offset: 1})
	}
	written := map[int]int{}
	for end := n.now + registerPause; n.now <= end+step; n.now += step {
		together := 0
		for i, f := range n.vms {
			if f.register(n.now); f.registeredAt == n.now {
				written[i]++
				together++
			}
		}
		must.LessEq(t, maxTogether, together)
	}
	must.MapLen(t, 59, written)
	must.MapNotContainsKey(t, written, 0)
}
