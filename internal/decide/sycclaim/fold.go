package sycclaim

import (
	"encoding/json"
	"time"
)

// Kind says what a record does.
type Kind string

// Kinds of records of the claims stream.
const (
	// KindClaim asks for the right to run a call; the first offset wins.
	KindClaim Kind = "claim"
	// KindAnswer records that the call ran, with its answer if it is short.
	KindAnswer Kind = "answer"
	// KindRelease gives the claim up; the call certainly did not run.
	KindRelease Kind = "release"
	// KindLost records that the outcome will never be known.
	KindLost Kind = "lost"
)

// Record is one record of the claims stream.
type Record struct {
	Schema int  `json:"schema"`
	Kind   Kind `json:"kind"`
	// Name is that of the call, see Call.Name.
	Name string `json:"name"`
	// ID is unique for each claim that any VM makes.
	ID string `json:"id"`
	// Holder is the peer address of the VM that makes the claim.
	Holder string `json:"holder,omitempty"`
	// Digest is that of the request.
	Digest string `json:"digest,omitempty"`
	// Answer is set on KindAnswer; its body is left out where Partial is set.
	Answer  *Answer `json:"answer,omitempty"`
	Partial bool    `json:"partial,omitempty"`
}

// Schema is the version of the records written.
const Schema = 1

// State says how far a call is known to have come.
type State int

// States of claims.
const (
	// Claimed means that the holder may run the call, or is running it.
	Claimed State = iota
	// Doubtful means that an older claim may have been forgotten by the log
	// before it was read here; the call must not run.
	Doubtful
	// Answered means that the call ran.
	Answered
	// Lost means that the call may have run and that nobody knows.
	Lost
)

// Entry is the state of a claim.
type Entry struct {
	id      string
	holder  string
	digest  string
	claimed time.Time
	state   State
	answer  Answer
	// whole is set while the answer's body is held.
	whole bool
}

// ID is that of the claim that won.
func (e Entry) ID() string { return e.id }

// Holder is the peer address of the VM whose claim won.
func (e Entry) Holder() string { return e.holder }

// Digest is that of the request whose claim won.
func (e Entry) Digest() string { return e.digest }

// Claimed is the log's time of the claim.
func (e Entry) Claimed() time.Time { return e.claimed }

// State says how far the call is known to have come.
func (e Entry) State() State { return e.state }

// Answer is the call's answer. It reports false where only the status is known.
func (e Entry) Answer() (Answer, bool) { return e.answer, e.whole }

// Settings of a fold must be the same on all VMs.
type Settings struct {
	// Lifetime is how long a claim holds, by the log's time. The log must keep
	// records for longer.
	Lifetime time.Duration
	// AnswerBytes bounds the bodies that are held; the oldest are dropped first.
	AnswerBytes int
}

// Claims is the fold of the stream. Equal records give equal claims. Claims are
// few enough, and live briefly enough, that a VM reads all that the log keeps:
// there are no snapshots.
type Claims struct {
	settings Settings
	// next is the offset after the last record; it never decreases.
	next    uint64
	started bool
	// known is the log time from which on no record was missed.
	known time.Time
	// latest is the newest log time seen; it never decreases.
	latest  time.Time
	entries map[string]*Entry
	// order lists claims by log time for expiry.
	order []ticket
	// held lists answers with bodies, oldest first; heldBytes is their size.
	held      []ticket
	heldBytes int
}

// ticket names a claim.
type ticket struct {
	name string
	id   string
}

// New returns the fold before the first record.
func New(s Settings) *Claims {
	return &Claims{settings: s, entries: map[string]*Entry{}}
}

// Next is the offset of the next record wanted.
func (c *Claims) Next() uint64 { return c.next }

// Len is the number of claims held.
func (c *Claims) Len() int { return len(c.entries) }

// Lookup returns the claim of a name that is in force at the newest log time seen.
func (c *Claims) Lookup(name string) (Entry, bool) {
	e, ok := c.entries[name]
	if !ok || c.expired(e, c.latest) {
		return Entry{}, false
	}
	return *e, true
}

