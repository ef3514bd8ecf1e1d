package sycrollout

import "time"

// A late first token is counted while it is still awaited. The answers of a version that
// has become slow end late, so that the version would get many requests before the first
// slow answer ends.

// pendingAttempt is an attempt of this VM that hasn't ended. An attempt is one try to
// have a request answered by one endpoint.
type pendingAttempt struct {
	// cell is where the attempt's first token is counted if it is late.
	cell Cell
	// startedAt is when the attempt began.
	startedAt time.Duration
	// firstTokenAt is when the first token came. It is set only with hasFirstToken.
	firstTokenAt time.Duration
	// hasFirstToken is set once the first token has come, countedLate once the first
	// token has been counted while it was awaited.
	hasFirstToken, countedLate bool
	// ignoreTimes is set if a re-evaluation began during the attempt. Its durations say
	// nothing of the time of the re-evaluation and aren't counted.
	ignoreTimes bool
	// pausedAtStart is for how long in total this VM's process had been paused when the
	// attempt began, pausedAtFirstToken the same total when the first token came.
	pausedAtStart, pausedAtFirstToken time.Duration
}

// Begin records that an attempt of this VM, identified by a number, has begun. How many
// prompt tokens are cached is known only at the attempt's end, so the cell's size class
// assumes that none are.
func (l *Ledger) Begin(now time.Duration, id uint64, cell Cell) {
	l.pending[id] = pendingAttempt{cell: cell, startedAt: now, pausedAtStart: l.paused}
}

// RecordFirstToken records when the first token of a pending attempt came.
func (l *Ledger) RecordFirstToken(now time.Duration, id uint64) {
	if a, ok := l.pending[id]; ok && !a.hasFirstToken {
		a.hasFirstToken, a.firstTokenAt, a.pausedAtFirstToken = true, now, l.paused
		l.pending[id] = a
	}
}

// RecordPause records that this VM's process was paused for a time: its machine was
// suspended or had no processor time for it. Pending attempts seem longer by the pause,
// whichever version they use.
func (l *Ledger) RecordPause(by time.Duration) { l.paused += by }

// End counts an attempt that has ended, without the process pauses that made it seem
// longer. The cell has the actual size class of its request.
func (l *Ledger) End(now time.Duration, id uint64, cell Cell, s Sample) {
	a := l.pending[id]
	if a.hasFirstToken {
		s.FirstToken = excludePause(s.FirstToken, a.firstTokenAt-a.startedAt, a.pausedAtFirstToken-a.pausedAtStart)
		s.BetweenTokens = excludePause(s.BetweenTokens, now-a.firstTokenAt, l.paused-a.pausedAtFirstToken)
	}
	if a.countedLate || a.ignoreTimes {
		s.FirstToken = 0
	}
	if a.ignoreTimes {
		s.BetweenTokens = 0
	}
	l.Forget(id)
	l.Record(cell, s)
}

// excludePause shortens the duration d by the part of the time span during which this
// VM's process was paused.
func excludePause(d, span, paused time.Duration) time.Duration {
	if d <= 0 || span <= 0 || paused <= 0 {
		return d
	}
	return max(time.Duration(float64(d)*(1-float64(paused)/float64(span))), 1)
}

// Forget removes a pending attempt whose end is no evidence for or against its version,
// such as a cancelled one.
func (l *Ledger) Forget(id uint64) { delete(l.pending, id) }

// ignorePendingTimes excludes the durations of all pending attempts from the counts.
func (l *Ledger) ignorePendingTimes() {
	for id, a := range l.pending {
		a.ignoreTimes = true
		l.pending[id] = a
	}
}

// LateFirstTokens returns the number of candidates' first tokens on this VM that were
// counted while they were awaited. It doesn't include the predecessors'.
func (l *Ledger) LateFirstTokens() uint64 { return l.lateFirstTokens }

// countLateFirstTokens counts first tokens that have been awaited much longer than
// nearly all of the predecessor's took since the earlier sum. It counts them as if they
// came now. Late first tokens of the predecessor count too, so that a pause of this VM
// or of all engines makes both versions slow.
func (l *Ledger) countLateFirstTokens(now time.Duration, candidate, predecessor Subject, earlier Totals) {
	if len(l.pending) == 0 {
		return
	}
	sum := l.Sum()
	if earlier != nil {
		sum = sum.Since(earlier)
	}
	kinds := groupByKind(sum, candidate, predecessor)
	for id, a := range l.pending {
		s := a.cell.subject()
		if a.hasFirstToken || a.countedLate || a.ignoreTimes || s != candidate && s != predecessor {
			continue
		}
		reference, ok := kinds[a.cell.kind()].firstTokenReference(a.cell.Size, earlierReferenceSlack)
		awaited := now - a.startedAt - (l.paused - a.pausedAtStart)
		if !ok || bucketIndex(awaited) <= reference {
			continue
		}
		if s == candidate {
			l.lateFirstTokens++
		}
		a.countedLate = true
		l.pending[id] = a
		c := l.own[a.cell]
		c.FirstToken.Add(awaited)
		l.own[a.cell] = c
	}
}
