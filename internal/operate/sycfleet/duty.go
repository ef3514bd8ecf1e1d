package sycfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycduty"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

const (
	// ordersAtOnce is how many engines load weights at the same time.
	ordersAtOnce = 2
	// announceTime is what it takes until the other VMs send nothing more to an
	// engine that is to load weights.
	announceTime = 60 * time.Millisecond
	// holdTime is how long requests are kept off such an engine.
	holdTime = 2 * time.Second
	// loadTime is how long a load takes at least, pollPause the time between the
	// looks at it after that.
	loadTime  = 450 * time.Millisecond
	pollPause = 150 * time.Millisecond
	// loadPolls is how often an engine is looked at before it is ordered again.
	loadPolls = 10
	// engineTimeout bounds a call to an engine.
	engineTimeout = 700 * time.Millisecond
	// failedPause is how long an engine that can't be reached is left alone.
	failedPause = time.Second
)

// followDuty reads the duty log for as long as the VM runs.
func (f *Fleet) followDuty() error {
	ctx := f.tomb.Context(context.Background())
	for f.tomb.Alive() {
		var from int64
		f.loop.Do(func(time.Duration) { from = f.lease.End() })
		call, cancel := context.WithTimeout(ctx, readWait+readGrace)
		records, first, end, err := f.options.Log.ReadDuty(call, from, readWait)
		cancel()
		if err != nil {
			f.pause(retryPause)
			continue
		}
		f.loop.Do(func(time.Duration) { f.dutyRead(sycclock.Now(), records, first, end) })
		f.pause(retryPause)
	}
	return nil
}

func (f *Fleet) dutyRead(now time.Duration, records [][]byte, first, end int64) {
	before := f.lease.Holder()
	for i, data := range records {
		var r sycduty.Record
		if err := json.Unmarshal(data, &r); err != nil {
			f.log.WithError(err).WithField("offset", first+int64(i)).Error("fleet: duty record can't be read")
		}
		f.lease.Read(now, first+int64(i), r)
	}
	f.lease.Reached(now, end)
	if after := f.lease.Holder(); after != before {
		f.log.WithFields(logrus.Fields{"holder": after, "own": after == f.options.Incarnation, "offset": end}).Info("fleet: duties change hands")
	}
}

// dutyTick renews the lease, or asks for it, and gives orders while it holds.
func (f *Fleet) dutyTick(now time.Duration) {
	if f.lease.Due(now) && !f.leaving.Load() {
		record, at := f.lease.Propose(now)
		f.tomb.Go(func() error {
			f.appendDuty(record, at)
			return nil
		})
	}
	if _, holds := f.lease.Holds(now); !holds {
		return
	}
	f.orderWeights(now)
	f.rolloutTick(now)
}

func (f *Fleet) appendDuty(record sycduty.Record, at int64) {
	defer f.loop.Post(func(time.Duration) { f.lease.Settled() })
	data, err := json.Marshal(record)
	if err != nil {
		f.log.WithError(err).Error("fleet: duty record can't be written")
		return
	}
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
	defer cancel()
	if err := f.options.Log.AppendDuty(ctx, at, data); err != nil {
		f.log.WithError(err).WithField("offset", at).Info("fleet: lease not granted")
		return
	}
	f.loop.Do(func(time.Duration) { f.dutyRead(sycclock.Now(), [][]byte{data}, at, at+1) })
}

// orderWeights starts to bring engines to the newest weights, a few at a time.
func (f *Fleet) orderWeights(now time.Duration) {
	endpoints := f.placer.Endpoints()
	slices.SortStableFunc(endpoints, func(a, b sycplace.Endpoint) int { return cmp.Compare(f.behind(b), f.behind(a)) })
	for _, e := range endpoints {
		if len(f.loads.ordering) >= ordersAtOnce {
			return
		}
		order, ok := f.orderFor(e)
		if !ok || f.loads.ordering[e.ID] || now < f.loads.failed[e.ID] {
			continue
		}
		f.loads.ordering[e.ID] = true
		f.tomb.Go(func() error {
			f.load(e, order)
			return nil
		})
	}
}

