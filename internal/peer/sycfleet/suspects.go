package sycfleet

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// contentSettle is how long before an answer broke off its first content must have come
	// to clear the request. An endpoint may send it just before it ends.
	contentSettle = 100 * time.Millisecond
	// observationLifetime is how long an observation is told, and convictionLifetime a
	// conviction, which is repeated within that time.
	observationLifetime = 5 * time.Second
	convictionLifetime  = 20 * time.Second
)

// suspects tracks the blocks of prompts that may end endpoints.
type suspects struct {
	tracker *sycsuspect.Tracker
	// flights holds the attempts of prompts in flight by their IDs.
	flights map[uint64]*flight
}

// flight is an attempt of a prompt in flight.
type flight struct {
	prompt sycsuspect.Prompt
	// endpoint identifies the endpoint's incarnation.
	endpoint string
	sentAt   time.Duration
	// contentAt is when the first content of the answer came, 0 before.
	contentAt time.Duration
	// broken is set if the answer broke off because the endpoint seems to have ended, and
	// begun if it had begun by then.
	broken, begun bool
}

func newSuspects(incarnation string) *suspects {
	return &suspects{
		tracker: sycsuspect.New(xxhash.Sum64String(incarnation)),
		flights: map[uint64]*flight{},
	}
}

// incarnationID identifies an incarnation of an endpoint.
func incarnationID(e sycplace.Endpoint) string {
	return e.ID + "/" + strconv.FormatInt(e.Incarnation, 10)
}

