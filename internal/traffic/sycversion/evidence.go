package sycversion

import (
	"context"
	"sync"
	"time"

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
	return &observed{Grant: inner, manager: o.manager, route: w.Route}, nil
}

type observed struct {
	sycwork.Grant
	manager *Manager
	route   string
	once    sync.Once
}

// Done records the result once and passes it on.
func (g *observed) Done(r sycwork.Result) {
	g.once.Do(func() { g.manager.record(g.route, g.Target(), r) })
	g.Grant.Done(r)
}

// record counts an attempt of a version under rollout. Attempts that did not
// reach an engine, or were refused or cancelled, say nothing of a version.
func (m *Manager) record(route string, target sycwork.Target, r sycwork.Result) {
	generation, judged := m.view.Load().judged[target.Version]
	if !judged || r.Unreachable || r.Outcome == sycwork.Refused || r.Outcome == sycwork.Cancelled {
		return
	}
	cell := sycrollout.Cell{
		Version:    target.Version,
		Generation: generation,
		Route:      route,
		Load:       sycrollout.LoadClass(target.Requests),
		Size:       sizeClass(target, r),
	}
	sample := sycrollout.Sample{
		Failed:        r.Outcome == sycwork.Failed,
		FirstToken:    r.FirstToken,
		BetweenTokens: r.BetweenTokens,
	}
	m.options.Loop.Post(func(time.Duration) { m.ledger.Record(cell, sample) })
}

// sizeClass keeps requests with imported blocks apart, since the import takes
// part of their time.
func sizeClass(target sycwork.Target, r sycwork.Result) int {
	if target.Import != nil {
		return sycrollout.SizeImported
	}
	return sycrollout.SizeClass(target.Backlog + r.PromptTokens - r.CachedTokens)
}

const (
	// countsEvery is the number of digests from one with counts to the next.
	countsEvery = 4
	// allCountsEvery is the number of digests after which all counts are sent
	// again, for VMs that missed them.
	allCountsEvery = 40
)

// shared is what the newest digest tells.
type shared struct {
	sequence uint64
	list     []*sycpeerpb.VersionEvidence
	// sent holds the requests of each cell when its counts were last sent.
	sent map[sycrollout.Cell]uint64
}

// ShareOut returns this VM's evidence for the digest with the given number:
// its vetoes always, and from time to time the counts that have changed. It
// must not be called on the control loop.
func (m *Manager) ShareOut(sequence uint64) []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	m.options.Loop.Do(func(time.Duration) {
		if sequence != m.shared.sequence {
			m.shared.sequence = sequence
			m.shared.list = append(m.vetoesOut(), m.countsOut(sequence)...)
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

func (m *Manager) countsOut(sequence uint64) []*sycpeerpb.VersionEvidence {
	if sequence%countsEvery != 0 {
		return nil
	}
	if sequence%allCountsEvery == 0 {
		m.shared.sent = map[sycrollout.Cell]uint64{}
	}
	var list []*sycpeerpb.VersionEvidence
	for cell, counts := range m.ledger.Own() {
		if m.shared.sent[cell] == counts.Requests {
			continue
		}
		m.shared.sent[cell] = counts.Requests
		list = append(list, sycevidence.Encode(cell, counts))
	}
	return list
}

// ShareIn takes in a peer's evidence and vetoes.
func (m *Manager) ShareIn(from *sycpeerpb.Vm, evidence []*sycpeerpb.VersionEvidence) {
	source := from.GetAddress() + "/" + from.GetIncarnation()
	m.options.Loop.Post(func(time.Duration) {
		for _, e := range evidence {
			m.merge(source, e)
		}
	})
}

func (m *Manager) merge(source string, e *sycpeerpb.VersionEvidence) {
	if m.view.Load().judged[e.GetVersion()] != e.GetGeneration() {
		return
	}
	if e.GetVeto() {
		m.veto(sycrollout.Subject{Version: e.GetVersion(), Generation: e.GetGeneration()}, e.GetReason())
		return
	}
	cell, counts, ok := sycevidence.Decode(e)
	if ok {
		m.ledger.Merge(source, cell, counts)
	}
}
