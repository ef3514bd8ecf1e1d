package sycversion

import (
	"context"
	"slices"
	"sync"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/peer/sycevidence"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Chooser wraps a chooser so that the results of attempts by versions under rollout are
// recorded as evidence.
func (m *Manager) Chooser(inner sycwork.Chooser) sycwork.Chooser {
	return &recordingChooser{manager: m, inner: inner}
}

// recordingChooser records the attempts that the inner chooser grants.
type recordingChooser struct {
	// manager records the attempts.
	manager *Manager
	// inner selects the endpoints.
	inner sycwork.Chooser
}

// Choose selects an endpoint with the inner chooser and returns a grant that records the
// attempt.
func (c *recordingChooser) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	inner, err := c.inner.Choose(ctx, w)
	if err != nil {
		return nil, err
	}
	g := &recordingGrant{Grant: inner, manager: c.manager, route: w.Route, id: c.manager.attempts.Add(1)}
	c.manager.beginAttempt(g.id, w, inner.Target())
	return g, nil
}

// recordingGrant is a grant that records its attempt's first token and result.
type recordingGrant struct {
	// Grant is the inner chooser's grant.
	sycwork.Grant
	// manager records the attempt.
	manager *Manager
	// route is the name of the route that the request came by.
	route string
	// id is the attempt's number in the ledger.
	id uint64
	// once ensures that only the first result is recorded.
	once sync.Once
}

// FirstToken records that the first token has arrived, and calls the inner grant's
// FirstToken.
func (g *recordingGrant) FirstToken() {
	g.manager.options.Loop.Post(func(now time.Duration) { g.manager.ledger.RecordFirstToken(now, g.id) })
	g.Grant.FirstToken()
}

// Done records the first result, and calls the inner grant's Done.
func (g *recordingGrant) Done(r sycwork.Result) {
	g.once.Do(func() { g.manager.recordResult(g.id, g.route, g.Target(), r) })
	g.Grant.Done(r)
}

// beginAttempt adds an attempt to the ledger's pending ones if its version is under
// rollout.
func (m *Manager) beginAttempt(id uint64, w sycwork.Work, target sycwork.Target) {
	if cell, underRollout := m.cellFor(w.Route, target); underRollout {
		cell.Size = sycrollout.SizeClass(target.Backlog + sycblock.Tokens(w.Prompt))
		m.options.Loop.Post(func(now time.Duration) { m.ledger.Begin(now, id, cell) })
	}
}

// recordResult counts the result of an attempt if its version is under rollout. Attempts
// that didn't reach an engine, or were refused or cancelled, are no evidence for or against
// a version.
func (m *Manager) recordResult(id uint64, route string, target sycwork.Target, r sycwork.Result) {
	cell, underRollout := m.cellFor(route, target)
	if !underRollout {
		return
	}
	cell.Size = sycrollout.SizeClass(target.Backlog + r.PromptTokens - r.CachedTokens)
	isEvidence := !r.Unreachable && r.Outcome != sycwork.Refused && r.Outcome != sycwork.Cancelled
	m.options.Loop.Post(func(now time.Duration) {
		if !isEvidence {
			m.ledger.Forget(id)
			return
		}
		failed := r.Outcome == sycwork.Failed
		m.ledger.End(now, id, cell, sycrollout.Sample{
			Failed:        failed,
			FirstToken:    r.FirstToken,
			BetweenTokens: r.BetweenTokens,
		})
		if failed {
			m.judgeUrgently(now)
			m.requestDigest(now)
		}
	})
}

// requestDigest has this VM send its digest to its peers at once, unless it was requested
// less than urgentInterval ago.
func (m *Manager) requestDigest(now time.Duration) {
	if now-m.digestRequestedAt >= urgentInterval {
		m.digestRequestedAt = now
		m.options.Urgent()
	}
}

// cellFor returns the ledger's cell for an attempt, without its size class, and whether
// the attempt's version is under rollout.
func (m *Manager) cellFor(route string, target sycwork.Target) (sycrollout.Cell, bool) {
	generation, underRollout := m.view.Load().generations[target.Version]
	return sycrollout.Cell{
		Version:    target.Version,
		Generation: generation,
		Route:      route,
		Load:       sycrollout.LoadClass(target.Requests),
		Imported:   target.Import != nil,
	}, underRollout
}

const (
	// countsEvery is the interval, in digests, at which changed counts are sent.
	countsEvery = 4
	// allCountsEvery is the interval, in digests, at which all counts are sent again, for
	// VMs that missed a digest.
	allCountsEvery = 40
	// reevaluationSendTime is how long digests announce a re-evaluation that this VM has
	// begun, for peers that miss a digest. Every re-evaluation lasts longer.
	reevaluationSendTime = time.Second
)

