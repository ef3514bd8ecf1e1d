package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// request is the operator's request of the tests' rollouts.
var request = Rollout{Service: "s", Release: "r2", TimeLimit: time.Minute}

// fail lets a VM count failures of the release and successes of the former one.
func fail(r *rollout, count int) {
	candidate, previous := r.subjects()
	for range count {
		r.ledger.Record(sycrollout.Cell{Version: candidate.Version, Generation: candidate.Generation, Route: "r"}, sycrollout.Sample{Failed: true})
		r.ledger.Record(sycrollout.Cell{Version: previous.Version, Generation: previous.Generation, Route: "r"}, sycrollout.Sample{})
	}
}

// TestEndedRolloutIsNotJudged guards against VMs that go on comparing the releases of all rollouts that have ever ended.
func TestEndedRolloutIsNotJudged(t *testing.T) {
	n := newNetwork(t, 2)
	f := n.vms[0]
	f.startRollout(n.now, request, sycfeed.Position{Offset: 1})
	r := f.rollouts["s"]
	r.move.AdoptState(sycrelease.Completed)
	fail(r, 100)
	f.rolloutTick(n.now, false)
	must.Eq(t, "", r.failureReason)
	must.Eq(t, 1.0, r.share)
}

// TestEvidenceIsKeptForARolloutThatIsLearnedLater guards against a VM that starts during a rollout and loses the evidence that reaches it before the operator's record.
func TestEvidenceIsKeptForARolloutThatIsLearnedLater(t *testing.T) {
	n := newNetwork(t, 12)
	for _, f := range n.vms[:11] {
		f.startRollout(n.now, request, sycfeed.Position{Offset: 1})
	}
	fail(n.vms[10].rollouts["s"], 100)
	n.run(time.Second)
	n.vms[11].startRollout(n.now, request, sycfeed.Position{Offset: 1})
	n.vms[11].rolloutTick(n.now, false)
	must.NotEq(t, "", n.vms[11].rollouts["s"].failureReason)
}

// TestEvidenceOfFormerRolloutsIsDropped guards against VMs that keep and pass on the evidence of all rollouts of a service.
func TestEvidenceOfFormerRolloutsIsDropped(t *testing.T) {
	n := newNetwork(t, 12)
	kept := 0
	for offset := int64(1); offset < 4; offset++ {
		for _, f := range n.vms {
			f.startRollout(n.now, request, sycfeed.Position{Offset: offset})
			fail(f.rollouts["s"], 1)
		}
		n.run(time.Second)
		if offset == 1 {
			kept = n.vms[0].changes.Len()
		}
		must.Eq(t, kept, n.vms[0].changes.Len())
		must.MapLen(t, 2, n.vms[0].changes.evidence)
	}
}
