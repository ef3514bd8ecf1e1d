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
	// proposeTimeout limits the time for an append to the system stream.
	proposeTimeout = 3 * time.Second
	// maxParallelReports limits the load reports that are read at a time.
	maxParallelReports = 16
)

// loadKey identifies an engine's load of weights.
type loadKey struct {
	// endpoint is the name of the engine's endpoint record.
	endpoint string
	// weights is the name of the weights.
	weights string
}

// loadTime measures how long an engine takes to load weights. Its times are those of the
// control loop.
type loadTime struct {
	// orderedAt is when the load was ordered.
	orderedAt time.Duration
	// lastLoading is when the engine last reported that it was still loading.
	lastLoading time.Duration
	// duration is the measured time. It is 0 until the engine reports that the weights
	// are ready.
	duration time.Duration
}

// round holds the appends and orders that the leader has planned on the control loop and
// carries out outside it.
type round struct {
	// proposals holds the records to append.
	proposals []proposal
	// orders holds the orders to send to engines.
	orders []addressedOrder
}

// proposal is a record to append to the system stream.
type proposal struct {
	// kind is the kind of the record's object.
	kind sycrecord.Kind
	// name is the name of the record's object.
	name string
	// expect is the generation that the object must still have for the record to be
	// accepted.
	expect uint64
	// spec holds the fields of the object, to be encoded as JSON.
	spec any
}

// addressedOrder is an order with the engine that it goes to.
type addressedOrder struct {
	// address is the engine's base URL.
	address string
	// body is the order as it is sent.
	body sycorder.Order
}

// runRound reads the engines' load reports, decides on each rollout's next step and carries
// it out. It does nothing unless this VM holds the lease.
func (m *Manager) runRound(ctx context.Context) {
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

// propose appends a record to the system stream and reports whether it was accepted.
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
		log.Debugf("%s %s was rejected: %s", p.kind, p.name, result.Reason())
	case p.kind == sycrecord.KindRollout:
		log.Infof("version %s: %s", p.name, describeRollout(p.spec))
	}
	return err == nil && result.Accepted()
}

// describeRollout returns the state, traffic share and reason of a rollout's record for the
// log. It returns an empty string for other records.
func describeRollout(spec any) string {
	fields, ok := spec.(sycrecord.RolloutFields)
	if !ok {
		return ""
	}
	return fmt.Sprintf("%s at a share of %g: %s", fields.State, fields.Share, fields.Reason)
}

// readReports reads the load reports of all engines and returns them by the endpoint's name.
// Engines that don't respond or are being drained are left out.
func (m *Manager) readReports(ctx context.Context) map[string]sycorder.Report {
	reports := map[string]sycorder.Report{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelReports)
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

// plan decides on the next step of every model's rollout, and on the orders that engines
// need. It plans nothing if the lease might expire while an order is sent. It runs on the
// control loop.
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
		engines := engineStates(model, config, reports)
		m.recordLoadTimes(now, engines)
		if l.HasCandidate {
			r.proposals = append(r.proposals, m.progressProposals(now, model, l, engines, fence)...)
		}
		for _, o := range sycrollout.Orders(model, l, engines) {
			r.orders = append(r.orders, m.newOrder(now, config, o, fence))
		}
	}
	for _, o := range sycrollout.RoleOrders(engineRoles(config, reports, m.lease.Term())) {
		r.orders = append(r.orders, m.newOrder(now, config, o, fence))
	}
	return r
}

// progressProposals returns the next progress record of a model's rollout, or nothing if
// the rollout stays as it is.
func (m *Manager) progressProposals(now time.Duration, model string, l sycrollout.Lineup, engines []sycrollout.EngineState, fence uint64) []proposal {
	candidate, _ := l.Subjects()
	s := m.stages[model]
	if s == nil || s.subject != candidate || s.state != l.Progress.State || s.share != l.Progress.Share {
		return nil
	}
	weights := l.Candidate.Value().Weights()
	s.engines = len(engines)
	s.readyEngines, s.loadTime = 0, m.medianLoadTime(weights)
	for _, e := range engines {
		if e.HasLoaded(l.Candidate) {
			s.readyEngines++
		}
	}
	next, ok := sycrollout.Decide(m.decisionInput(now, m.options.Wall(), l, s))
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

// engineStates returns what a model's engines reported of its weights. Engines without a
// report are left out.
func engineStates(model string, config *sycconfig.State, reports map[string]sycorder.Report) []sycrollout.EngineState {
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

// engineRoles returns the reported and the wanted roles of the engines that sent a report.
// An engine's role is to run prefill, decode or both. The term is the lowest fencing number
// of the present leader.
func engineRoles(config *sycconfig.State, reports map[string]sycorder.Report, term uint64) []sycrollout.EngineRole {
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

// recordLoadTimes updates the load times of the engines from their reports. A load is assumed
// to end within TickPeriod of the last report that it was still running, because this VM may
// have read no reports for a long time after that.
func (m *Manager) recordLoadTimes(now time.Duration, engines []sycrollout.EngineState) {
	for _, e := range engines {
		for _, weights := range e.Loading {
			key := loadKey{e.Endpoint, weights}
			if t, ok := m.loads[key]; ok && t.duration == 0 {
				t.lastLoading = now
				m.loads[key] = t
			}
		}
		for _, weights := range e.Ready {
			key := loadKey{e.Endpoint, weights}
			if t, ok := m.loads[key]; ok && t.duration == 0 {
				t.duration = min(now, t.lastLoading+TickPeriod) - t.orderedAt
				m.loads[key] = t
			}
		}
	}
}

// medianLoadTime returns the median of the engines' load times for weights, or 0 if none is
// known. It is the median because one slow engine says little about the others.
func (m *Manager) medianLoadTime(weights string) time.Duration {
	var times []time.Duration
	for key, t := range m.loads {
		if key.weights == weights && t.duration > 0 {
			times = append(times, t.duration)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// newOrder returns the message for an order that package sycrollout decided on, with the
// leader's fencing number. For a load it also starts measuring the load time.
func (m *Manager) newOrder(now time.Duration, config *sycconfig.State, o sycrollout.Order, fence uint64) addressedOrder {
	key := loadKey{o.Endpoint, o.Weights}
	if t, ok := m.loads[key]; o.Kind == sycrollout.OrderLoad && (!ok || t.duration > 0) {
		m.loads[key] = loadTime{orderedAt: now, lastLoading: now}
	}
	endpoint, _ := config.Endpoint(o.Endpoint)
	return addressedOrder{
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

// send sends an order if the lease lasts longer than the call can take. So no order of this
// VM can reach an engine after another VM has become leader.
func (m *Manager) send(ctx context.Context, o addressedOrder) {
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