func (c *Claims) expired(e *Entry, at time.Time) bool {
	return !at.Before(e.claimed.Add(c.settings.Lifetime))
}

// Apply folds a record and returns the name that it concerns. Records at
// offsets seen before change nothing. A record that can't be read only
// advances the offset.
func (c *Claims) Apply(offset uint64, at time.Time, data []byte) string {
	if c.started && offset < c.next {
		return ""
	}
	c.advance(offset, at)
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Name == "" || r.ID == "" {
		return ""
	}
	switch r.Kind {
	case KindClaim:
		c.claim(r)
	case KindAnswer:
		c.answer(r)
	case KindRelease:
		c.release(r)
	case KindLost:
		c.lose(r)
	}
	return r.Name
}

// advance moves the offset and the log's time, and notes a gap.
func (c *Claims) advance(offset uint64, at time.Time) {
	if at.After(c.latest) {
		c.latest = at
	}
	if offset != c.next {
		c.known = c.latest
	}
	c.started = true
	c.next = offset + 1
	c.expire()
}

// Skip notes that the log has dropped the records before an offset, all of
// which were older than the given log time.
func (c *Claims) Skip(first uint64, known time.Time) {
	if first <= c.next {
		return
	}
	if known.After(c.known) {
		c.known = known
	}
	c.next = first
	c.started = true
}

// claim takes a claim in. One that meets a doubtful claim is doubtful itself:
// the older claim that casts the doubt may have ended in between. The doubt
// ends once a name has seen no claim for a whole lifetime.
func (c *Claims) claim(r Record) {
	doubtful := c.latest.Before(c.known.Add(c.settings.Lifetime))
	if e, ok := c.entries[r.Name]; ok && !c.expired(e, c.latest) {
		if e.state != Doubtful {
			return
		}
		doubtful = true
	}
	e := &Entry{id: r.ID, holder: r.Holder, digest: r.Digest, claimed: c.latest}
	if doubtful {
		e.state = Doubtful
	}
	c.entries[r.Name] = e
	c.order = append(c.order, ticket{r.Name, r.ID})
}

// own returns the claim that a later record of its holder speaks of.
func (c *Claims) own(r Record) *Entry {
	e, ok := c.entries[r.Name]
	if !ok || e.id != r.ID {
		return nil
	}
	return e
}

func (c *Claims) answer(r Record) {
	e := c.own(r)
	if e == nil || r.Answer == nil || e.state == Answered {
		return
	}
	e.state = Answered
	e.answer = *r.Answer
	e.whole = !r.Partial
	if !e.whole {
		return
	}
	c.held = append(c.held, ticket{r.Name, r.ID})
	c.heldBytes += len(e.answer.Body)
	c.trimHeld()
}

// trimHeld drops the oldest bodies while there are too many, and the tickets
// of those that have gone already.
func (c *Claims) trimHeld() {
	for len(c.held) > 0 {
		t := c.held[0]
		e, ok := c.entries[t.name]
		current := ok && e.id == t.id && e.whole
		if current && c.heldBytes <= c.settings.AnswerBytes {
			return
		}
		c.held = c.held[1:]
		if current {
			c.drop(e)
		}
	}
}

func (c *Claims) drop(e *Entry) {
	c.heldBytes -= len(e.answer.Body)
	e.answer.Body = nil
	e.whole = false
}

func (c *Claims) release(r Record) {
	e := c.own(r)
	if e == nil || e.state != Claimed {
		return
	}
	delete(c.entries, r.Name)
}

func (c *Claims) lose(r Record) {
	e := c.own(r)
	if e == nil || e.state != Claimed {
		return
	}
	e.state = Lost
}

// expire forgets claims whose lifetime has passed.
func (c *Claims) expire() {
	for len(c.order) > 0 {
		t := c.order[0]
		e, ok := c.entries[t.name]
		current := ok && e.id == t.id
		if current && !c.expired(e, c.latest) {
			return
		}
		c.order = c.order[1:]
		if !current {
			continue
		}
		if e.whole {
			c.drop(e)
		}
		delete(c.entries, t.name)
	}
}
