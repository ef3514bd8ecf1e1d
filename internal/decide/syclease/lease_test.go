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

// duration is Options.Duration in most tests.
const duration = 10 * time.Second

// The interleavings are the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.nofailfile", "true")
}

// fakeLog is a log that accepts a record only with the next number.
type fakeLog struct{ records []syclease.Record }

// append stores a record with a fence of 100 plus its number, and returns false if its
// number isn't the next one.
func (g *fakeLog) append(r syclease.Record) bool {
	if r.Number != uint64(len(g.records))+1 {
		return false
	}
	r.Fence = 100 + r.Number
	g.records = append(g.records, r)
	return true
}

// read applies all records to l that it doesn't have, as read at the time now.
func (g *fakeLog) read(now time.Duration, l *syclease.Lease) {
	for _, r := range g.records[l.LastNumber():] {
		l.Apply(now, r)
	}
	l.ReachedEnd(now, uint64(len(g.records)))
}

// newLease returns the lease of a VM whose log keeps all records.
func newLease(self string, delay time.Duration) *syclease.Lease {
	return syclease.New(syclease.Options{Self: self, Duration: duration, Delay: delay})
}

// newLimitedRetention returns the lease of a VM whose log keeps records for a limited
// time.
func newLimitedRetention(self string, delay time.Duration) *syclease.Lease {
	return syclease.New(syclease.Options{Self: self, Duration: duration, Delay: delay, LimitedRetention: true})
}

// propose returns the record of an append by l that starts now.
func propose(now time.Duration, l *syclease.Lease, self string) syclease.Record {
	return syclease.Record{Number: l.LastNumber() + 1, Holder: self, Proposal: l.Propose(now), Duration: duration}
}

// release returns the record that gives a lease up.
func release(l *syclease.Lease, self string) syclease.Record {
	return syclease.Record{Number: l.LastNumber() + 1, Holder: self, Released: true}
}

// vm is a VM with a lease, a clock of its own rate, and appends that have not taken
// effect.
type vm struct {
	lease *syclease.Lease
	// name is the VM's Options.Self.
	name string
	// rate is the speed of the VM's clock relative to the test's time.
	rate float64
	// sent holds the records of the appends that have not taken effect.
	sent []syclease.Record
}

// clock returns the time on the VM's clock.
func (v *vm) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * v.rate)
}

// TestOneHolder checks at every step that at most one of three VMs holds the lease while
// appends are lost or take effect late, records are read late, VMs resign and processes
// are paused.
func TestOneHolder(t *testing.T) {
	for _, open := range []func(string, time.Duration) *syclease.Lease{newLease, newLimitedRetention} {
		rapid.Check(t, func(t *rapid.T) {
			var vms []*vm
			for _, name := range []string{"a", "b", "c"} {
				rate := 1 + rapid.Float64Range(-0.02, 0.02).Draw(t, "rate")
				vms = append(vms, &vm{lease: open(name, 0), name: name, rate: rate})
			}
			g := &fakeLog{}
			now := time.Duration(0)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				step(t, g, vms[rapid.IntRange(0, 2).Draw(t, "vm")], now)
				must.LessEq(t, 1, holders(vms, now))
			}
		})
	}
}

// step performs a random event at a VM.
func step(t *rapid.T, g *fakeLog, v *vm, now time.Duration) {
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

// holders returns the number of VMs that hold the lease.
func holders(vms []*vm, now time.Duration) int {
	n := 0
	for _, v := range vms {
		if _, ok := v.lease.Holds(v.clock(now)); ok {
			n++
		}
	}
	return n
}

// TestTakeover checks when a holder renews, when its lease ends, and when another VM may
// take it.
func TestTakeover(t *testing.T) {
	first, second := newLease("a", 0), newLease("b", 0)
	must.True(t, first.Due(0))
	g := &fakeLog{}
	must.True(t, g.append(propose(0, first, "a")))
	first.Settled(0, true)
	g.read(2*time.Second, first)
	g.read(3*time.Second, second)
	tests := []struct {
		name string
		now  time.Duration
		// holds is set if the first VM holds the lease at the time now.
		holds bool
		// takes and renews are set if an append of the second and of the first VM is due.
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

// TestWaitsIfRecordsMayBeDiscarded checks that a VM that finds no record in a log of
// limited retention waits for a lease's duration and margin before it asks.
func TestWaitsIfRecordsMayBeDiscarded(t *testing.T) {
	l := newLimitedRetention("a", 0)
	must.False(t, l.Due(time.Hour), must.Sprint("nothing was read"))
	l.ReachedEnd(time.Hour, 7)
	must.False(t, l.Due(time.Hour+duration), must.Sprint("a new VM can't know who held the lease before"))
	must.True(t, l.Due(time.Hour+duration+duration/10))
	must.Eq(t, 7, l.LastNumber())
}

// TestReleasedLeaseIsFreeAtOnce checks that another VM waits only its delay after a release,
// and that the VM that resigned doesn't ask again.
func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	g := &fakeLog{}
	a, b := newLimitedRetention("a", 0), newLimitedRetention("b", 100*time.Millisecond)
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

// TestFailedAppendIsNotRepeatedAtOnce checks the delay after a failed append.
func TestFailedAppendIsNotRepeatedAtOnce(t *testing.T) {
	a := newLease("a", 0)
	must.True(t, a.Due(4*time.Second))
	a.Propose(4 * time.Second)
	must.False(t, a.Due(4*time.Second))
	a.Settled(4*time.Second, false)
	must.False(t, a.Due(4200*time.Millisecond))
	must.True(t, a.Due(4400*time.Millisecond))
}

// TestLateAppendCountsFromItsStart checks that a lease granted by an append that the VM had
// given up ends a duration after the append's start, and that a record with the VM's name
// and an unknown proposal number grants nothing.
func TestLateAppendCountsFromItsStart(t *testing.T) {
	g := &fakeLog{}
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

// TestTerm checks Term after renewals, after another holder, and if the VM has not read all
// records.
func TestTerm(t *testing.T) {
	tests := []struct {
		name string
		// holders are the holders of the records with the numbers 1, 2, …
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
			g := &fakeLog{}
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
	// due is the time at which the log gets the record.
	due    time.Duration
	record syclease.Record
}

// TestNeverTwoHolders checks that no two VMs hold the lease at the same time, and that
// fencing numbers and terms never decrease, while appends take effect late or their results
// are lost, and processes are paused.
func TestNeverTwoHolders(t *testing.T) {
	const second, tick = time.Second, 50 * time.Millisecond
	names := []string{"a", "b", "c"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := &fakeLog{}
		var leases []*syclease.Lease
		for _, name := range names {
			leases = append(leases, syclease.New(syclease.Options{Self: name, Duration: 3 * second, LimitedRetention: true}))
		}
		pausedUntil := make([]time.Duration, len(leases))
		var lateAppends []lateAppend
		held, last, term := 0, uint64(0), uint64(0)
		for now := time.Duration(0); now < 60*second; now += tick {
			for i := range lateAppends {
				if lateAppends[i].due <= now {
					g.append(lateAppends[i].record)
					lateAppends[i].due = 1 << 62
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
				if pausedUntil[i] > now {
					continue
				}
				if random.IntN(100) == 0 {
					pausedUntil[i] = now + time.Duration(random.IntN(8000))*time.Millisecond
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
					lateAppends = append(lateAppends, lateAppend{now + time.Duration(random.IntN(6000))*time.Millisecond, r})
					continue
				}
				g.append(r)
			}
			must.LessEq(t, 1, holding, must.Sprintf("seed %d at %v", seed, now))
		}
		must.Positive(t, held)
	}
}