// behind is how many versions an engine's weights are behind the newest.
func (f *Fleet) behind(e sycplace.Endpoint) int64 {
	most := int64(0)
	for model, version := range e.Weights {
		most = max(most, f.weights[model]-version)
	}
	return most
}

func (f *Fleet) orderFor(e sycplace.Endpoint) (Weights, bool) {
	if e.Leaving {
		return Weights{}, false
	}
	for model, version := range e.Weights {
		if newest := f.weights[model]; newest > version {
			return Weights{Model: model, Version: newest}, true
		}
	}
	return Weights{}, false
}

// load brings one engine to a version.
func (f *Fleet) load(e sycplace.Endpoint, w Weights) {
	f.hold(e.ID, holdTime)
	f.mesh.Kick()
	f.pause(announceTime)
	err := f.order(e, w)
	f.loop.Do(func(time.Duration) {
		now := sycclock.Now()
		delete(f.loads.ordering, e.ID)
		if err != nil {
			f.loads.failed[e.ID] = now + failedPause
		}
	})
	f.hold(e.ID, 0)
	f.mesh.Kick()
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"endpoint": e.ID, "model": w.Model, "version": w.Version}).Warn("fleet: weights not loaded")
	}
}

// hold keeps requests off an endpoint, on this VM and on those that hear of it.
func (f *Fleet) hold(id string, d time.Duration) {
	f.loop.Do(func(time.Duration) {
		now := sycclock.Now()
		f.placer.Hold(id, now+d)
		f.loads.holds[id] = now + d
		if d == 0 {
			// Told once more with the next exchange, so that the others end it too.
			f.loads.holds[id] = now + tickPeriod
		}
	})
}

var (
	errNotHolder = errors.New("lease is over")
	errSilent    = errors.New("engine did not take the order in time")
)

func (f *Fleet) order(e sycplace.Endpoint, w Weights) error {
	report, err := f.engineReport(e)
	if err != nil {
		return err
	}
	if report.Weights[w.Model] < w.Version && !report.Busy {
		if err := f.giveOrder(e, w, report.Orders); err != nil {
			return err
		}
		f.pause(loadTime)
	}
	for range loadPolls {
		report, err := f.engineReport(e)
		if err != nil {
			return err
		}
		f.learnWeights(e, report)
		if report.Weights[w.Model] >= w.Version {
			return nil
		}
		f.pause(pollPause)
	}
	return errSilent
}

func (f *Fleet) engineReport(e sycplace.Endpoint) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), engineTimeout)
	defer cancel()
	return f.options.Engines.Report(ctx, e)
}

// giveOrder sends an order if the lease surely lasts until it has arrived.
func (f *Fleet) giveOrder(e sycplace.Endpoint, w Weights, orders int64) error {
	var token int64
	var holds bool
	f.loop.Do(func(time.Duration) { token, holds = f.lease.Holds(sycclock.Now() + engineTimeout/2) })
	if !holds {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), engineTimeout/2)
	defer cancel()
	taken, err := f.options.Engines.Order(ctx, e, Order{
		Weights: w,
		Holder:  f.options.Incarnation,
		Token:   token + 1,
		Orders:  orders,
	})
	f.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "model": w.Model, "version": w.Version, "orders": orders, "taken": taken, "token": token + 1,
	}).Info("fleet: order given")
	return err
}

// learnWeights takes in what an engine says before its record in the log does.
func (f *Fleet) learnWeights(e sycplace.Endpoint, r EngineReport) {
	f.loop.Do(func(time.Duration) {
		record, known := f.placer.Endpoint(e.ID)
		if known && record.Born == e.Born && len(r.Weights) > 0 {
			record.Weights = r.Weights
			f.placer.Put(record)
		}
	})
}
