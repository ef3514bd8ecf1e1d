package syclease_test

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const duration = 10 * time.Second

// The interleavings are the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
}

// vm is a tracker with a clock of its own rate and a proposal on its way.
type vm struct {
	tracker *syclease.Tracker
	rate    float64
	sent    []proposal
}

// proposal is an append on its way to the log.
type proposal struct {
	fields sycrecord.LeaseFields
	expect uint64
}

func (v *vm) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * v.rate)
}

// TestOneHolder drives three VMs through appends, lost and late, late reads and
// pauses, and checks at every step that at most one may act.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []*vm
		for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			rate := 1 + rapid.Float64Range(-0.02, 0.02).Draw(t, "rate")
			vms = append(vms, &vm{tracker: syclease.NewTracker(address, "1", duration), rate: rate})
		}
		state := sycconfig.NewState()
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			v := vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			state = step(t, state, v, now)
			must.LessEq(t, 1, holders(vms, now))
		}
	})
}

func step(t *rapid.T, state *sycconfig.State, v *vm, now time.Duration) *sycconfig.State {
	switch rapid.SampledFrom([]string{"propose", "append", "read", "give up"}).Draw(t, "event") {
	case "propose":
		if v.tracker.Due(v.clock(now)) {
			fields, expect := v.tracker.Propose(v.clock(now))
			v.sent = append(v.sent, proposal{fields: fields, expect: expect})
		}
	case "append":
		if len(v.sent) > 0 {
			i := rapid.IntRange(0, len(v.sent)-1).Draw(t, "which")
			state = grant(t, state, v.sent[i])
			v.sent = append(v.sent[:i:i], v.sent[i+1:]...)
		}
	case "read":
		if lease, ok := state.Lease("rollout"); ok {
			v.tracker.Observe(v.clock(now), lease)
		}
	case "give up":
		v.tracker.Settled()
	}
	return state
}

func holders(vms []*vm, now time.Duration) int {
	n := 0
	for _, v := range vms {
		if _, ok := v.tracker.Holds(v.clock(now)); ok {
			n++
		}
	}
	return n
}

func grant(t must.T, state *sycconfig.State, p proposal) *sycconfig.State {
	spec, err := json.Marshal(p.fields)
	must.NoError(t, err)
	data, err := json.Marshal(sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		ID:     time.Duration(state.Next()).String(),
		Verb:   sycrecord.Put,
		Kind:   sycrecord.KindLease,
		Name:   "rollout",
		Expect: &p.expect,
		Spec:   spec,
	})
	must.NoError(t, err)
	next, _ := state.Apply(state.Next(), data)
	return next
}

func TestTakeover(t *testing.T) {
	first := syclease.NewTracker("127.0.0.1:1", "1", duration)
	second := syclease.NewTracker("127.0.0.1:2", "1", duration)
	must.True(t, first.Due(0))
	fields, expect := first.Propose(0)
	state := grant(t, sycconfig.NewState(), proposal{fields: fields, expect: expect})
	lease, ok := state.Lease("rollout")
	must.True(t, ok)
	first.Settled()
	first.Observe(2*time.Second, lease)
	second.Observe(3*time.Second, lease)
	tests := []struct {
		name   string
		now    time.Duration
		holds  bool
		takes  bool
		renews bool
	}{
		{"granted", 3 * time.Second, true, false, false},
		{"renewal", 4 * time.Second, true, false, true},
		{"ended for the holder", 10 * time.Second, false, false, false},
		{"not yet free for the other", 13 * time.Second, false, false, true},
		{"free", 14 * time.Second, false, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, holds := first.Holds(tt.now)
			must.Eq(t, tt.holds, holds)
			must.Eq(t, tt.takes, second.Due(tt.now))
			must.Eq(t, tt.renews, first.Due(tt.now))
		})
	}
}
