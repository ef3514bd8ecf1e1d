package syclease_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
)

const duration = 10 * time.Second

// The interleavings are the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
}

// ledger is a log that takes a record only for the number that it expects.
type ledger struct{ records []syclease.Record }

func (g *ledger) append(r syclease.Record) bool {
	if r.Number != uint64(len(g.records))+1 {
		return false
	}
	r.Fence = 100 + r.Number
	g.records = append(g.records, r)
	return true
}

// read has a lease read all records that it doesn't know.
func (g *ledger) read(now time.Duration, l *syclease.Lease) {
	for _, r := range g.records[l.LastNumber():] {
		l.Apply(now, r)
	}
	l.ReachedEnd(now, uint64(len(g.records)))
}

// newLease returns the lease of a VM whose log keeps all records.
func newLease(self string, delay time.Duration) *syclease.Lease {
	return syclease.New(syclease.Options{Self: self, Duration: duration, Delay: delay})
}

// newForgetful returns the lease of a VM whose log forgets.
func newForgetful(self string, delay time.Duration) *syclease.Lease {
	return syclease.New(syclease.Options{Self: self, Duration: duration, Delay: delay, LimitedRetention: true})
}

// propose returns the record of an append that starts now.
func propose(now time.Duration, l *syclease.Lease, self string) syclease.Record {
	return syclease.Record{Number: l.LastNumber() + 1, Holder: self, Proposal: l.Propose(now), Duration: duration}
}

// release returns the record that gives a lease up.
func release(l *syclease.Lease, self string) syclease.Record {
	return syclease.Record{Number: l.LastNumber() + 1, Holder: self, Released: true}
}

// vm is a lease with a clock of its own rate and proposals on their way.
type vm struct {
	lease *syclease.Lease
	name  string
	rate  float64
	sent  []syclease.Record
}

func (v *vm) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * v.rate)
}

// TestOneHolder drives three VMs through appends, lost and late, late reads, releases and
// pauses, and checks at every step that at most one may act.
func TestOneHolder(t *testing.T) {
	for _, open := range []func(string, time.Duration) *syclease.Lease{newLease, newForgetful} {
		rapid.Check(t, func(t *rapid.T) {
			var vms []*vm
			for _, name := range []string{"a", "b", "c"} {
				rate := 1 + rapid.Float64Range(-0.02, 0.02).Draw(t, "rate")
				vms = append(vms, &vm{lease: open(name, 0), name: name, rate: rate})
			}
			g := &ledger{}
			now := time.Duration(0)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				step(t, g, vms[rapid.IntRange(0, 2).Draw(t, "vm")], now)
				must.LessEq(t, 1, holders(vms, now))
			}
		})
	}
}

func step(t *rapid.T, g *ledger, v *vm, now time.Duration) {
	events := []string{"propose", "propose", "propose", "append", "append", "append", "read", "read", "read", "give up", "resign"}
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "propose":
		if v.lease.Due(v.clock(now)) {
			v.sent = append(v.sent, propose(v.clock(now), v.lease, v.name))
		}
	case "append":
		if len(v.sent) > 0 {
			i := rapid.IntRange(0, len(v.sent)-1).Draw(t, "which")
			g.append(v.sent[i])
			v.sent = append(v.sent[:i:i], v.sent[i+1:]...)
		}
	case "read":
		g.read(v.clock(now), v.lease)
	case "give up":
		v.lease.Settled(v.clock(now), false)
	case "resign":
		if rapid.IntRange(0, 9).Draw(t, "resigns") == 0 && v.lease.Resign(v.clock(now)) {
			v.sent = append(v.sent, release(v.lease, v.name))
		}
	}
}

func holders(vms []*vm, now time.Duration) int {
	n := 0
	for _, v := range vms {
		if _, ok := v.lease.Holds(v.clock(now)); ok {
			n++
		}
	}
	return n
}

func TestTakeover(t *testing.T) {
	first, second := newLease("a", 0), newLease("b", 0)
	must.True(t, first.Due(0))
	g := &ledger{}
	must.True(t, g.append(propose(0, first, "a")))
	first.Settled(0, true)
	g.read(2*time.Second, first)
	g.read(3*time.Second, second)
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

// TestForgetfulLogIsWaitedOut starts a VM that finds no record.
func TestForgetfulLogIsWaitedOut(t *testing.T) {
	l := newForgetful("a", 0)
	must.False(t, l.Due(time.Hour), must.Sprint("nothing was read"))
	l.ReachedEnd(time.Hour, 7)
	must.False(t, l.Due(time.Hour+duration), must.Sprint("a new VM can't know who held the lease before"))
	must.True(t, l.Due(time.Hour+duration+duration/10))
	must.Eq(t, 7, l.LastNumber())
}

func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	g := &ledger{}
	a, b := newForgetful("a", 0), newForgetful("b", 100*time.Millisecond)
	g.read(0, a)
	g.read(0, b)
	now := 2 * duration
	must.True(t, g.append(propose(now, a, "a")))
	a.Settled(now, true)
	g.read(now, a)
	must.True(t, a.Resign(now+time.Second))
	_, holds := a.Holds(now + time.Second)
	must.False(t, holds)
	must.False(t, a.Due(now+time.Hour))
	must.True(t, g.append(release(a, "a")))
	g.read(now+time.Second, a)
	must.True(t, a.Released())
	g.read(now+time.Second, b)
	must.False(t, b.Due(now+time.Second))
	now += time.Second + 100*time.Millisecond
	must.True(t, b.Due(now))
	must.True(t, g.append(propose(now, b, "b")))
	g.read(now, b)
	fence, holds := b.Holds(now)
	must.True(t, holds)
	must.Eq(t, 103, fence)
	must.Eq(t, 103, b.Term())
}

