package sycversion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/traffic/sycorder"
)

const (
	// proposeTimeout bounds an append to the system stream.
	proposeTimeout = 3 * time.Second
	// reportsAtOnce bounds the engines asked together.
	reportsAtOnce = 16
)

type loadKey struct {
	endpoint string
	weights  string
}

// loadTime times an engine's load of weights.
type loadTime struct {
	ordered time.Duration
	// loading is when the engine last reported that it still loads.
	loading time.Duration
	// took is 0 until the weights are there.
	took time.Duration
}

// round is a leader's work outside the control loop.
type round struct {
	proposals []proposal
	orders    []order
}

type proposal struct {
	kind   sycrecord.Kind
	name   string
	expect uint64
	spec   any
}

type order struct {
	address string
	body    sycorder.Order
}

// lead moves rollouts on while this VM holds the lease.
func (m *Manager) lead(ctx context.Context) {
	holds := false
	m.options.Loop.Do(func(now time.Duration) { _, holds = m.lease.Holds(now) })
	if !holds {
		return
	}
	reports := m.readReports(ctx)
	var r round
	m.options.Loop.Do(func(now time.Duration) { r = m.plan(now, reports) })
	for _, p := range r.proposals {
		m.propose(ctx, p)
	}
	for _, o := range r.orders {
		m.send(ctx, o)
	}
}

// propose appends a record and reports whether it was accepted.
func (m *Manager) propose(ctx context.Context, p proposal) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	spec, err := json.Marshal(p.spec)
	if err != nil {
		log.Errorf("%s %s: %v", p.kind, p.name, err)
		return false
	}
	result, err := m.options.Store.Propose(ctx, sycstate.SystemStream, sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		Verb:   sycrecord.Put,
		Kind:   p.kind,
		Name:   p.name,
		Expect: &p.expect,
		Spec:   spec,
	})
	switch {
	case err != nil:
		log.Debugf("%s %s was not recorded: %v", p.kind, p.name, err)
	case !result.Accepted():
		log.Debugf("%s %s was refused: %s", p.kind, p.name, result.Reason())
	case p.kind == sycrecord.KindRollout:
		log.Infof("version %s: %s", p.name, describe(p.spec))
	}
	return err == nil && result.Accepted()
}

func describe(spec any) string {
	fields, ok := spec.(sycrecord.RolloutFields)
	if !ok {
		return ""
	}
	return fmt.Sprintf("%s at a share of %g: %s", fields.State, fields.Share, fields.Reason)
}

