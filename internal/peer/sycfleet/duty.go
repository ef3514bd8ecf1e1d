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
	// cordonAnnounceTime is the time until all VMs have received the cordon of an engine
	// that is to load weights, and send no more requests to it.
	cordonAnnounceTime = 60 * time.Millisecond
	// cordonTime is how long the cordon of such an engine lasts unless the lease holder
	// renews it.
	cordonTime = 600 * time.Millisecond
	// minLoadTime is the least time that an engine takes to load weights, and the pause
	// between an order and the first request for a report on it.
	minLoadTime = 430 * time.Millisecond
	// loadPollPause is the pause between two requests for a loading engine's report.
	loadPollPause = 130 * time.Millisecond
	// maxLoadPolls is how many reports a loading engine is asked for before the load
	// counts as failed.
	maxLoadPolls = 14
	// engineTimeout limits a request for an engine's report. An order has half of it. A
	// call for cache events has cachePollWait in addition.
	engineTimeout = 700 * time.Millisecond
	// cordonReportTime is how long after the end of a cordon the state sent to other VMs
	// still lists it, with the weights that the engine has loaded.
	cordonReportTime = 2500 * time.Millisecond
	// holderSilence is how long a VM may go without a state from the lease holder before
	// it reads the duty log itself. After the same time without a state from another VM
	// it no longer leaves any engine's cache to that VM to read.
	holderSilence = 600 * time.Millisecond
	// dutyReadWait is how long a read of the duty log waits for records.
	dutyReadWait = 900 * time.Millisecond
)

// followDuty reads the duty log until the VM stops, except while this VM is the lease holder
// or receives the holder's states. The duties are to order engines to load weights and to
// decide rollouts. The VM that holds the lease in the duty log has them.
func (f *Fleet) followDuty() error {
	ctx := f.tomb.Context(context.Background())
	for f.tomb.Alive() {
		var from int64
		received := false
		f.loop.Do(func(now time.Duration) {
			_, holds := f.lease.Holds(now)
			from, received = int64(f.lease.LastNumber()), holds || now-f.observed.holderSeen < holderSilence
		})
		if received {
			f.pause(retryPause)
			continue
		}
		call, cancel := context.WithTimeout(ctx, dutyReadWait+readGrace)
		records, first, end, err := f.options.Log.ReadDuty(call, from, dutyReadWait)
		cancel()
		if err != nil {
			f.pause(retryPause)
			continue
		}
		f.loop.Do(func(now time.Duration) { f.applyDutyRecords(now, records, first, end) })
		f.pause(retryPause)
	}
	return nil
}

// dutyRecord is a record of the duty log, which grants, renews or releases the lease. The
// record at offset n is the lease's record number n+1.
type dutyRecord struct {
	// Holder is the incarnation of the VM that wrote the record.
	Holder string `json:"holder"`
	// Proposal is the number that the holder gave its append.
	Proposal uint64 `json:"proposal,omitempty"`
	// Released is set if the holder gives up the lease.
	Released bool `json:"released,omitempty"`
}

// leaseRecord returns the lease's record for the duty record at an offset.
func (r dutyRecord) leaseRecord(offset int64) syclease.Record {
	return syclease.Record{
		Number:   uint64(offset) + 1,
		Fence:    uint64(offset),
		Holder:   r.Holder,
		Proposal: r.Proposal,
		Released: r.Released,
	}
}

// applyDutyRecords applies records of the duty log to the lease. The first is at the offset
// first, and the log ends at the offset end.
func (f *Fleet) applyDutyRecords(now time.Duration, records [][]byte, first, end int64) {
	before := f.lease.Newest().Holder
	for i, data := range records {
		var r dutyRecord
		offset := first + int64(i)
		if err := json.Unmarshal(data, &r); err != nil {
			f.log.WithError(err).WithField("offset", offset).Error("fleet: decoding a duty record failed")
		}
		f.lease.Apply(now, r.leaseRecord(offset))
	}
	f.lease.ReachedEnd(now, uint64(end))
	if after := f.lease.Newest().Holder; after != before {
		f.log.WithFields(logrus.Fields{"holder": after, "own": after == f.options.Incarnation, "offset": end}).Info("fleet: duties change hands")
	}
}