// outgoingEvidence holds this VM's evidence in its newest digest, and what is needed to
// select the evidence in the next digest.
type outgoingEvidence struct {
	// sequence is the number of the newest digest.
	sequence uint64
	// list holds the evidence in that digest. It is stored because each digest is built
	// twice, for the peers in this failure domain and for the others.
	list []*sycpeerpb.VersionEvidence
	// sent holds each cell's counts as they were last sent. A cell is a version and a kind
	// of request, whose attempts are counted together.
	sent map[sycrollout.Cell]sentCounts
	// lateFirstTokens is the ledger's number of late first tokens of candidates at the last
	// judgement. A first token is late if it has been awaited much longer than nearly all of
	// the predecessor's took. The ledger counts it before it arrives.
	lateFirstTokens uint64
	// countsDue is set when the next digest must have the changed counts because they
	// include new late first tokens.
	countsDue bool
}

// sentCounts summarizes a cell's counts, to detect whether they have changed since they
// were sent.
type sentCounts struct {
	// seen is the number that sycrollout.Counts.Seen returned.
	seen uint64
	// failures is the number of failed attempts.
	failures uint64
}

// LocalEvidence returns this VM's evidence for the digest with the given number. It
// includes all vetoes, new re-evaluations, and counts with new failures or late first
// tokens. Every countsEvery digests it includes all changed counts. It must not be called
// on the control loop.
func (m *Manager) LocalEvidence(sequence uint64) []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	m.options.Loop.Do(func(now time.Duration) {
		if sequence != m.outgoing.sequence {
			m.outgoing.sequence = sequence
			m.outgoing.list = slices.Concat(m.vetoEvidence(), m.reevaluationEvidence(now), m.countEvidence(sequence))
		}
		list = m.outgoing.list
	})
	return list
}

// vetoEvidence returns the vetoes in force, for a digest.
func (m *Manager) vetoEvidence() []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	for subject, reason := range m.vetoes {
		list = append(list, &sycpeerpb.VersionEvidence{
			Version:    subject.Version,
			Generation: subject.Generation,
			Veto:       true,
			Reason:     reason,
		})
	}
	return list
}

// reevaluationEvidence returns the re-evaluations that this VM has begun within
// reevaluationSendTime, for a digest. Peers begin theirs when they receive it. Older ones
// aren't sent, since they would restart a re-evaluation that a peer has already ended.
func (m *Manager) reevaluationEvidence(now time.Duration) []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	for _, s := range m.stages {
		if s.comparison.Reevaluating() && s.reevaluatedAt > 0 && now-s.reevaluatedAt < reevaluationSendTime {
			list = append(list, &sycpeerpb.VersionEvidence{
				Version:    s.subject.Version,
				Generation: s.subject.Generation,
				Reason:     s.verdict.ReevaluationReason,
			})
		}
	}
	return list
}

// countEvidence returns the counts to send in the digest with the given number.
func (m *Manager) countEvidence(sequence uint64) []*sycpeerpb.VersionEvidence {
	if sequence%allCountsEvery == 0 {
		m.outgoing.sent = map[sycrollout.Cell]sentCounts{}
	}
	due := m.outgoing.countsDue || sequence%countsEvery == 0
	m.outgoing.countsDue = false
	var list []*sycpeerpb.VersionEvidence
	for cell, counts := range m.ledger.Own() {
		last, current := m.outgoing.sent[cell], sentCounts{seen: counts.Seen(), failures: counts.Failures}
		if last.failures == current.failures && (!due || last.seen == current.seen) {
			continue
		}
		m.outgoing.sent[cell] = current
		list = append(list, sycevidence.Encode(cell, counts))
	}
	return list
}

// MergeEvidence applies the evidence in a peer's digest: its counts, vetoes and
// re-evaluations.
func (m *Manager) MergeEvidence(from *sycpeerpb.Vm, evidence []*sycpeerpb.VersionEvidence) {
	source := from.GetAddress() + "/" + from.GetIncarnation()
	m.options.Loop.Post(func(now time.Duration) {
		urgent := false
		for _, e := range evidence {
			m.mergeItem(now, source, e)
			urgent = urgent || e.GetFailures() > 0 || e.GetReason() != "" && !e.GetVeto()
		}
		if urgent {
			m.judgeUrgently(now)
		}
	})
}

// mergeItem applies one item of a peer's evidence: a veto, a re-evaluation or the counts
// of a cell. Items for versions that aren't under rollout here are ignored.
func (m *Manager) mergeItem(now time.Duration, source string, e *sycpeerpb.VersionEvidence) {
	if m.view.Load().generations[e.GetVersion()] != e.GetGeneration() {
		return
	}
	subject := sycrollout.Subject{Version: e.GetVersion(), Generation: e.GetGeneration()}
	if e.GetVeto() {
		m.veto(subject, e.GetReason())
		return
	}
	if e.GetReason() != "" {
		m.reevaluate(now, subject, e.GetReason())
		return
	}
	cell, counts, ok := sycevidence.Decode(e)
	if ok {
		m.ledger.Merge(source, cell, counts)
	}
}