// readReports asks all engines for their load reports; those that do not
// answer are left out.
func (m *Manager) readReports(ctx context.Context) map[string]sycorder.Report {
	reports := map[string]sycorder.Report{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(reportsAtOnce)
	for _, e := range m.options.Store.Config().Endpoints() {
		endpoint := e.Value()
		if endpoint.Type() != sycrecord.EndpointEngine || endpoint.Leaving() {
			continue
		}
		group.Go(func() error {
			report, err := m.engines.Report(ctx, endpoint.Address())
			if err != nil {
				log.Debugf("endpoint %s: %v", endpoint.Name(), err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			reports[endpoint.Name()] = report
			return nil
		})
	}
	group.Wait()
	return reports
}

// plan decides on every model's rollout. It runs on the control loop.
func (m *Manager) plan(now time.Duration, reports map[string]sycorder.Report) round {
	var r round
	fence, ok := m.lease.Holds(now + sycorder.Timeout)
	if !ok {
		return r
	}
	config := m.options.Store.Config()
	system := m.options.Store.System()
	for _, model := range sycrollout.Models(config) {
		l := sycrollout.NewLineup(model, config, system)
		engines := enginesOf(model, config, reports)
		m.timeLoads(now, engines)
		if l.HasCandidate {
			r.proposals = append(r.proposals, m.progress(now, model, l, engines, fence)...)
		}
		for _, o := range sycrollout.Orders(model, l, engines) {
			r.orders = append(r.orders, m.order(now, config, o, fence))
		}
	}
	for _, o := range sycrollout.RoleOrders(rolesOf(config, reports, m.lease.Term())) {
		r.orders = append(r.orders, m.order(now, config, o, fence))
	}
	return r
}

// progress returns the next record of a model's rollout, if there is one.
func (m *Manager) progress(now time.Duration, model string, l sycrollout.Lineup, engines []sycrollout.EngineState, fence uint64) []proposal {
	candidate, _ := l.Subjects()
	s := m.stages[model]
	if s == nil || s.subject != candidate || s.state != l.Progress.State || s.share != l.Progress.Share {
		return nil
	}
	weights := l.Candidate.Value().Weights()
	s.engines = len(engines)
	s.ready, s.loadTime = 0, m.typicalLoad(weights)
	for _, e := range engines {
		if e.HasLoaded(l.Candidate) {
			s.ready++
		}
	}
	next, ok := sycrollout.Decide(m.decision(now, m.options.Wall(), l, s))
	if !ok {
		return nil
	}
	next.Fence = fence
	return []proposal{{
		kind:   sycrecord.KindRollout,
		name:   candidate.Version,
		expect: l.ProgressGeneration,
		spec:   next,
	}}
}

// enginesOf lists the engines of a model that answered.
func enginesOf(model string, config *sycconfig.State, reports map[string]sycorder.Report) []sycrollout.EngineState {
	var list []sycrollout.EngineState
	for _, e := range config.Endpoints() {
		report, ok := reports[e.Value().Name()]
		if !ok || !slices.Contains(e.Value().Models(), model) {
			continue
		}
		state := sycrollout.EngineState{
			Endpoint:      e.Value().Name(),
			FailureDomain: e.Value().FailureDomain(),
		}
		for _, w := range report.Weights {
			switch {
			case w.Model != model:
			case w.State == sycorder.Ready:
				state.Ready = append(state.Ready, w.Weights)
				for _, adapter := range w.Adapters {
					state.Adapters = append(state.Adapters, sycrollout.Adapter{Weights: w.Weights, Name: adapter})
				}
			case w.State == sycorder.Loading:
				state.Loading = append(state.Loading, w.Weights)
			}
		}
		list = append(list, state)
	}
	return list
}

// rolesOf lists the engines that answered with their roles; term is the lowest
// fencing number of the present leader.
func rolesOf(config *sycconfig.State, reports map[string]sycorder.Report, term uint64) []sycrollout.EngineRole {
	var list []sycrollout.EngineRole
	for _, e := range config.Endpoints() {
		if report, ok := reports[e.Value().Name()]; ok {
			list = append(list, sycrollout.EngineRole{
				Endpoint: e.Value().Name(),
				Wanted:   e.Value().Role(),
				Reported: report.Role,
				Unfenced: e.Value().ChecksFencing() && report.Fence < term,
			})
		}
	}
	return list
}

// timeLoads notes how long engines took to load what they were told to. A load counts up to
// the last report that it went on, since this VM may not have looked for long after it.
func (m *Manager) timeLoads(now time.Duration, engines []sycrollout.EngineState) {
	for _, e := range engines {
		for _, weights := range e.Loading {
			key := loadKey{e.Endpoint, weights}
			if t, ok := m.loads[key]; ok && t.took == 0 {
				t.loading = now
				m.loads[key] = t
			}
		}
		for _, weights := range e.Ready {
			key := loadKey{e.Endpoint, weights}
			if t, ok := m.loads[key]; ok && t.took == 0 {
				t.took = min(now, t.loading+TickPeriod) - t.ordered
				m.loads[key] = t
			}
		}
	}
}

// typicalLoad is the median time that engines took to load weights, 0 if none is known. One
// engine that is slow says little of the others.
func (m *Manager) typicalLoad(weights string) time.Duration {
	var times []time.Duration
	for key, t := range m.loads {
		if key.weights == weights && t.took > 0 {
			times = append(times, t.took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (m *Manager) order(now time.Duration, config *sycconfig.State, o sycrollout.Order, fence uint64) order {
	key := loadKey{o.Endpoint, o.Weights}
	if t, ok := m.loads[key]; o.Kind == sycrollout.OrderLoad && (!ok || t.took > 0) {
		m.loads[key] = loadTime{ordered: now, loading: now}
	}
	endpoint, _ := config.Endpoint(o.Endpoint)
	return order{
		address: endpoint.Value().Address(),
		body: sycorder.Order{
			ID:      fmt.Sprintf("%d-%s-%s-%s-%s%s", fence, o.Kind, o.Endpoint, o.Weights, o.Adapter, o.Role),
			Fence:   fence,
			Kind:    o.Kind,
			Model:   o.Model,
			Weights: o.Weights,
			Adapter: o.Adapter,
			Role:    o.Role,
		},
	}
}

// send gives an order only while the lease outlasts the call, so that no order
// of this VM can reach an engine after another VM has become leader.
func (m *Manager) send(ctx context.Context, o order) {
	holds := false
	m.options.Loop.Do(func(now time.Duration) {
		_, holds = m.lease.Holds(now + sycorder.Timeout)
	})
	if !holds {
		return
	}
	err := m.engines.Send(ctx, o.address, o.body)
	var fenced *sycorder.FencedError
	if errors.As(err, &fenced) {
		log.Warnf("order %s came too late: %v", o.body.ID, err)
		return
	}
	if err != nil {
		log.Debugf("order %s failed: %v", o.body.ID, err)
	}
}