// BlockID returns a block's hash as logs show it.
func BlockID(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// EvidenceFields returns the log fields of what speaks against a block.
func EvidenceFields(hash uint64, e sycsuspect.Evidence) logrus.Fields {
	return logrus.Fields{
		"block": BlockID(hash), "waves": e.Waves, "ends": e.Ends, "prompts": e.Requests, "begun": e.Begun,
		"position": e.Depth, "evidence_age": e.Age.Round(time.Millisecond).String(),
	}
}

// judge returns why a request may not be sent, nil if it may. Again is set for a further attempt.
func (f *Fleet) judge(now time.Duration, r *sycplace.Request, again bool) *sycsuspect.Verdict {
	var v sycsuspect.Verdict
	if again {
		v = f.suspects.tracker.JudgeAgain(now, r.Prompt)
	} else {
		_, holds := f.lease.Holds(now)
		v = f.suspects.tracker.Judge(now, r.Prompt, holds)
	}
	if v.Reason == sycsuspect.Allowed {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_suspect_refusals_total{reason=%q,again="%t"}`, v.Reason, again)).Inc()
	return &v
}

// maySendAgain reports whether a request that has reached an endpoint may be sent again.
func (s *suspects) maySendAgain(now time.Duration, r *sycplace.Request) bool {
	return s.tracker.JudgeAgain(now, r.Prompt).Reason == sycsuspect.Allowed
}

// begin records that an attempt of a prompt is sent.
func (s *suspects) begin(now time.Duration, t *sycplace.Target, r *sycplace.Request) {
	if r.Prompt.Request == 0 {
		return
	}
	s.flights[r.ID] = &flight{prompt: r.Prompt, endpoint: incarnationID(t.Endpoint), sentAt: now}
	s.tracker.Begin(now, r.Prompt)
}

// recordContent records that the first content of an attempt's answer has arrived.
func (s *suspects) recordContent(now time.Duration, id uint64) {
	if a := s.flights[id]; a != nil && a.contentAt == 0 {
		a.contentAt = now
	}
}

// RecordBreak records that an attempt's answer broke off because its endpoint seems to have
// ended. Begun is set if the answer had begun. FinishAttempt follows.
func (f *Fleet) RecordBreak(id uint64, begun bool) {
	f.loop.Post(func(time.Duration) {
		if a := f.suspects.flights[id]; a != nil {
			a.broken, a.begun = true, begun
		}
	})
}

// finish records how an attempt ended. Counts is false if this VM knows another reason than the
// endpoint, such as a reload of weights.
func (s *suspects) finish(now time.Duration, id uint64, o sycplace.Outcome, counts bool) {
	a := s.flights[id]
	if a == nil {
		return
	}
	delete(s.flights, id)
	switch {
	case o == sycplace.Served:
		s.tracker.Answer(now, a.endpoint, a.sentAt)
		s.tracker.Serve(now, a.prompt)
		return
	case o == sycplace.Failed && a.broken && counts:
		s.tracker.Break(now, a.breakAt(now))
		if !a.cleared(now) {
			return
		}
	case o == sycplace.Unreachable || o == sycplace.Moved:
		s.tracker.End(now, a.endpoint)
	}
	s.tracker.Abandon(now, a.prompt)
}

// cleared reports whether the answer was under way for so long that its prompt can't be what
// ended the endpoint now.
func (a *flight) cleared(now time.Duration) bool {
	return a.contentAt > 0 && now-a.contentAt >= contentSettle
}

// breakAt returns the break of the attempt's answer. It names no blocks if the prompt is cleared.
func (a *flight) breakAt(now time.Duration) sycsuspect.Break {
	k := sycsuspect.Break{
		Prompt: a.prompt, Endpoint: a.endpoint, At: now, Took: now - a.sentAt, Begun: a.begun && a.contentAt == 0,
	}
	if a.cleared(now) {
		k.Blocks = nil
	}
	return k
}

// noteEnd returns a function that records that an endpoint's incarnation has ended, if the
// registry says so by then.
func (f *Fleet) noteEnd(now time.Duration, id string) func() {
	old, known := f.selector.Endpoint(id)
	return func() {
		if current, still := f.selector.Endpoint(id); known && (!still || current.Incarnation != old.Incarnation) {
			f.suspects.tracker.End(now, incarnationID(old))
		}
	}
}

// publishSuspects records what this VM has observed for the others, and logs what it believes
// from now on.
func (f *Fleet) publishSuspects(now time.Duration) {
	records := f.suspects.tracker.TakeRecords(now)
	f.logSuspects()
	for _, r := range records {
		m := encodeSuspect(r)
		m.Version = f.changes.version()
		f.changes.add(suspectChange, m, now+suspectLifetime(m))
	}
}

// receiveSuspect applies what another process has observed.
func (f *Fleet) receiveSuspect(now time.Duration, origin process, m *sycgossippb.Suspect) {
	f.suspects.tracker.Receive(now, strconv.FormatUint(uint64(origin), 16), decodeSuspect(m))
}

// suspectLifetime returns how long a message is told.
func suspectLifetime(m *sycgossippb.Suspect) time.Duration {
	if m.Conviction != nil {
		return convictionLifetime
	}
	return observationLifetime
}

// logSuspects logs and counts the changes of blocks' states.
func (f *Fleet) logSuspects() {
	for _, c := range f.suspects.tracker.TakeChanges() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_suspect_changes_total{from=%q,to=%q,adopted="%t"}`, c.From, c.To, c.Adopted)).Inc()
		if c.To == sycsuspect.Suspected || c.From == sycsuspect.Suspected && c.To == sycsuspect.Sound {
			continue
		}
		line := f.log.WithFields(EvidenceFields(c.Block, c.Evidence)).WithFields(logrus.Fields{
			"from": string(c.From), "to": string(c.To), "adopted": c.Adopted,
		})
		if c.To == sycsuspect.Convicted {
			line.Warn("fleet: block convicted")
			continue
		}
		line.Info("fleet: block's state changed")
	}
}

// measure adds the numbers of blocks that are suspected, held, convicted and checked.
func (s *suspects) measure(out map[string]float64) {
	for _, state := range []sycsuspect.State{sycsuspect.Suspected, sycsuspect.Held, sycsuspect.Convicted, sycsuspect.Checking} {
		out[fmt.Sprintf(`suspect_blocks{state=%q}`, state)] = float64(s.tracker.Count(state))
	}
}
