package sycversion

import (
	"context"
	"sync"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Chooser returns a chooser that records how the attempts of versions under
// rollout end.
func (m *Manager) Chooser(inner sycwork.Chooser) sycwork.Chooser {
	return &observer{manager: m, inner: inner, inFlight: map[string]int{}}
}

type observer struct {
	manager *Manager
	inner   sycwork.Chooser

	mu sync.Mutex
	// inFlight counts this VM's attempts by endpoint.
	inFlight map[string]int
}

// Choose passes the work on and watches the grant.
func (o *observer) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	inner, err := o.inner.Choose(ctx, w)
	if err != nil {
		return nil, err
	}
	endpoint := inner.Target().Endpoint
	return &observed{
		Grant:    inner,
		observer: o,
		route:    w.Route,
		load:     sycrollout.LoadClass(o.add(endpoint, 1)),
	}, nil
}

func (o *observer) add(endpoint string, n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.inFlight[endpoint]
	o.inFlight[endpoint] = before + n
	if o.inFlight[endpoint] == 0 {
		delete(o.inFlight, endpoint)
	}
	return before
}

type observed struct {
	sycwork.Grant
	observer *observer
	route    string
	load     int
	once     sync.Once
}

// Done records the result once and passes it on.
func (g *observed) Done(r sycwork.Result) {
	g.once.Do(func() {
		target := g.Target()
		g.observer.add(target.Endpoint, -1)
		g.observer.manager.record(g.route, g.load, target, r)
	})
	g.Grant.Done(r)
}

// record counts an attempt of a version under rollout. Refused and cancelled
// attempts say nothing of a version.
func (m *Manager) record(route string, load int, target sycwork.Target, r sycwork.Result) {
	generation, judged := m.view.Load().judged[target.Version]
	if !judged || r.Outcome == sycwork.Refused || r.Outcome == sycwork.Cancelled {
		return
	}
	cell := sycrollout.Cell{
		Version:    target.Version,
		Generation: generation,
		Route:      route,
		Load:       load,
		Size:       sycrollout.SizeClass(r.PromptTokens - r.CachedTokens),
	}
	sample := sycrollout.Sample{
		Failed:        r.Outcome == sycwork.Failed,
		FirstToken:    r.FirstToken,
		BetweenTokens: r.BetweenTokens,
	}
	m.options.Loop.Post(func(time.Duration) { m.ledger.Record(cell, sample) })
}

// ShareOut returns this VM's evidence for its peers. It must not be called on
// the control loop.
func (m *Manager) ShareOut() []*sycpeerpb.VersionEvidence {
	var list []*sycpeerpb.VersionEvidence
	m.options.Loop.Do(func(time.Duration) {
		for cell, counts := range m.ledger.Own() {
			list = append(list, encode(cell, counts))
		}
		for subject, reason := range m.vetoes {
			list = append(list, &sycpeerpb.VersionEvidence{
				Version:    subject.Version,
				Generation: subject.Generation,
				Veto:       true,
				Reason:     reason,
			})
		}
	})
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
	cell, counts, ok := decode(e)
	if ok {
		m.ledger.Merge(source, cell, counts)
	}
}

func encode(cell sycrollout.Cell, c sycrollout.Counts) *sycpeerpb.VersionEvidence {
	return &sycpeerpb.VersionEvidence{
		Version:       cell.Version,
		Generation:    cell.Generation,
		Route:         cell.Route,
		Load:          cell.Class(),
		Requests:      c.Requests,
		Failures:      c.Failures,
		FirstToken:    c.FirstToken[:],
		BetweenTokens: c.BetweenTokens[:],
	}
}

func decode(e *sycpeerpb.VersionEvidence) (sycrollout.Cell, sycrollout.Counts, bool) {
	cell := sycrollout.Cell{Version: e.GetVersion(), Generation: e.GetGeneration(), Route: e.GetRoute()}
	counts := sycrollout.Counts{Requests: e.GetRequests(), Failures: e.GetFailures()}
	if !cell.SetClass(e.GetLoad()) {
		return cell, counts, false
	}
	n := copy(counts.FirstToken[:], e.GetFirstToken())
	k := copy(counts.BetweenTokens[:], e.GetBetweenTokens())
	return cell, counts, n == sycrollout.BucketCount && k == sycrollout.BucketCount
}
