package sycsuspect

import (
	"slices"
	"time"
)

const (
	// maxBlocks limits the blocks that are kept. The one that was touched first is dropped.
	maxBlocks = 4096
	// maxRecords limits the records that wait to be told. The oldest are dropped.
	maxRecords = 2048
	// trialTime limits the time for which a trial keeps other requests with the block waiting.
	trialTime = 3 * time.Second
	// repeatedRetry is the time after which a request may be tried again under which several
	// endpoints have ended.
	repeatedRetry = 10 * time.Second
)

// Tracker tracks the blocks that may end endpoints.
type Tracker struct {
	blocks map[uint64]*block
	// endings are the ends of endpoints, the oldest first.
	endings []*ending
	// recent holds the blocks that this VM has had answered lately. They are sound, whatever
	// they were in flight with. Known holds those that it has had answered in the last minutes.
	recent, known recent
	// answeredAt is when this VM last had a request answered well.
	answeredAt time.Duration
	// records wait to be told to the other VMs.
	records []Record
	// changes are the blocks' changes of state since the last call of TakeChanges.
	changes []Change
	// seed makes the times at which VMs repeat records differ.
	seed uint64
}

// New returns a Tracker that suspects no block. The seed should differ between VMs.
func New(seed uint64) *Tracker {
	return &Tracker{
		blocks: map[uint64]*block{}, seed: seed,
		recent: recent{lasts: recentTime}, known: recent{lasts: knownTime},
	}
}

// Judge says whether a request may be sent for the first time. MayCheck is set if this VM is
// the one that checks convicted blocks.
func (t *Tracker) Judge(now time.Duration, p Prompt, mayCheck bool) Verdict {
	return t.judge(now, p, mayCheck, false)
}

// JudgeAgain says whether a request may be sent again after an attempt that failed.
func (t *Tracker) JudgeAgain(now time.Duration, p Prompt) Verdict {
	return t.judge(now, p, false, true)
}

func (t *Tracker) judge(now time.Duration, p Prompt, mayCheck, again bool) Verdict {
	var verdict Verdict
	for _, hash := range p.Blocks {
		b := t.blocks[hash]
		if b == nil {
			continue
		}
		if v := b.judge(now, p, mayCheck, again); v.Reason == BlockConvicted || verdict.Reason == Allowed {
			verdict = v
		}
	}
	return verdict
}

// judge returns the block's verdict on a request.
func (b *block) judge(now time.Duration, p Prompt, mayCheck, again bool) Verdict {
	v := Verdict{Block: b.hash}
	switch {
	case b.state == Convicted && mayCheck && now >= b.checkAt && (b.hash != p.Request || b.checks < maxWholeChecks):
		return Verdict{}
	case b.convicted():
		v.Reason, v.After, v.Evidence = BlockConvicted, max(b.checkAt-now, firstCheck), b.convictedBy
		return v
	case b.hash == p.Request:
		return b.judgeWhole(now, again)
	case b.endsUnder(now, p.Request) >= wavesToHold:
		v.Reason, v.After = RequestRepeated, repeatedRetry
	case b.state == Held && (again && b.evidence(now).Waves >= wavesToHold || now < b.trialUntil):
		v.Reason, v.After = BlockOnTrial, max(b.trialUntil-now, time.Second)
	default:
		return Verdict{}
	}
	v.Evidence = b.evidence(now)
	return v
}

// judgeWhole is judge for a whole request that isn't convicted. After two ends it is sent to one endpoint at a time,
// once for each time that a caller sends it, and after three not at all.
func (b *block) judgeWhole(now time.Duration, again bool) Verdict {
	v := Verdict{Block: b.hash}
	switch ends := b.endsUnder(now, b.hash); {
	case ends >= endsToConvict || again && ends >= wavesToHold:
		v.Reason, v.After = RequestRepeated, repeatedRetry
	case ends >= wavesToHold && now < b.trialUntil:
		v.Reason, v.After = BlockOnTrial, max(b.trialUntil-now, time.Second)
	default:
		return Verdict{}
	}
	v.Evidence = b.evidence(now)
	return v
}

// Begin records that a request that may be sent is sent.
func (t *Tracker) Begin(now time.Duration, p Prompt) {
	for _, hash := range p.Blocks {
		b := t.blocks[hash]
		switch {
		case b == nil:
		case b.state == Held || hash == p.Request && !b.convicted() && b.endsUnder(now, hash) >= wavesToHold:
			b.trialUntil = now + trialTime
			t.tell(Record{Trial: hash})
		case b.state == Convicted:
			t.beginCheck(now, b, p)
		}
	}
}

// Serve records that a request was answered well.
func (t *Tracker) Serve(now time.Duration, p Prompt) {
	t.answeredAt = now
	for _, hash := range p.Blocks {
		t.recent.add(now, hash)
		t.known.add(now, hash)
		if t.clear(now, hash, false) {
			t.tell(Record{Served: hash})
		}
	}
}

