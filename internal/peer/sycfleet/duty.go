package sycfleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// announceTime is what it takes until the other VMs send nothing more to an
	// engine that is to load weights.
	announceTime = 60 * time.Millisecond
	// holdTime is how long requests are kept off such an engine unless that is
	// said again.
	holdTime = 600 * time.Millisecond
	// loadTime is how long a load takes at least, pollPause the time between the
	// looks at it after that.
	loadTime  = 430 * time.Millisecond
	pollPause = 130 * time.Millisecond
	// loadPolls is how often an engine is looked at before it is ordered again.
	loadPolls = 14
	// engineTimeout bounds a call to an engine.
	engineTimeout = 700 * time.Millisecond
	// tellTime is how long the weights of an engine are told after a load.
	tellTime = 2500 * time.Millisecond
	// holderSilence is how long the holder of the duties may be unheard until a VM
	// reads the duty log itself.
	holderSilence = 600 * time.Millisecond
	// dutyWait is how long a read of the duty log waits for records.
	dutyWait = 900 * time.Millisecond
)

// followDuty reads the duty log for as long as the VM runs.
func (f *Fleet) followDuty() error {
	ctx := f.tomb.Context(context.Background())
	for f.tomb.Alive() {
		var from int64
		heard := false
		f.loop.Do(func(now time.Duration) {
			_, holds := f.lease.Holds(now)
			from, heard = int64(f.lease.Last()), holds || now-f.loads.holderHeard < holderSilence
		})
		if heard {
			f.pause(retryPause)
			continue
		}
		call, cancel := context.WithTimeout(ctx, dutyWait+readGrace)
		records, first, end, err := f.options.Log.ReadDuty(call, from, dutyWait)
		cancel()
		if err != nil {
			f.pause(retryPause)
			continue
		}
		f.loop.Do(func(now time.Duration) { f.dutyRead(now, records, first, end) })
		f.pause(retryPause)
	}
	return nil
}

// dutyRecord is an entry of the duty log. The record at an offset is the lease's record
// with the number of the offset after it.
type dutyRecord struct {
	// Holder is the incarnation of a VM.
	Holder   string `json:"holder"`
	Proposal uint64 `json:"proposal,omitempty"`
	Released bool   `json:"released,omitempty"`
}

func (r dutyRecord) at(offset int64) syclease.Record {
	return syclease.Record{
		Number:   uint64(offset) + 1,
		Fence:    uint64(offset),
		Holder:   r.Holder,
		Proposal: r.Proposal,
		Released: r.Released,
	}
}

func (f *Fleet) dutyRead(now time.Duration, records [][]byte, first, end int64) {
	before := f.lease.Newest().Holder
	for i, data := range records {
		var r dutyRecord
		offset := first + int64(i)
		if err := json.Unmarshal(data, &r); err != nil {
			f.log.WithError(err).WithField("offset", offset).Error("fleet: duty record can't be read")
		}
		f.lease.Read(now, r.at(offset))
	}
	f.lease.Reached(now, uint64(end))
	if after := f.lease.Newest().Holder; after != before {
		f.log.WithFields(logrus.Fields{"holder": after, "own": after == f.options.Incarnation, "offset": end}).Info("fleet: duties change hands")
	}
}

// dutyTick renews the lease, or asks for it, and gives orders while it holds.
func (f *Fleet) dutyTick(now time.Duration) {
	if f.lease.Due(now) && !f.leaving.Load() {
		at := int64(f.lease.Last())
		record := dutyRecord{Holder: f.options.Incarnation, Proposal: f.lease.Propose(now)}
		f.tomb.Go(func() error {
			f.appendDuty(record, at)
			return nil
		})
	}
	_, holds := f.lease.Holds(now)
	f.rolloutTick(now, holds)
	if !holds {
		f.plan.Stop()
		return
	}
	f.orderWeights(now)
}

// askSpread is the time over which VMs ask one after the other for a free lease.
const askSpread = 400 * time.Millisecond

func askDelay(incarnation string) time.Duration {
	return time.Duration(xxhash.Sum64String(incarnation) % uint64(askSpread))
}

// resign gives the lease up, once no order of this VM is under way any more.
func (f *Fleet) resign() {
	held := false
	f.loop.Do(func(now time.Duration) { held = f.lease.Resign(now) })
	if !held {
		return
	}
	f.orders.Wait()
	var at int64
	f.loop.Do(func(time.Duration) { at = int64(f.lease.Last()) })
	f.appendDuty(dutyRecord{Holder: f.options.Incarnation, Released: true}, at)
}

func (f *Fleet) appendDuty(record dutyRecord, at int64) {
	granted := false
	defer func() {
		f.loop.Post(func(now time.Duration) { f.lease.Settled(now, granted) })
	}()
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
	granted = true
	f.loop.Do(func(now time.Duration) { f.dutyRead(now, [][]byte{data}, at, at+1) })
}

