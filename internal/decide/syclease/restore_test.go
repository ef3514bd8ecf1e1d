package syclease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
)

// recordAt returns a record at a position.
func recordAt(p sycfeed.Position, holder string, proposal uint64) syclease.Record {
	return syclease.Record{Number: syclease.NumberAt(p), Fence: syclease.FenceAt(p), Holder: holder, Proposal: proposal}
}

// TestFencingNumbersRiseOverARestore guards against fencing numbers that go back with the offsets,
// differ from before in era 0, or lose digits in JSON.
func TestFencingNumbersRiseOverARestore(t *testing.T) {
	last := uint64(0)
	for i, p := range []sycfeed.Position{{Offset: 7}, {Offset: 1<<32 - 2}, {Era: 1}, {Era: 1, Offset: 3}, {Era: 2, Offset: 1}, {Era: 1<<21 - 1, Offset: 1<<32 - 2}} {
		must.Greater(t, last, syclease.FenceAt(p), must.Sprint(p))
		last = syclease.FenceAt(p)
		must.Less(t, 1<<53, syclease.NumberAt(p))
		l := newLease("a", 0)
		l.Apply(0, recordAt(p, "b", 0))
		must.Eq(t, p.Plus(1), l.Next())
		must.True(t, i > 0 || last == 7 && l.LastNumber() == 8)
	}
}

// TestRestoreEndsTheLease checks who holds the lease and who may take it after a holder's record is
// lost by a restore.
func TestRestoreEndsTheLease(t *testing.T) {
	const restored = 3 * time.Second
	lease := func() (*syclease.Lease, uint64) {
		l := newLimitedRetention("a", 0)
		l.ReachedEnd(0, syclease.FenceAt(sycfeed.Position{Offset: 5}))
		proposal := l.Propose(2 * time.Second)
		l.Settled(2*time.Second, true)
		l.Apply(2*time.Second, recordAt(sycfeed.Position{Offset: 5}, "a", proposal))
		_, holds := l.Holds(restored)
		must.True(t, holds)
		return l, proposal
	}
	end := syclease.FenceAt(sycfeed.Position{Era: 1, Offset: 4})
	tests := []struct {
		name string
		// then is what the holder hears at the time restored.
		then func(l *syclease.Lease, proposal uint64)
		// freeAfter is how long after that the VM may append.
		freeAfter time.Duration
		next      sycfeed.Position
	}{
		{"the era", func(l *syclease.Lease, _ uint64) {
			l.Restored(restored, 1)
		}, -1, sycfeed.Position{Era: 1}},
		{"the end of the log", func(l *syclease.Lease, _ uint64) {
			l.ReachedEnd(restored, end)
		}, duration + duration/10, sycfeed.Position{Era: 1, Offset: 4}},
		{"a release in the copy", func(l *syclease.Lease, _ uint64) {
			l.Apply(restored, syclease.Record{Number: end, Holder: "c", Released: true})
			l.ReachedEnd(restored, end)
		}, duration + duration/10, sycfeed.Position{Era: 1, Offset: 4}},
		{"its own late append", func(l *syclease.Lease, proposal uint64) {
			l.Apply(restored, recordAt(sycfeed.Position{Era: 1, Offset: 4}, "a", proposal))
			l.ReachedEnd(restored, end+1)
		}, duration + duration/10, sycfeed.Position{Era: 1, Offset: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, proposal := lease()
			tt.then(l, proposal)
			// What still comes of the former era changes nothing.
			l.Apply(restored, recordAt(sycfeed.Position{Offset: 6}, "a", proposal))
			l.ReachedEnd(restored, syclease.FenceAt(sycfeed.Position{Offset: 7}))
			l.Restored(restored+time.Second, 1)
			_, holds := l.Holds(restored)
			must.False(t, holds)
			must.False(t, l.Resign(restored) || l.Released())
			must.Eq(t, tt.next, l.Next())
			l, proposal = lease()
			tt.then(l, proposal)
			must.False(t, l.Due(restored+duration))
			must.Eq(t, tt.freeAfter > 0, l.Due(restored+max(tt.freeAfter, 5*duration)))
			must.False(t, tt.freeAfter > 0 && l.Due(restored+tt.freeAfter-1))
		})
	}
}

// restorableLog is a log that can be restored from copies of itself.
type restorableLog struct {
	era     int64
	records []syclease.Record
	copies  [][]syclease.Record
}

// append stores a record if the log ends at an offset, and returns the era and whether it did.
func (g *restorableLog) append(offset int64, r syclease.Record) (int64, bool) {
	if offset != int64(len(g.records)) {
		return g.era, false
	}
	g.records = append(g.records[:offset:offset], r)
	return g.era, true
}