// dutyTick renews the lease or tries to take it over when that's due. While this VM holds the
// lease, it orders engines to load weights and decides rollouts.
func (f *Fleet) dutyTick(now time.Duration) {
	if f.lease.Due(now) && !f.leaving.Load() {
		at := int64(f.lease.LastNumber())
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

// takeoverSpread is the time over which the VMs' attempts to take over a free lease are
// spread.
const takeoverSpread = 400 * time.Millisecond

// takeoverDelay returns how long after the lease is free a VM tries to take it over, below
// takeoverSpread and fixed by the hash of its incarnation.
func takeoverDelay(incarnation string) time.Duration {
	return time.Duration(xxhash.Sum64String(incarnation) % uint64(takeoverSpread))
}

// releaseLease stops using the lease and, once no order of this VM is in flight any more,
// appends the record that releases it.
func (f *Fleet) releaseLease() {
	held := false
	f.loop.Do(func(now time.Duration) { held = f.lease.Resign(now) })
	if !held {
		return
	}
	f.orders.Wait()
	var at int64
	f.loop.Do(func(time.Duration) { at = int64(f.lease.LastNumber()) })
	f.appendDuty(dutyRecord{Holder: f.options.Incarnation, Released: true}, at)
}

// appendDuty appends a record to the duty log at an offset, which fails if another VM has
// appended there, and reports the result to the lease.
func (f *Fleet) appendDuty(record dutyRecord, at int64) {
	granted := false
	defer func() {
		f.loop.Post(func(now time.Duration) { f.lease.Settled(now, granted) })
	}()
	data, err := json.Marshal(record)
	if err != nil {
		f.log.WithError(err).Error("fleet: encoding the duty record failed")
		return
	}
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
	defer cancel()
	if err := f.options.Log.AppendDuty(ctx, at, data); err != nil {
		f.log.WithError(err).WithField("offset", at).Info("fleet: lease not granted")
		return
	}
	granted = true
	f.loop.Do(func(now time.Duration) { f.applyDutyRecords(now, [][]byte{data}, at, at+1) })
}

// orderWeights starts the loads that are due by the plan and cordons the engines that the
// plan wants cordoned.
func (f *Fleet) orderWeights(now time.Duration) {
	var engines []sycreload.Engine
	records := map[string]sycplace.Endpoint{}
	for _, e := range f.selector.Endpoints() {
		if e.Leaving || len(e.Weights) == 0 {
			continue
		}
		records[e.ID] = e
		load := f.selector.Load(now, e.ID)
		engines = append(engines, sycreload.Engine{ID: e.ID, Behind: f.versionsBehind(e), Requests: load.Requests, NonResumable: load.NonResumable})
	}
	actions := f.plan.Next(now, cordonAnnounceTime, engines)
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
			f.selector.Cordon(id, now+cordonTime)
			f.observed.cordons[id] = now + cordonTime
		}
	}
	if len(actions) > 0 {
		f.mesh.Kick()
	}
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
	f.loop.Do(func(time.Duration) { w, outdated = f.newestWeights(e) })
	var err error
	if outdated {
		err = f.loadWeights(e, w, interrupt)
	}
	f.loop.Do(func(now time.Duration) {
		f.plan.Done(now, e.ID, err == nil)
		f.selector.Cordon(e.ID, now)
		f.observed.cordons[e.ID] = now
	})
	f.mesh.Kick()
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
// until its report lists them.
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
	for range maxLoadPolls {
		report, err := f.engineReport(e)
		if err != nil {
			return err
		}
		f.applyEngineReport(e, report)
		if report.Weights[w.Model] >= w.Version {
			return nil
		}
		f.pause(loadPollPause)
	}
	return errLoadTimeout
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
	f.loop.Do(func(now time.Duration) {
		_, holds = f.lease.Holds(now + engineTimeout/2)
		term = int64(f.lease.Term())
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
	f.loop.Do(func(time.Duration) {
		f.selector.UpdateWeights(e.ID, e.Incarnation, r.Weights)
		f.observed.reported[e.ID] = reportedWeights{incarnation: e.Incarnation, weights: r.Weights}
	})
}

// addDuty adds to the state for other VMs the lease if this VM holds or has released it, and
// the cordons that it has announced with the weights that those engines have reported.
func (f *Fleet) addDuty(now time.Duration, out *sycgossippb.State) {
	if _, holds := f.lease.Holds(now); holds {
		out.Duty = &sycgossippb.Duty{Offset: int64(f.lease.Newest().Number) - 1, Holder: f.options.Incarnation}
	} else if f.leaving.Load() && f.lease.Released() {
		out.Duty = &sycgossippb.Duty{Offset: int64(f.lease.Newest().Number) - 1, Holder: f.options.Incarnation, Released: true}
	}
	for id, until := range f.observed.cordons {
		if now > until+cordonReportTime {
			delete(f.observed.cordons, id)
			delete(f.observed.reported, id)
			continue
		}
		cordon := &sycgossippb.Hold{Endpoint: id, Milliseconds: max(until-now, 0).Milliseconds()}
		if reported, ok := f.observed.reported[id]; ok {
			cordon.Born, cordon.Weights = reported.incarnation, reported.weights
		}
		out.Holds = append(out.Holds, cordon)
	}
}

// receiveDuty applies the cordons, the weights and the lease in another VM's state.
func (f *Fleet) receiveDuty(now time.Duration, in *sycgossippb.State) {
	for _, h := range in.Holds {
		f.selector.Cordon(h.Endpoint, now+time.Duration(h.Milliseconds)*time.Millisecond)
		f.selector.UpdateWeights(h.Endpoint, h.Born, h.Weights)
	}
	if in.Duty == nil {
		return
	}
	if !in.Duty.Released {
		f.observed.holderSeen = now
	}
	f.lease.Apply(now, dutyRecord{Holder: in.Duty.Holder, Released: in.Duty.Released}.leaseRecord(in.Duty.Offset))
}
