package sycduty_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycduty"
)

const lease = 3 * time.Second

// ledger is a log that takes appends at its end.
type ledger struct{ records []sycduty.Record }

func (g *ledger) append(at int64, r sycduty.Record) bool {
	if at != int64(len(g.records)) {
		return false
	}
	g.records = append(g.records, r)
	return true
}

func (g *ledger) read(now time.Duration, l *sycduty.Lease) {
	for i := l.End(); i < int64(len(g.records)); i++ {
		l.Read(now, i, g.records[i])
	}
	l.Reached(now, int64(len(g.records)))
}

func TestSuccessorWaitsOutTheLease(t *testing.T) {
	g := &ledger{}
	a, b := sycduty.New("a", lease, 0), sycduty.New("b", lease, 0)
	g.read(0, a)
	g.read(0, b)
	must.False(t, a.Due(lease), must.Sprint("a new VM can't know who held the lease before"))
	now := 4 * time.Second
	must.True(t, a.Due(now))
	r, at := a.Propose(now)
	must.True(t, g.append(at, r))
	a.Settled(now, true)
	g.read(now+50*time.Millisecond, a)
	g.read(now+50*time.Millisecond, b)
	_, ok := a.Holds(now + lease - 1)
	must.True(t, ok)
	_, ok = a.Holds(now + lease)
	must.False(t, ok)
	must.False(t, b.Due(now+lease))
	must.True(t, b.Due(now+lease+lease/10+50*time.Millisecond))
}

func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	g := &ledger{}
	a, b := sycduty.New("a", lease, 0), sycduty.New("b", lease, 100*time.Millisecond)
	g.read(0, a)
	g.read(0, b)
	r, at := a.Propose(4 * time.Second)
	must.True(t, g.append(at, r))
	a.Settled(4*time.Second, true)
	g.read(4*time.Second, a)
	r, at, held := a.Resign(5 * time.Second)
	must.True(t, held)
	_, holds := a.Holds(5 * time.Second)
	must.False(t, holds)
	must.False(t, a.Due(9*time.Second))
	must.True(t, g.append(at, r))
	g.read(5*time.Second, b)
	must.False(t, b.Due(5*time.Second))
	must.True(t, b.Due(5*time.Second+100*time.Millisecond))
	r, at = b.Propose(5100 * time.Millisecond)
	must.True(t, g.append(at, r))
	g.read(5100*time.Millisecond, b)
	token, holds := b.Holds(5100 * time.Millisecond)
	must.True(t, holds)
	must.Eq(t, at, token)
}

func TestFailedAppendIsNotRepeatedAtOnce(t *testing.T) {
	g := &ledger{}
	a := sycduty.New("a", lease, 0)
	g.read(0, a)
	must.True(t, a.Due(4*time.Second))
	a.Propose(4 * time.Second)
	a.Settled(4*time.Second, false)
	must.False(t, a.Due(4200*time.Millisecond))
	must.True(t, a.Due(4400*time.Millisecond))
}

func TestLateAppendGrantsNothing(t *testing.T) {
	g := &ledger{}
	a := sycduty.New("a", lease, 0)
	g.read(0, a)
	r, at := a.Propose(4 * time.Second)
	a.Settled(5*time.Second, false)
	must.True(t, g.append(at, r))
	g.read(9*time.Second, a)
	_, ok := a.Holds(9 * time.Second)
	must.False(t, ok)
}

// TestNeverTwoHolders plays VMs whose appends take effect late or whose answers
// are lost, and which stand still, and checks that no two hold at a time and
// that tokens never fall.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := &ledger{}
		leases := []*sycduty.Lease{sycduty.New("a", lease, 0), sycduty.New("b", lease, 0), sycduty.New("c", lease, 0)}
		frozen := make([]time.Duration, len(leases))
		type late struct {
			due time.Duration
			at  int64
			r   sycduty.Record
		}
		var lates []late
		held, last := 0, int64(-1)
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			for i := 0; i < len(lates); i++ {
				if lates[i].due <= now {
					g.append(lates[i].at, lates[i].r)
					lates[i].due = 1 << 62
				}
			}
			holders := 0
			for i, l := range leases {
				if token, ok := l.Holds(now); ok {
					holders++
					held++
					must.LessEq(t, token, last)
					last = token
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
				r, at := l.Propose(now)
				l.Settled(now, true)
				if random.IntN(3) == 0 {
					lates = append(lates, late{now + time.Duration(random.IntN(6000))*time.Millisecond, at, r})
					continue
				}
				g.append(at, r)
			}
			must.LessEq(t, 1, holders, must.Sprintf("seed %d at %v", seed, now))
		}
		must.Positive(t, held)
	}
}
