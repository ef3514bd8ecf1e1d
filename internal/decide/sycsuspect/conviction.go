package sycsuspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstCheck and maxCheck limit the pause before a check of any convicted block. It doubles
	// with each check.
	firstCheck = 30 * time.Second
	maxCheck   = 10 * time.Minute
	// maxWholeChecks limits the checks of a whole request: each may end an endpoint.
	maxWholeChecks = 2
	// repeatAfter is the time after which a conviction is told again that no VM has told
	// since, so that VMs learn of it that have just started or were cut off. Up to
	// repeatSpread is added, which differs between VMs, so that few tell it at once.
	repeatAfter  = time.Second
	repeatSpread = 8 * time.Second
)

// convict convicts a block. The ends of endpoints that it explains count against no other.
func (t *Tracker) convict(now time.Duration, b *block) {
	b.convictedBy = b.evidence(now)
	t.fire(now, b, eventProved, false)
	b.generation++
	b.checks = 0
	b.checkAt = now + firstCheck
	t.explainAll(now, b)
	t.tellConviction(now, b)
}

// explainAll marks the ends of endpoints that a convicted block explains.
func (t *Tracker) explainAll(now time.Duration, b *block) {
	for _, i := range b.incidents {
		t.explain(now, b, i.ending)
	}
}

// adopt takes over the state of a conviction that another VM has told, unless this VM knows a
// newer one.
func (t *Tracker) adopt(now time.Duration, c Conviction) {
	b := t.blocks[c.Block]
	if b == nil && c.Lifted {
		return
	}
	b = t.getOrAdd(now, c.Block)
	if c.Generation < b.generation || c.Generation == b.generation && c.Checks < b.checks {
		if now-b.toldAt >= exchangeDelay {
			t.tellConviction(now, b)
		}
		return
	}
	b.touched, b.toldAt = now, now
	known, checked := c.Generation == b.generation, c.Checks > b.checks
	b.generation, b.checks = c.Generation, c.Checks
	if c.Lifted {
		t.fire(now, b, eventLifted, true)
		b.incidents = nil
		return
	}
	if b.convicted() && known {
		b.checkAt = max(b.checkAt, now+c.Wait)
		if checked {
			t.postponeChecks(now)
		}
		return
	}
	b.checkAt = now + c.Wait
	b.convictedBy = c.Evidence
	if t.fire(now, b, eventAdopted, true) {
		t.explainAll(now, b)
	}
}

// beginCheck records that a request with a convicted block is sent to check it.
func (t *Tracker) beginCheck(now time.Duration, b *block, p Prompt) {
	b.checks++
	b.checkRequest = p.Request
	t.postponeChecks(now)
	t.fire(now, b, eventChecked, false)
	t.tellConviction(now, b)
}

// postponeChecks delays the next checks of all convicted blocks, since the last check may have
// ended an endpoint.
func (t *Tracker) postponeChecks(now time.Duration) {
	checks := int64(0)
	for _, b := range t.blocks {
		if b.convicted() {
			checks += b.checks
		}
	}
	for _, b := range t.blocks {
		b.checkAt = max(b.checkAt, now+checkPause(checks))
	}
}

// checkPause returns the pause before the next check after a number of checks.
func checkPause(checks int64) time.Duration {
	pause := firstCheck
	for range checks {
		pause = min(2*pause, maxCheck)
	}
	return pause
}

// Convictions returns records of all blocks that are convicted, for a VM that has started.
func (t *Tracker) Convictions(now time.Duration) []Record {
	var out []Record
	for _, b := range t.selected((*block).convicted) {
		out = append(out, Record{Conviction: b.conviction(now)})
	}
	return out
}

// conviction returns the state of the block's conviction.
func (b *block) conviction(now time.Duration) *Conviction {
	return &Conviction{
		Block: b.hash, Generation: b.generation, Lifted: !b.convicted(), Checks: b.checks,
		Wait: max(b.checkAt-now, 0), Evidence: b.convictedBy,
	}
}

// tellConviction tells the other VMs the state of a block's conviction.
func (t *Tracker) tellConviction(now time.Duration, b *block) {
	b.toldAt = now
	t.tell(Record{Conviction: b.conviction(now)})
}

// repeatConvictions tells the convictions again that no VM has told for a time.
func (t *Tracker) repeatConvictions(now time.Duration) {
	pause := repeatAfter + time.Duration(t.seed%uint64(repeatSpread))
	for _, b := range t.selected((*block).convicted) {
		if now-b.toldAt >= pause {
			t.tellConviction(now, b)
		}
	}
}

// forgetOld forgets blocks that aren't convicted and against which nothing has come up for long.
func (t *Tracker) forgetOld(now time.Duration) {
	for hash, b := range t.blocks {
		if !b.convicted() && now-b.touched > evidenceAge {
			delete(t.blocks, hash)
		}
	}
}

// selected returns the blocks for which a condition holds, ordered by their hashes.
func (t *Tracker) selected(condition func(*block) bool) []*block {
	var out []*block
	for _, b := range t.blocks {
		if condition(b) {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *block) int { return cmp.Compare(a.hash, b.hash) })
	return out
}
