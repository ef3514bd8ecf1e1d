package sycsuspect

import "time"

// decide applies new evidence to blocks.
func (t *Tracker) decide(now time.Duration, hashes []uint64) {
	for _, hash := range hashes {
		if b := t.blocks[hash]; b != nil && !b.convicted() && b.evidence(now).Ends > 0 {
			t.fire(now, b, eventBroken, false)
		}
	}
	for _, hash := range hashes {
		b := t.blocks[hash]
		if b == nil || !t.proved(now, b) {
			continue
		}
		if strongest := t.strongest(now, b); t.proved(now, strongest) {
			t.convict(now, strongest)
		}
	}
}

// proved reports whether a block is to be convicted. While no endpoint answers this VM, no block
// can be cleared and none is convicted.
func (t *Tracker) proved(now time.Duration, b *block) bool {
	if b.state != Held {
		return false
	}
	e := b.evidence(now)
	return e.convicts() && t.answeredAt > now-e.Age
}

// convictSettled convicts the held blocks against which the evidence now suffices.
func (t *Tracker) convictSettled(now time.Duration) {
	for _, b := range t.selected(func(b *block) bool { return t.proved(now, b) }) {
		t.decide(now, []uint64{b.hash})
	}
}

// strongest returns the block against which the most speaks, among a block and those that were
// in flight at the same ends of endpoints.
func (t *Tracker) strongest(now time.Duration, b *block) *block {
	best, evidence := b, b.evidence(now)
	for _, i := range b.incidents {
		if !i.ending.counts() {
			continue
		}
		for _, hash := range i.ending.blocks {
			rival := t.blocks[hash]
			if rival == nil || rival == best || rival.convicted() {
				continue
			}
			if e := rival.evidence(now); e.stronger(evidence) {
				best, evidence = rival, e
			}
		}
	}
	return best
}
