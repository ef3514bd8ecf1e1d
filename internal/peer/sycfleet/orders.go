package sycfleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
)

const (
	// minLoadTime is the least time that an engine takes to load weights, and the pause
	// between an order and the first request for a report on it.
	minLoadTime = 430 * time.Millisecond
	// loadPollPause is the pause between two requests for a loading engine's report.
	loadPollPause = 130 * time.Millisecond
	// maxLoadPolls is how many reports an engine is asked for before a load counts as failed, unless
	// the engine reports that it carries out an order.
	maxLoadPolls = 14
	// busyPollPause is the pause between two requests for the report of an engine that carries out an
	// order for longer than that, since it waits for its running requests.
	busyPollPause = 500 * time.Millisecond
	// maxBusyPolls is how many further reports such an engine is asked for.
	maxBusyPolls = 30
	// engineTimeout limits a request for an engine's report. A call for cache events has
	// cachePollWait in addition.
	engineTimeout = 700 * time.Millisecond
	// interruptRetries is the part of a service's retries that orders may use up. The rest is left for failures.
	interruptRetries = 0.5
	// orderTimeout limits an order. One that is given up then never arrives any more.
	orderTimeout = engineTimeout / 2
)

// orderWeights starts the loads that are due by the plan and cordons the engines that the
// plan wants cordoned.
func (f *Fleet) orderWeights(now time.Duration) {
	f.holdRequests(now)
	var engines []sycreload.Engine
	records := map[string]sycplace.Endpoint{}
	for _, e := range f.selector.Endpoints() {
		if len(e.Weights) == 0 || !f.selector.Runs(e.ID) {
			continue
		}
		records[e.ID] = e
		load := f.selector.Load(e.ID)
		engines = append(engines, sycreload.Engine{
			ID: e.ID, Group: reloadGroup(e), Unavailable: !f.selector.TakesOver(now, e.ID), Behind: f.versionsBehind(e),
			Requests: load.Requests, NonResumable: load.NonResumable, Expired: f.selector.Expired(now, e.ID),
		})
	}
	announce := cordonAnnounceTime
	if !f.topology.IsDirect() {
		announce = relayedAnnounceTime
	}
	actions := f.plan.Next(now, announce, engines)
	for _, a := range actions {
		if a.Load {
			e := records[a.ID]
			f.tomb.Go(func() error {
				f.loadNewest(e, a.Interrupt)
				return nil
			})
		}
	}
	for id := range records {
		if f.plan.Cordoned(id) {
			f.selector.Cordon(id, now, now+cordonTime)
			f.observed.cordons[id] = now + cordonTime
		}
	}
	if len(actions) > 0 {
		f.observed.dutyChanged = true
		f.kick()
	}
}

// holdRequests decides which engines must not break off this VM's requests now. Each request that is broken off takes a retry
// of its service.
func (f *Fleet) holdRequests(now time.Duration) {
	f.selector.HoldRequests(now, func(service string) float64 {
		return interruptRetries * f.retries.Get(now, service).Left(now)
	})
}

// reloadGroup returns the name of the engines that serve the same as an engine: its service and its models.
func reloadGroup(e sycplace.Endpoint) string {
	return strings.Join(append([]string{e.Service}, slices.Sorted(maps.Keys(e.Weights))...), "\n")
}

// versionsBehind returns how many versions an engine's weights are behind the newest, the
// largest number over its models.
func (f *Fleet) versionsBehind(e sycplace.Endpoint) int64 {
	largest := int64(0)
	for model, version := range e.Weights {
		largest = max(largest, f.weights[model]-version)
	}
	return largest
}

// newestWeights returns the newest weights of a model whose weights are outdated at an
// engine, and false if there is none.
func (f *Fleet) newestWeights(e sycplace.Endpoint) (Weights, bool) {
	for model, version := range e.Weights {
		if newest := f.weights[model]; newest > version {
			return Weights{Model: model, Version: newest}, true
		}
	}
	return Weights{}, false
}

