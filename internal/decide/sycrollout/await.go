package sycrollout

import "time"

// First tokens are counted while they are awaited: the answers of a version that has
// turned slow end late, and it would get many requests until the first had ended.

// await is an attempt under way.
type await struct {
	cell  Cell
	since time.Duration
	// first is when the first token came; it is meaningful only once arrived is set.
	first time.Duration
	// arrived is set once the first token has come, late once it was counted without.
	arrived, late bool
	// untimed is set where the attempt's times are not to be counted.
	untimed bool
	// heldBefore is how long this VM had been held up when the attempt began, heldFirst
	// when its first token came.
	heldBefore, heldFirst time.Duration
}

// Begin notes that an attempt of this VM, by its number, awaits its first token. What is
// cached is known at the end only, so that the cell's size is the largest possible one.
func (l *Ledger) Begin(now time.Duration, id uint64, cell Cell) {
	l.awaited[id] = await{cell: cell, since: now, heldBefore: l.held}
}

// RecordFirstToken notes that the first token of an attempt has come.
func (l *Ledger) RecordFirstToken(now time.Duration, id uint64) {
	if a, ok := l.awaited[id]; ok && !a.arrived {
		a.arrived, a.first, a.heldFirst = true, now, l.held
		l.awaited[id] = a
	}
}

// RecordPause tells that this VM was held up by so much: its machine stood still or had no time
// for it. Attempts under way seem longer by that, whatever their version.
func (l *Ledger) RecordPause(by time.Duration) { l.held += by }

// End counts an attempt that has ended.
func (l *Ledger) End(now time.Duration, id uint64, cell Cell, s Sample) {
	a := l.awaited[id]
	if a.arrived {
		s.FirstToken = without(s.FirstToken, a.first-a.since, a.heldFirst-a.heldBefore)
		s.BetweenTokens = without(s.BetweenTokens, now-a.first, l.held-a.heldFirst)
	}
	if a.late || a.untimed {
		s.FirstToken = 0
	}
	if a.untimed {
		s.BetweenTokens = 0
	}
	l.Forget(id)
	l.Record(cell, s)
}

// without takes from a duration the part of a time for which this VM was held up.
func without(d, of, held time.Duration) time.Duration {
	if d <= 0 || of <= 0 || held <= 0 {
		return d
	}
	return max(time.Duration(float64(d)*(1-float64(held)/float64(of))), 1)
}

// Forget drops an attempt whose end says nothing.
func (l *Ledger) Forget(id uint64) { delete(l.awaited, id) }

// untime leaves the times of the attempts under way uncounted.
func (l *Ledger) untime() {
	for id, a := range l.awaited {
		a.untimed = true
		l.awaited[id] = a
	}
}

// LateFirstTokens is how many first tokens of versions under rollout were counted while they were
// awaited.
func (l *Ledger) LateFirstTokens() uint64 { return l.late }

// countLate counts the first tokens that are awaited for much longer than nearly all of
// the predecessor's took since an earlier sum, as if they had come now. Those of the
// predecessor count too: a stall of this VM, or of all engines, makes both late.
func (l *Ledger) countLate(now time.Duration, candidate, predecessor Subject, earlier Totals) {
	if len(l.awaited) == 0 {
		return
	}
	sum := l.Sum()
	if earlier != nil {
		sum = sum.Since(earlier)
	}
	kinds := kindsOf(sum, candidate, predecessor)
	for id, a := range l.awaited {
		s := a.cell.subject()
		if a.arrived || a.late || a.untimed || s != candidate && s != predecessor {
			continue
		}
		reference, ok := kinds[a.cell.kind()].firstToken(a.cell.Size, laterSlack)
		awaited := now - a.since - (l.held - a.heldBefore)
		if !ok || bucketOf(awaited) <= reference {
			continue
		}
		if s == candidate {
			l.late++
		}
		a.late = true
		l.awaited[id] = a
		c := l.own[a.cell]
		c.FirstToken.Add(awaited)
		l.own[a.cell] = c
	}
}
