package sycclaim

import (
	"encoding/json"
	"time"
)

// Kind is the type of a record of the claims stream.
type Kind string

// Kinds of records.
const (
	// KindClaim asks for the right to run a call. The record with the lowest offset wins.
	KindClaim Kind = "claim"
	// KindAnswer records that the call ran. It includes the answer's body if that is
	// short enough.
	KindAnswer Kind = "answer"
	// KindRelease gives up a claim whose call certainly did not run.
	KindRelease Kind = "release"
	// KindLost records that the call may have run and that its answer will never be known.
	KindLost Kind = "lost"
)

// Record is one record of the claims stream, stored as JSON.
type Record struct {
	// Schema is the version of the record's format, see the constant Schema.
	Schema int `json:"schema"`
	// Kind is the type of the record.
	Kind Kind `json:"kind"`
	// Name is the name of the claim, see Call.Name.
	Name string `json:"name"`
	// ID identifies the KindClaim record. Every KindClaim record has an ID of its own,
	// and the records that follow it repeat the ID.
	ID string `json:"id"`
	// Holder is the peer address of the VM that asks for the claim.
	Holder string `json:"holder,omitempty"`
	// Digest is the digest of the request, see Call.Digest.
	Digest string `json:"digest,omitempty"`
	// Answer is set on KindAnswer.
	Answer *Answer `json:"answer,omitempty"`
	// Partial is set if the body of Answer is left out of the record.
	Partial bool `json:"partial,omitempty"`
}

// Schema is the version of the format in which records are written.
const Schema = 1

// State is what the records say about the call of a claim.
type State int

// States of claims.
const (
	// Claimed means that the holder may run the call or is running it.
	Claimed State = iota
	// Doubtful means that an older claim of the same name may exist, because the log
	// discarded records before this VM read them. The call must not run.
	Doubtful
	// Answered means that the call ran and was answered.
	Answered
	// Lost means that the call may have run and that its answer will never be known.
	Lost
)

// Entry holds the claim that won for a name, and its state.
type Entry struct {
	// id, holder and digest are the fields of the KindClaim record that won.
	id     string
	holder string
	digest string
	// claimed is the log time of that record.
	claimed time.Time
	state   State
	// answer is valid if state is Answered.
	answer Answer
	// hasBody is set while the body of answer is stored.
	hasBody bool
}

// ID returns the ID of the KindClaim record that won.
func (e Entry) ID() string { return e.id }

// Holder returns the peer address of the VM whose claim won.
func (e Entry) Holder() string { return e.holder }

// Digest returns the digest of the request whose claim won, see Call.Digest.
func (e Entry) Digest() string { return e.digest }

// Claimed returns the log's time at which the claim was recorded.
func (e Entry) Claimed() time.Time { return e.claimed }

// State returns what the records say about the call.
func (e Entry) State() State { return e.state }

// Answer returns the call's answer. The result is false if the body isn't stored, so
// that only the status and content type are known.
func (e Entry) Answer() (Answer, bool) { return e.answer, e.hasBody }

// Settings configures Claims. It must be the same on all VMs.
type Settings struct {
	// Lifetime is how long a claim is in force, by the log's time. The log must keep
	// records for longer than that.
	Lifetime time.Duration
	// AnswerBytes limits the total size of the stored bodies of answers. Beyond it
	// the oldest bodies are discarded first.
	AnswerBytes int
}

// Claims holds the claims in force, computed from the records of the claims stream.
// Equal records give equal claims. There are no snapshots: claims are few and
// short-lived enough that a VM reads all records that the log keeps. Claims is not
// safe for concurrent use.
type Claims struct {
	settings Settings
	// next is the offset after the last applied or skipped record; it never decreases.
	next uint64
	// started is set once a record was applied or skipped.
	started bool
	// completeSince is the log time since which no record was missed.
	completeSince time.Time
	// latest is the newest log time of a record; it never decreases.
	latest time.Time
	// entries holds the winning claims by name.
	entries map[string]*Entry
	// byAge lists the winning claims from the oldest to the newest, for their expiry.
	// It may contain claims that are no longer in entries.
	byAge []claimKey
	// withBody lists the claims whose answers' bodies are stored, from the oldest
	// answer to the newest. It may contain claims that are no longer in entries.
	withBody []claimKey
	// bodyBytes is the total size of the stored bodies.
	bodyBytes int
}

// claimKey identifies a claim by its name and by the ID of its KindClaim record. The ID
// tells the claim from a later claim of the same name.
type claimKey struct {
	name string
	id   string
}

// New returns claims to which no record has been applied.
func New(s Settings) *Claims {
	return &Claims{settings: s, entries: map[string]*Entry{}}
}

