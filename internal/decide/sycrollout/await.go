package sycrollout

import "time"

// First tokens are counted while they are awaited: the answers of a version that has
// turned slow end late, and it would get many requests until the first had ended.

// await is an attempt under way.
type await struct {
	cell  Cell
	since time.Duration
	// arrived is set once the first token has come, late once it was counted without.
	arrived, late bool
}

// Begin notes that an attempt of this VM, by its number, awaits its first token. What is
// cached is known at the end only, so that the cell's size is the largest possible one.
func (l *Ledger) Begin(now time.Duration, id uint64, cell Cell) {
	l.awaited[id] = await{cell: cell, since: now}
}

// Arrived notes that the first token of an attempt has come.
func (l *Ledger) Arrived(id uint64) {
	if a, ok := l.awaited[id]; ok {
		a.arrived = true
		l.awaited[id] = a
	}
}

// End counts an attempt that has ended.
func (l *Ledger) End(id uint64, cell Cell, s Sample) {
	if l.awaited[id].late {
		s.FirstToken = 0
	}
	l.Forget(id)
	l.Record(cell, s)
}

// Forget drops an attempt whose end says nothing.
func (l *Ledger) Forget(id uint64) { delete(l.awaited, id) }

// Late is how many first tokens of versions under rollout were counted while they were
// awaited.
func (l *Ledger) Late() uint64 { return l.late }

// countLate counts the first tokens that are awaited for much longer than nearly all of
// the predecessor's took, as if they had come now. Those of the predecessor count too: a
// stall of this VM, or of all engines, makes both late.
func (l *Ledger) countLate(now time.Duration, candidate, predecessor Subject) {
	if len(l.awaited) == 0 {
		return
	}
	kinds := kindsOf(l.Sum(), candidate, predecessor)
	for id, a := range l.awaited {
		s := a.cell.subject()
		if a.arrived || a.late || s != candidate && s != predecessor {
			continue
		}
		reference, ok := kinds[a.cell.kind()].firstToken(a.cell.Size, laterSlack)
		if !ok || bucketOf(now-a.since) <= reference {
			continue
		}
		if s == candidate {
			l.late++
		}
		a.late = true
		l.awaited[id] = a
		c := l.own[a.cell]
		c.FirstToken.Add(now - a.since)
		l.own[a.cell] = c
	}
}
