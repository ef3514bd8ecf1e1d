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

// Chooser returns a chooser that records how the attempts of versions under
// rollout end.
func (m *Manager) Chooser(inner sycwork.Chooser) sycwork.Chooser {
	return &observer{manager: m, inner: inner}
}

type observer struct {
	manager *Manager
	inner   sycwork.Chooser
}

// Choose passes the work on and watches the grant.
func (o *observer) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	inner, err := o.inner.Choose(ctx, w)
	if err != nil {
		return nil, err
	}
	g := &observed{Grant: inner, manager: o.manager, route: w.Route, id: o.manager.attempts.Add(1)}
	o.manager.begin(g.id, w, inner.Target())
	return g, nil
}

type observed struct {
	sycwork.Grant
	manager *Manager
	route   string
	// id is the attempt's number in the ledger.
	id   uint64
	once sync.Once
}

// FirstToken notes the first token and passes it on.
func (g *observed) FirstToken() {
	g.manager.options.Loop.Post(func(now time.Duration) { g.manager.ledger.RecordFirstToken(now, g.id) })
	g.Grant.FirstToken()
}

// Done records the result once and passes it on.
func (g *observed) Done(r sycwork.Result) {
	g.once.Do(func() { g.manager.record(g.id, g.route, g.Target(), r) })
	g.Grant.Done(r)
}

// begin has the first token of an attempt awaited, if its version is under rollout.
func (m *Manager) begin(id uint64, w sycwork.Work, target sycwork.Target) {
	if cell, judged := m.cell(w.Route, target); judged {
		cell.Size = sycrollout.SizeClass(target.Backlog + sycblock.Tokens(w.Prompt))
		m.options.Loop.Post(func(now time.Duration) { m.ledger.Begin(now, id, cell) })
	}
}

// record counts an attempt of a version under rollout. Attempts that did not
// reach an engine, or were refused or cancelled, say nothing of a version.
func (m *Manager) record(id uint64, route string, target sycwork.Target, r sycwork.Result) {
	cell, judged := m.cell(route, target)
	if !judged {
		return
	}
	cell.Size = sycrollout.SizeClass(target.Backlog + r.PromptTokens - r.CachedTokens)
	says := !r.Unreachable && r.Outcome != sycwork.Refused && r.Outcome != sycwork.Cancelled
	m.options.Loop.Post(func(now time.Duration) {
		if !says {
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
			m.failed(now)
			m.hurry(now)
		}
	})
}

// hurry has the others told of a failure at once.
func (m *Manager) hurry(now time.Duration) {
	if now-m.hurried >= failureGap {
		m.hurried = now
		m.options.Urgent()
	}
}

// cell is where an attempt is counted but for its size, and whether its version is judged.
func (m *Manager) cell(route string, target sycwork.Target) (sycrollout.Cell, bool) {
	generation, judged := m.view.Load().judged[target.Version]
	return sycrollout.Cell{
		Version:    target.Version,
		Generation: generation,
		Route:      route,
		Load:       sycrollout.LoadClass(target.Requests),
		Imported:   target.Import != nil,
	}, judged
}

const (
	// countsEvery is the number of digests from one with counts to the next.
	countsEvery = 4
	// allCountsEvery is the number of digests after which all counts are sent
	// again, for VMs that missed them.
	allCountsEvery = 40
	// doubtTold is for how long the others are told of a doubt, in case they miss a digest.
	// No trial ends as soon.
	doubtTold = time.Second
)

// shared is what the newest digest tells.
type shared struct {
	sequence uint64
	list     []*sycpeerpb.VersionEvidence
	// sent holds what each cell had counted when its counts were last sent.
	sent map[sycrollout.Cell]told
	// late is how many first tokens were counted late, and due is set while the others
	// are to be told of some.
	late uint64
	due  bool
}

// told is how much a cell had counted, and how many failures of it.
type told struct {
	seen     uint64
	failures uint64
}

// LocalEvidence returns this VM's evidence for the digest with the given number:
// its vetoes and new doubts, new failures and late first tokens always, and from time to time all
// counts that have changed. It must not be called on the control loop.
func (m *Manager) LocalEvidence(sequence uint64) []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	m.options.Loop.Do(func(now time.Duration) {
		if sequence != m.shared.sequence {
			m.shared.sequence = sequence
			m.shared.list = slices.Concat(m.vetoesOut(), m.doubtsOut(now), m.countsOut(sequence))
		}
		list = m.shared.list
	})
	return list
}

func (m *Manager) vetoesOut() []*sycpeerpb.VersionEvidence {
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

// doubtsOut tells of doubts that are new: the others begin their trials with this VM's, and
// an end of their own must not be undone by this VM's that goes on.
func (m *Manager) doubtsOut(now time.Duration) []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	for _, s := range m.stages {
		if s.judge.Reevaluating() && s.doubted > 0 && now-s.doubted < doubtTold {
			list = append(list, &sycpeerpb.VersionEvidence{
				Version:    s.subject.Version,
				Generation: s.subject.Generation,
				Reason:     s.verdict.ReevaluationReason,
			})
		}
	}
	return list
}

func (m *Manager) countsOut(sequence uint64) []*sycpeerpb.VersionEvidence {
	if sequence%allCountsEvery == 0 {
		m.shared.sent = map[sycrollout.Cell]told{}
	}
	due := m.shared.due || sequence%countsEvery == 0
	m.shared.due = false
	var list []*sycpeerpb.VersionEvidence
	for cell, counts := range m.ledger.Own() {
		was, now := m.shared.sent[cell], told{seen: counts.Seen(), failures: counts.Failures}
		if was.failures == now.failures && (!due || was.seen == now.seen) {
			continue
		}
		m.shared.sent[cell] = now
		list = append(list, sycevidence.Encode(cell, counts))
	}
	return list
}

// MergeEvidence takes in a peer's evidence and vetoes.
func (m *Manager) MergeEvidence(from *sycpeerpb.Vm, evidence []*sycpeerpb.VersionEvidence) {
	source := from.GetAddress() + "/" + from.GetIncarnation()
	m.options.Loop.Post(func(now time.Duration) {
		urgent := false
		for _, e := range evidence {
			m.merge(now, source, e)
			urgent = urgent || e.GetFailures() > 0 || e.GetReason() != "" && !e.GetVeto()
		}
		if urgent {
			m.failed(now)
		}
	})
}

func (m *Manager) merge(now time.Duration, source string, e *sycpeerpb.VersionEvidence) {
	if m.view.Load().judged[e.GetVersion()] != e.GetGeneration() {
		return
	}
	subject := sycrollout.Subject{Version: e.GetVersion(), Generation: e.GetGeneration()}
	if e.GetVeto() {
		m.veto(subject, e.GetReason())
		return
	}
	if e.GetReason() != "" {
		m.doubt(now, subject, e.GetReason())
		return
	}
	cell, counts, ok := sycevidence.Decode(e)
	if ok {
		m.ledger.Merge(source, cell, counts)
	}
}