// Next returns the offset of the next record to apply.
func (c *Claims) Next() uint64 { return c.next }

// Len returns the number of stored claims.
func (c *Claims) Len() int { return len(c.entries) }

// Lookup returns the claim of a name that is in force at the newest log time of the
// records applied. The result is false if there is none.
func (c *Claims) Lookup(name string) (Entry, bool) {
	e, ok := c.entries[name]
	if !ok || c.expired(e, c.latest) {
		return Entry{}, false
	}
	return *e, true
}

// expired reports whether the lifetime of e has passed at the given log time.
func (c *Claims) expired(e *Entry, at time.Time) bool {
	return !at.Before(e.claimed.Add(c.settings.Lifetime))
}

// Apply applies a record, which the log stored at the given offset and log time, and
// returns the name of the record's claim. Records at offsets before Next change
// nothing. For a record that can't be decoded Apply only advances Next and returns "".
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

// advance updates next and the log time for a record. If the offset is not the
// expected one, records were missed, and completeSince moves to the log time.
func (c *Claims) advance(offset uint64, at time.Time) {
	if at.After(c.latest) {
		c.latest = at
	}
	if offset != c.next {
		c.completeSince = c.latest
	}
	c.started = true
	c.next = offset + 1
	c.expire()
}

// Skip is called when the log has discarded the records before the offset first, so
// that this VM can't read them. All of them must be older than the log time known.
func (c *Claims) Skip(first uint64, known time.Time) {
	if first <= c.next {
		return
	}
	if known.After(c.completeSince) {
		c.completeSince = known
	}
	c.next = first
	c.started = true
}

// claim applies a KindClaim record. It changes nothing if another claim of the name is
// in force, unless that one is doubtful. A claim is doubtful if it is made less than a
// lifetime after completeSince. A claim that replaces a doubtful claim in force is
// doubtful too, because it can't be known whether the missed older claim has ended
// meanwhile. A name is free of doubt once no claim was made for a whole lifetime.
func (c *Claims) claim(r Record) {
	doubtful := c.latest.Before(c.completeSince.Add(c.settings.Lifetime))
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
	c.byAge = append(c.byAge, claimKey{r.Name, r.ID})
}

// entryOf returns the entry of the claim whose ID the record r repeats. It returns nil
// if that claim did not win or is no longer stored.
func (c *Claims) entryOf(r Record) *Entry {
	e, ok := c.entries[r.Name]
	if !ok || e.id != r.ID {
		return nil
	}
	return e
}

// answer applies a KindAnswer record.
func (c *Claims) answer(r Record) {
	e := c.entryOf(r)
	if e == nil || r.Answer == nil || e.state == Answered {
		return
	}
	e.state = Answered
	e.answer = *r.Answer
	e.hasBody = !r.Partial
	if !e.hasBody {
		return
	}
	c.withBody = append(c.withBody, claimKey{r.Name, r.ID})
	c.bodyBytes += len(e.answer.Body)
	c.trimBodies()
}

// trimBodies discards the oldest stored bodies until AnswerBytes holds. It also removes
// keys from the front of withBody whose bodies are no longer stored.
func (c *Claims) trimBodies() {
	for len(c.withBody) > 0 {
		key := c.withBody[0]
		e, ok := c.entries[key.name]
		current := ok && e.id == key.id && e.hasBody
		if current && c.bodyBytes <= c.settings.AnswerBytes {
			return
		}
		c.withBody = c.withBody[1:]
		if current {
			c.dropBody(e)
		}
	}
}

// dropBody discards the body of an entry's answer.
func (c *Claims) dropBody(e *Entry) {
	c.bodyBytes -= len(e.answer.Body)
	e.answer.Body = nil
	e.hasBody = false
}

// release applies a KindRelease record.
func (c *Claims) release(r Record) {
	e := c.entryOf(r)
	if e == nil || e.state != Claimed {
		return
	}
	delete(c.entries, r.Name)
}

// lose applies a KindLost record.
func (c *Claims) lose(r Record) {
	e := c.entryOf(r)
	if e == nil || e.state != Claimed {
		return
	}
	e.state = Lost
}

// expire removes claims whose lifetime has passed.
func (c *Claims) expire() {
	for len(c.byAge) > 0 {
		key := c.byAge[0]
		e, ok := c.entries[key.name]
		current := ok && e.id == key.id
		if current && !c.expired(e, c.latest) {
			return
		}
		c.byAge = c.byAge[1:]
		if !current {
			continue
		}
		if e.hasBody {
			c.dropBody(e)
		}
		delete(c.entries, key.name)
	}
}