// process is a process of a VM with a clock of its own.
type process struct {
	lease *syclease.Lease
	name  string
	rate  float64
	// offset is the time on the VM's clock at the test's start.
	offset time.Duration
	// pausedUntil is until when the VM does nothing, and cutUntil until when it gets no answer.
	pausedUntil, cutUntil time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

// event is something that happens at a time.
type event struct {
	due time.Duration
	run func(now time.Duration)
}

// history is a random history of processes and a log.
type history struct {
	random    *rand.Rand
	log       *restorableLog
	processes []*process
	events    []event
	started   int
	// held counts the times at which a process held the lease, and lastFence is the highest fencing number
	// seen so far, at a holder of the name holder.
	held, changes int
	lastFence     uint64
	holder        string
}

// start returns a process that has just started.
func (h *history) start() *process {
	h.started++
	name := fmt.Sprint("p", h.started)
	return &process{
		name: name, rate: 1 + (h.random.Float64()-0.5)*0.04, offset: time.Duration(h.random.IntN(100)) * time.Second,
		lease: syclease.New(syclease.Options{Self: name, Duration: 3 * time.Second, LimitedRetention: true}),
	}
}

// later lets something happen within a time.
func (h *history) later(now time.Duration, within int, run func(now time.Duration)) {
	h.events = append(h.events, event{now + time.Duration(h.random.IntN(within))*time.Millisecond, run})
}

// answer gives a process an answer of the log after some time, which it loses if it's cut off then.
func (h *history) answer(now time.Duration, p *process, era int64, within int, apply func(now time.Duration)) {
	h.later(now, within, func(now time.Duration) {
		if now < p.cutUntil {
			return
		}
		p.lease.Restored(p.clock(now), era)
		apply(p.clock(now))
	})
}

// read lets a process read the log.
func (h *history) read(now time.Duration, p *process) {
	from, era := p.lease.Next(), h.log.era
	if from.Era != era || from.Offset > int64(len(h.log.records)) {
		from = sycfeed.Position{Era: era}
	}
	records := h.log.records[from.Offset:]
	h.answer(now, p, era, 1500, func(now time.Duration) {
		for i, r := range records {
			at := from.Plus(i)
			r.Number, r.Fence = syclease.NumberAt(at), syclease.FenceAt(at)
			p.lease.Apply(now, r)
		}
		p.lease.ReachedEnd(now, syclease.FenceAt(from.Plus(len(records))))
	})
}

// propose lets a process append a record, which takes effect late or never.
func (h *history) propose(now time.Duration, p *process) {
	at := p.lease.Next()
	r := syclease.Record{Holder: p.name, Proposal: p.lease.Propose(p.clock(now))}
	p.lease.Settled(p.clock(now), true)
	h.later(now, 1+h.random.IntN(2)*5000, func(now time.Duration) {
		era, ok := h.log.append(at.Offset, r)
		h.answer(now, p, era, 2000, func(now time.Duration) {
			if !ok || era != at.Era {
				return
			}
			r.Number, r.Fence = syclease.NumberAt(at), syclease.FenceAt(at)
			p.lease.Apply(now, r)
		})
	})
}

// leave lets a process give up the lease and stop, and another start in its place.
func (h *history) leave(now time.Duration, i int) {
	p := h.processes[i]
	h.processes[i] = h.start()
	if !p.lease.Resign(p.clock(now)) {
		return
	}
	at := p.lease.Next()
	h.later(now, 100, func(time.Duration) {
		h.log.append(at.Offset, syclease.Record{Holder: p.name, Released: true})
	})
}

// disturb restores the log, stops, restarts, pauses or cuts off a process, each rarely.
func (h *history) disturb(now time.Duration, i int) {
	p := h.processes[i]
	until := now + time.Duration(h.random.IntN(8000))*time.Millisecond
	switch h.random.IntN(500) {
	case 0:
		h.processes[i] = h.start()
	case 9, 10, 11, 12:
		h.leave(now, i)
	case 1, 2:
		p.pausedUntil = until
	case 3, 4:
		p.cutUntil = until
	case 5, 6, 7:
		h.log.copies = append(h.log.copies, h.log.records)
	case 8:
		if len(h.log.copies) > 0 {
			h.log.records = h.log.copies[max(0, len(h.log.copies)-1-h.random.IntN(3))]
			h.log.era++
		}
	}
}

// tick lets events that are due happen and the processes act, and returns how many hold the lease.
func (h *history) tick(t *testing.T, now time.Duration) int {
	due := h.events
	h.events = nil
	for _, e := range due {
		if e.due > now {
			h.events = append(h.events, e)
			continue
		}
		e.run(now)
	}
	holding := 0
	for i, p := range h.processes {
		if fence, ok := p.lease.Holds(p.clock(now)); ok {
			holding++
			h.held++
			if p.name != h.holder {
				must.Greater(t, h.lastFence, p.lease.Term()+1)
				h.changes++
			}
			must.GreaterEq(t, h.lastFence, fence+1)
			must.LessEq(t, fence, p.lease.Term())
			h.lastFence, h.holder = fence+1, p.name
		}
		if now >= p.pausedUntil && h.random.IntN(4) == 0 {
			h.read(now, p)
		}
		if now >= p.pausedUntil && p.lease.Due(p.clock(now)) {
			h.propose(now, p)
		}
		h.disturb(now, i)
	}
	return holding
}

// TestOneHolderOverRestores checks that no two processes hold the lease and that fencing numbers rise,
// while the log is restored from copies, answers and appends are late or lost, and processes restart.
func TestOneHolderOverRestores(t *testing.T) {
	const tick, length = 50 * time.Millisecond, 90 * time.Second
	held, changes, eras := 0, 0, int64(0)
	for seed := range uint64(300) {
		h := &history{random: rand.New(rand.NewPCG(seed, 2)), log: &restorableLog{}}
		for range 4 {
			h.processes = append(h.processes, h.start())
		}
		for now := time.Duration(0); now < length; now += tick {
			must.LessEq(t, 1, h.tick(t, now), must.Sprintf("seed %d at %v", seed, now))
		}
		held, changes, eras = held+h.held, changes+h.changes, eras+h.log.era
	}
	t.Logf("held at %d ticks, %d changes of hands, %d restores", held, changes, eras)
	must.True(t, changes > 300 && eras > 300)
}