// loadNewest makes an engine load the newest weights of an outdated model, then ends its
// cordon and reports the result to the plan. With interrupt set, the engine breaks off its
// running requests instead of waiting for their end.
func (f *Fleet) loadNewest(e sycplace.Endpoint, interrupt bool) {
	var w Weights
	outdated := false
	f.loop.DoControl(func(time.Duration) { w, outdated = f.newestWeights(e) })
	var err error
	if outdated {
		err = f.loadWeights(e, w, interrupt)
	}
	f.loop.DoControl(func(now time.Duration) {
		f.plan.Done(now, e.ID, err == nil)
		f.selector.Cordon(e.ID, now, now)
		f.observed.cordons[e.ID] = now
		f.observed.dutyChanged = true
	})
	f.kick()
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"endpoint": e.ID, "model": w.Model, "version": w.Version}).Warn("fleet: weights not loaded")
	}
}

var (
	// errNotHolder means that this VM's lease ends too soon for an order.
	errNotHolder = errors.New("lease is over")
	// errLoadTimeout means that the engine hasn't loaded the weights after maxLoadPolls
	// reports.
	errLoadTimeout = errors.New("engine did not take the order in time")
)

// loadWeights orders an engine to load weights, unless it has them or is loading, and waits
// until its report lists them. An engine rejects requests while it carries out an order, so the load
// doesn't end before that.
func (f *Fleet) loadWeights(e sycplace.Endpoint, w Weights, interrupt bool) error {
	report, err := f.engineReport(e)
	if err != nil {
		return err
	}
	if report.Weights[w.Model] < w.Version && !report.Busy {
		if err := f.sendOrder(e, Order{Weights: w, AcceptedOrders: report.AcceptedOrders, Interrupt: interrupt}); err != nil {
			return err
		}
		f.pause(minLoadTime)
	}
	for polls := 1; f.tomb.Alive(); polls++ {
		report, err := f.engineReport(e)
		if err != nil {
			return err
		}
		f.applyEngineReport(e, report)
		switch {
		case report.Weights[w.Model] >= w.Version:
			return nil
		case polls < maxLoadPolls:
			f.pause(loadPollPause)
		case report.Busy && polls < maxLoadPolls+maxBusyPolls:
			f.pause(busyPollPause)
		default:
			return errLoadTimeout
		}
	}
	return tomb.ErrDying
}

// engineReport requests an engine's report.
func (f *Fleet) engineReport(e sycplace.Endpoint) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), engineTimeout)
	defer cancel()
	return f.options.Engines.Report(ctx, e)
}

// sendOrder sends an order to an engine if this VM holds the lease for at least as long as
// the call may take. An order that the engine doesn't accept is no error; the engine's reports
// show the result.
func (f *Fleet) sendOrder(e sycplace.Endpoint, o Order) error {
	var term int64
	var holds bool
	// The time limit begins before the lease is looked at, so that the call ends before the lease does.
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	f.loop.DoControl(func(now time.Duration) {
		_, holds = f.lease.Holds(now + orderTimeout)
		term = int64(f.lease.Term())
		// Since the order was planned, a request may have lost its last other endpoint.
		f.holdRequests(now)
		o.Interrupt = o.Interrupt && f.selector.Load(e.ID).NonResumable == 0 && f.selector.CanMove(now, e.ID)
		if holds {
			f.orders.Add(1)
		}
	})
	if !holds {
		return errNotHolder
	}
	defer f.orders.Done()
	o.Holder, o.FencingNumber = f.options.Incarnation, term+1
	accepted, err := f.options.Engines.Order(ctx, e, o)
	f.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "model": o.Model, "version": o.Version, "orders": o.AcceptedOrders, "taken": accepted, "token": o.FencingNumber,
		"interrupt": o.Interrupt,
	}).Info("fleet: order sent")
	return err
}

// applyEngineReport applies the weights in an engine's report, which comes before the
// engine's record in the log changes, and keeps them for the other VMs.
func (f *Fleet) applyEngineReport(e sycplace.Endpoint, r EngineReport) {
	f.loop.DoControl(func(time.Duration) {
		f.selector.UpdateWeights(e.ID, e.Incarnation, r.Weights)
		f.observed.reported[e.ID] = reportedWeights{incarnation: e.Incarnation, weights: r.Weights}
	})
}