func TestFailedAppendIsNotRepeatedAtOnce(t *testing.T) {
	a := newLease("a", 0)
	must.True(t, a.Due(4*time.Second))
	a.Propose(4 * time.Second)
	must.False(t, a.Due(4*time.Second))
	a.Settled(4*time.Second, false)
	must.False(t, a.Due(4200*time.Millisecond))
	must.True(t, a.Due(4400*time.Millisecond))
}

// TestLateAppendCountsFromItsStart grants an append that was given up, and one that the VM
// knows nothing of.
func TestLateAppendCountsFromItsStart(t *testing.T) {
	g := &ledger{}
	a := newLease("a", 0)
	r := propose(4*time.Second, a, "a")
	a.Settled(5*time.Second, false)
	again := propose(6*time.Second, a, "a")
	must.True(t, g.append(r))
	must.False(t, g.append(again))
	g.read(9*time.Second, a)
	_, ok := a.Holds(4*time.Second + duration - 1)
	must.True(t, ok)
	_, ok = a.Holds(4*time.Second + duration)
	must.False(t, ok)
	must.True(t, g.append(syclease.Record{Number: 2, Holder: "a", Proposal: 99}))
	g.read(10*time.Second, a)
	_, ok = a.Holds(10 * time.Second)
	must.False(t, ok)
}

// TestTerm follows the lowest fencing number of a holding over renewals, other
// holders and records that the VM has not read one by one.
func TestTerm(t *testing.T) {
	tests := []struct {
		name string
		// holders of the records with the numbers 1, 2, …
		holders []string
		// read lists the numbers that the VM reads.
		read []uint64
		want uint64
	}{
		{"first", []string{"a"}, []uint64{1}, 101},
		{"renewed", []string{"b", "a", "a", "a"}, []uint64{1, 2, 3, 4}, 102},
		{"lost and taken again", []string{"a", "a", "b", "a"}, []uint64{1, 2, 3, 4}, 104},
		{"not all were read", []string{"a", "b", "a"}, []uint64{1, 3}, 103},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLease("a", 0)
			g := &ledger{}
			for i, holder := range tt.holders {
				must.True(t, g.append(syclease.Record{Number: uint64(i) + 1, Holder: holder}))
			}
			for _, n := range tt.read {
				l.Apply(0, g.records[n-1])
			}
			must.Eq(t, tt.want, l.Term())
		})
	}
}

// lateAppend is an append that takes effect some time after it was sent.
type lateAppend struct {
	due    time.Duration
	record syclease.Record
}

// TestNeverTwoHolders plays VMs whose appends take effect late or whose answers
// are lost, and which stand still, and checks that no two hold at a time and
// that fencing numbers and terms never fall.
func TestNeverTwoHolders(t *testing.T) {
	const second, tick = time.Second, 50 * time.Millisecond
	names := []string{"a", "b", "c"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := &ledger{}
		var leases []*syclease.Lease
		for _, name := range names {
			leases = append(leases, syclease.New(syclease.Options{Self: name, Duration: 3 * second, LimitedRetention: true}))
		}
		frozen := make([]time.Duration, len(leases))
		var lates []lateAppend
		held, last, term := 0, uint64(0), uint64(0)
		for now := time.Duration(0); now < 60*second; now += tick {
			for i := range lates {
				if lates[i].due <= now {
					g.append(lates[i].record)
					lates[i].due = 1 << 62
				}
			}
			holding := 0
			for i, l := range leases {
				if fence, ok := l.Holds(now); ok {
					holding++
					held++
					must.LessEq(t, fence, last)
					must.LessEq(t, l.Term(), term)
					must.LessEq(t, fence, l.Term())
					last, term = fence, l.Term()
				}
				if frozen[i] > now {
					continue
				}
				if random.IntN(100) == 0 {
					frozen[i] = now + time.Duration(random.IntN(8000))*time.Millisecond
					continue
				}
				if random.IntN(3) == 0 {
					g.read(now, l)
				}
				if !l.Due(now) {
					continue
				}
				r := propose(now, l, names[i])
				r.Duration = 0
				l.Settled(now, true)
				if random.IntN(3) == 0 {
					lates = append(lates, lateAppend{now + time.Duration(random.IntN(6000))*time.Millisecond, r})
					continue
				}
				g.append(r)
			}
			must.LessEq(t, 1, holding, must.Sprintf("seed %d at %v", seed, now))
		}
		must.Positive(t, held)
	}
}