// orderWeights brings engines to the newest weights as planned.
func (f *Fleet) orderWeights(now time.Duration) {
	var engines []sycreload.Engine
	records := map[string]sycplace.Endpoint{}
	for _, e := range f.placer.Endpoints() {
		if e.Leaving || len(e.Weights) == 0 {
			continue
		}
		records[e.ID] = e
		load := f.placer.Load(now, e.ID)
		engines = append(engines, sycreload.Engine{ID: e.ID, Behind: f.behind(e), Requests: load.Requests, Unresumable: load.NonResumable})
	}
	actions := f.plan.Next(now, announceTime, engines)
	for _, a := range actions {
		if a.Load {
			e := records[a.ID]
			f.tomb.Go(func() error {
				f.load(e, a.Interrupt)
				return nil
			})
		}
	}
	for id := range records {
		if f.plan.Cordoned(id) {
			f.placer.Cordon(id, now+holdTime)
			f.loads.holds[id] = now + holdTime
		}
	}
	if len(actions) > 0 {
		f.mesh.Kick()
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

// newest returns the newest weights of the models that are behind at an engine.
func (f *Fleet) newest(e sycplace.Endpoint) (Weights, bool) {
	for model, version := range e.Weights {
		if newest := f.weights[model]; newest > version {
			return Weights{Model: model, Version: newest}, true
		}
	}
	return Weights{}, false
}

// load brings one engine to the newest weights.
func (f *Fleet) load(e sycplace.Endpoint, interrupt bool) {
	var w Weights
	behind := false
	f.loop.Do(func(time.Duration) { w, behind = f.newest(e) })
	var err error
	if behind {
		err = f.order(e, w, interrupt)
	}
	f.loop.Do(func(now time.Duration) {
		f.plan.Done(now, e.ID, err == nil)
		f.placer.Cordon(e.ID, now)
		f.loads.holds[e.ID] = now
	})
	f.mesh.Kick()
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"endpoint": e.ID, "model": w.Model, "version": w.Version}).Warn("fleet: weights not loaded")
	}
}

var (
	errNotHolder = errors.New("lease is over")
	errSilent    = errors.New("engine did not take the order in time")
)

func (f *Fleet) order(e sycplace.Endpoint, w Weights, interrupt bool) error {
	report, err := f.engineReport(e)
	if err != nil {
		return err
	}
	if report.Weights[w.Model] < w.Version && !report.Busy {
		if err := f.giveOrder(e, Order{Weights: w, Orders: report.Orders, Interrupt: interrupt}); err != nil {
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
func (f *Fleet) giveOrder(e sycplace.Endpoint, o Order) error {
	var token int64
	var holds bool
	f.loop.Do(func(now time.Duration) {
		_, holds = f.lease.Holds(now + engineTimeout/2)
		token = int64(f.lease.Term())
		if holds {
			f.orders.Add(1)
		}
	})
	if !holds {
		return errNotHolder
	}
	defer f.orders.Done()
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), engineTimeout/2)
	defer cancel()
	o.Holder, o.Token = f.options.Incarnation, token+1
	taken, err := f.options.Engines.Order(ctx, e, o)
	f.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "model": o.Model, "version": o.Version, "orders": o.Orders, "taken": taken, "token": o.Token,
		"interrupt": o.Interrupt,
	}).Info("fleet: order given")
	return err
}

// learnWeights takes in what an engine says before its record in the log does.
func (f *Fleet) learnWeights(e sycplace.Endpoint, r EngineReport) {
	f.loop.Do(func(time.Duration) {
		f.placer.UpdateWeights(e.ID, e.Incarnation, r.Weights)
		f.loads.told[e.ID] = toldWeights{born: e.Incarnation, weights: r.Weights}
	})
}

// addDuty tells which engines are held, what was learned of them, and of the
// lease if it is this VM's.
func (f *Fleet) addDuty(now time.Duration, out *sycgossippb.State) {
	if _, holds := f.lease.Holds(now); holds {
		out.Duty = &sycgossippb.Duty{Offset: int64(f.lease.Newest().Number) - 1, Holder: f.options.Incarnation}
	} else if f.leaving.Load() && f.lease.Released() {
		out.Duty = &sycgossippb.Duty{Offset: int64(f.lease.Newest().Number) - 1, Holder: f.options.Incarnation, Released: true}
	}
	for id, until := range f.loads.holds {
		if now > until+tellTime {
			delete(f.loads.holds, id)
			delete(f.loads.told, id)
			continue
		}
		hold := &sycgossippb.Hold{Endpoint: id, Milliseconds: max(until-now, 0).Milliseconds()}
		if told, ok := f.loads.told[id]; ok {
			hold.Born, hold.Weights = told.born, told.weights
		}
		out.Holds = append(out.Holds, hold)
	}
}

// heardDuty takes in what the holder of the duties tells.
func (f *Fleet) heardDuty(now time.Duration, in *sycgossippb.State) {
	for _, h := range in.Holds {
		f.placer.Cordon(h.Endpoint, now+time.Duration(h.Milliseconds)*time.Millisecond)
		f.placer.UpdateWeights(h.Endpoint, h.Born, h.Weights)
	}
	if in.Duty == nil {
		return
	}
	if !in.Duty.Released {
		f.loads.holderHeard = now
	}
	f.lease.Read(now, dutyRecord{Holder: in.Duty.Holder, Released: in.Duty.Released}.at(in.Duty.Offset))
}