// Abandon records that a request ended in another way than by Serve or Break.
func (t *Tracker) Abandon(now time.Duration, p Prompt) {
	for _, hash := range p.Blocks {
		b := t.blocks[hash]
		if b == nil {
			continue
		}
		b.trialUntil = min(b.trialUntil, now)
		if b.checkRequest == p.Request {
			t.fire(now, b, eventUnfinished, false)
		}
	}
}

// Break records an answer of this VM that broke off.
func (t *Tracker) Break(now time.Duration, k Break) {
	t.tell(Record{Break: &k})
	t.addBreak(now, "", k)
}

// End records that an incarnation of an endpoint has certainly ended.
func (t *Tracker) End(now time.Duration, endpoint string) {
	if t.addEnd(now, endpoint) {
		t.tell(Record{Ended: endpoint})
	}
}

// Answer records that an incarnation of an endpoint has answered a request that was sent at a
// time. Answers that broke off before weren't its end.
func (t *Tracker) Answer(now time.Duration, endpoint string, sent time.Duration) {
	if e := t.ending(now, endpoint); e != nil && !e.refuted && sent > e.at {
		t.refute(now, e)
		t.tell(Record{Alive: endpoint})
	}
}

// Receive applies a record of another VM.
func (t *Tracker) Receive(now time.Duration, origin string, r Record) {
	switch {
	case r.Break != nil:
		t.addBreak(now, origin, *r.Break)
	case r.Ended != "":
		t.addEnd(now, r.Ended)
	case r.Alive != "":
		if e := t.ending(now, r.Alive); e != nil {
			t.refute(now, e)
		}
	case r.Served != 0:
		t.clear(now, r.Served, true)
	case r.Known != 0:
		t.getOrAdd(now, r.Known).known = true
	case r.Trial != 0:
		if b := t.blocks[r.Trial]; b != nil {
			b.trialUntil = now + trialTime
		}
	case r.Conviction != nil:
		t.adopt(now, *r.Conviction)
	}
}

// TakeRecords returns the records to tell the other VMs since the last call. It must be called
// several times a second, since it also does what is due.
func (t *Tracker) TakeRecords(now time.Duration) []Record {
	t.convictSettled(now)
	t.repeatConvictions(now)
	t.forgetOld(now)
	out := t.records
	t.records = nil
	return out
}

// TakeChanges returns the blocks' changes of state since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// Count returns the number of blocks in a state.
func (t *Tracker) Count(s State) int {
	n := 0
	for _, b := range t.blocks {
		if b.state == s {
			n++
		}
	}
	return n
}

func (t *Tracker) tell(r Record) {
	t.records = append(t.records, r)
	if over := len(t.records) - maxRecords; over > 0 {
		t.records = slices.Delete(t.records, 0, over)
	}
}

// getOrAdd returns a block, which it adds if it isn't kept. It drops the block that was touched
// first if there are too many, convicted blocks last.
func (t *Tracker) getOrAdd(now time.Duration, hash uint64) *block {
	if b := t.blocks[hash]; b != nil {
		return b
	}
	if len(t.blocks) >= maxBlocks {
		var oldest *block
		for _, b := range t.blocks {
			if oldest == nil || b.olderThan(oldest) {
				oldest = b
			}
		}
		delete(t.blocks, oldest.hash)
	}
	b := &block{hash: hash, state: State(chart.Initial()), touched: now}
	t.blocks[hash] = b
	return b
}

// olderThan reports whether the block is dropped before another.
func (b *block) olderThan(o *block) bool {
	switch {
	case b.convicted() != o.convicted():
		return o.convicted()
	case b.touched != o.touched:
		return b.touched < o.touched
	}
	return b.hash < o.hash
}

// fire applies an event to a block and reports whether the block's state changed.
func (t *Tracker) fire(now time.Duration, b *block, e event, adopted bool) bool {
	evidence := b.evidence(now)
	next, changed := chart.Fire(string(b.state), string(e), evidence)
	if !changed {
		return false
	}
	from := b.state
	b.state = State(next)
	if b.state == from {
		return false
	}
	if from == Checking {
		b.checkRequest = 0
	}
	if b.convicted() || from == Convicted || from == Checking {
		evidence = b.convictedBy
	}
	t.changes = append(t.changes, Change{Block: b.hash, From: from, To: b.state, Evidence: evidence, Adopted: adopted})
	return true
}

// clear makes a block sound, and reports whether it wasn't.
func (t *Tracker) clear(now time.Duration, hash uint64, adopted bool) bool {
	b := t.blocks[hash]
	if b == nil {
		return false
	}
	wasConvicted := b.convicted()
	changed := t.fire(now, b, eventServed, adopted)
	b.incidents, b.trialUntil = nil, 0
	if b.generation == 0 {
		delete(t.blocks, hash)
		return changed
	}
	if wasConvicted {
		b.generation++
		b.touched = now
		if !adopted {
			t.tellConviction(now, b)
		}
	}
	return changed
}
