package sycfleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycreplica"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// cordonAnnounceTime is the time until all VMs have received the cordon of an engine
	// that is to load weights, and send no more requests to it. relayedAnnounceTime is the
	// same where relays pass it on.
	cordonAnnounceTime  = 60 * time.Millisecond
	relayedAnnounceTime = 2 * relayPeriod
	// dutyPeriod is the least time between two reports of the holder of the duties, unless
	// there is something new.
	dutyPeriod = 50 * time.Millisecond
	// dutyVersionBits is how many reports, as a power of two, a holder may make on one
	// record of the duty log.
	dutyVersionBits = 24
	// cordonTime is how long the cordon of such an engine lasts unless the lease holder
	// renews it.
	cordonTime = 600 * time.Millisecond
	// cordonReportTime is how long after the end of a cordon the state sent to other VMs
	// still lists it, with the weights that the engine has loaded.
	cordonReportTime = 2500 * time.Millisecond
	// holderSilence is how long a VM may go without a state from the lease holder before
	// it reads the duty log itself.
	holderSilence = 900 * time.Millisecond
	// dutyReadWait is how long a read of the duty log waits for records.
	dutyReadWait = 900 * time.Millisecond
)

// followDuty reads the duty log until the VM stops, except while this VM is the lease holder
// or receives the holder's states. The duties are to order engines to load weights and to
// decide rollouts. The VM that holds the lease in the duty log has them.
func (f *Fleet) followDuty() error {
	ctx := f.tomb.Context(context.Background())
	for f.tomb.Alive() {
		var from sycfeed.Position
		wait, shouldRead := dutyReadWait, false
		f.loop.DoControl(func(now time.Duration) {
			from, shouldRead = f.lease.Next(), f.shouldReadDuty(now)
			if from.Era > 0 && !f.lease.KnowsEnd() {
				// The end of a restored log must be known before the lease can be taken.
				wait = 0
			}
		})
		if !shouldRead {
			f.pause(retryPause)
			continue
		}
		call, cancel := context.WithTimeout(ctx, wait+readGrace)
		records, first, end, err := f.options.Log.ReadDuty(call, from, wait)
		cancel()
		if err != nil {
			f.pause(retryPause)
			continue
		}
		f.loop.DoControl(func(now time.Duration) { f.applyDutyRecords(now, records, first, end) })
		f.pause(retryPause)
	}
	return nil
}

// shouldReadDuty reports whether this VM should read the duty log: it neither holds the lease nor
// receives its holder's state. After a restore of the log nobody holds it for a time, in which only the
// readers of the topics read the duty log.
func (f *Fleet) shouldReadDuty(now time.Duration) bool {
	if _, holds := f.lease.Holds(now); holds || now-f.observed.holderSeen < holderSilence {
		return false
	}
	return now >= f.observed.allReadDutyAt || slices.Contains(f.topology.Readers(readerCount), f.options.Address)
}

// endDuties ends the duties of former eras, since the log is in an era, as an answer of the log or another
// VM says. In a new era nobody holds the lease, and what was sent of the duties before is void.
func (f *Fleet) endDuties(now time.Duration, era int64) {
	if era <= f.lease.Next().Era {
		return
	}
	if _, held := f.lease.Holds(now); held {
		f.log.WithField("era", era).Warn("fleet: duties given up, since the log was restored")
	}
	f.lease.Restored(now, era)
	f.changes.dutyVersion = 0
	f.changes.DropIf(func(e *sycreplica.Entry[changeKey, change]) bool { return e.Key.kind == dutyChange })
	f.forgetPublished()
	f.spreadRegistration(now)
	f.observed.restoredAt, f.observed.holderSeen = now, now-holderSilence
	f.observed.allReadDutyAt = now + 2*f.options.LeaseDuration + takeoverSpread
}

// dutyRecord is a record of the duty log, which grants, renews or releases the lease.
type dutyRecord struct {
	// Holder is the incarnation of the VM that wrote the record.
	Holder string `json:"holder"`
	// Proposal is the number that the holder gave its append.
	Proposal uint64 `json:"proposal,omitempty"`
	// Released is set if the holder gives up the lease.
	Released bool `json:"released,omitempty"`
}

// leaseRecord returns the lease's record for the duty record at a position.
func (r dutyRecord) leaseRecord(at sycfeed.Position) syclease.Record {
	return syclease.Record{
		Number:   syclease.NumberAt(at),
		Fence:    syclease.FenceAt(at),
		Holder:   r.Holder,
		Proposal: r.Proposal,
		Released: r.Released,
	}
}

// applyDutyRecords applies records of the duty log to the lease. The first is at the position
// first, and the log ends at the position end.
func (f *Fleet) applyDutyRecords(now time.Duration, records [][]byte, first, end sycfeed.Position) {
	before := f.lease.Newest().Holder
	for i, data := range records {
		var r dutyRecord
		at := first.Plus(i)
		if err := json.Unmarshal(data, &r); err != nil {
			f.log.WithError(err).WithField("position", at).Error("fleet: decoding a duty record failed")
		}
		f.lease.Apply(now, r.leaseRecord(at))
	}
	f.lease.ReachedEnd(now, syclease.FenceAt(end))
	if after := f.lease.Newest().Holder; after != before {
		f.log.WithFields(logrus.Fields{"holder": after, "own": after == f.options.Incarnation, "position": end}).Info("fleet: duties change hands")
	}
}

// dutyTick renews the lease or tries to take it over when that's due. While this VM holds the
// lease, it orders engines to load weights and decides rollouts.
func (f *Fleet) dutyTick(now time.Duration) {
	if f.lease.Due(now) && !f.leaving.Load() {
		at := f.lease.Next()
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
	f.loop.DoControl(func(now time.Duration) { held = f.lease.Resign(now) })
	if !held {
		return
	}
	f.orders.Wait()
	var at sycfeed.Position
	f.loop.DoControl(func(time.Duration) {
		at, held = f.lease.Next(), f.lease.Newest().Holder == f.options.Incarnation
	})
	if !held {
		return
	}
	f.appendDuty(dutyRecord{Holder: f.options.Incarnation, Released: true}, at)
}

// appendDuty appends a record to the duty log at a position, which fails if another VM has
// appended there or the log was restored, and reports the result to the lease.
func (f *Fleet) appendDuty(record dutyRecord, at sycfeed.Position) {
	granted := false
	defer func() {
		f.loop.PostControl(func(now time.Duration) { f.lease.Settled(now, granted) })
	}()
	data, err := json.Marshal(record)
	if err != nil {
		f.log.WithError(err).Error("fleet: encoding the duty record failed")
		return
	}
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
	defer cancel()
	if err := f.options.Log.AppendDuty(ctx, at, data); err != nil {
		f.log.WithError(err).WithField("position", at).Info("fleet: lease not granted")
		return
	}
	granted = true
	f.loop.DoControl(func(now time.Duration) { f.applyDutyRecords(now, [][]byte{data}, at, at.Plus(1)) })
}

// publishDuty records what this VM tells as the holder of the duties: the lease if this VM holds
// or has released it, the cordons that it has announced with the weights that those engines have
// reported, and its decisions about rollouts.
func (f *Fleet) publishDuty(now time.Duration) {
	at := syclease.PositionOf(f.lease.Newest().Fence)
	message := &sycgossippb.Duty{Era: at.Era, Offset: at.Offset, Holder: f.options.Incarnation}
	_, holds := f.lease.Holds(now)
	if message.Released = !holds; !holds && !(f.leaving.Load() && f.lease.Released()) {
		return
	}
	if now-f.observed.dutyToldAt < dutyPeriod && !f.observed.dutyChanged {
		return
	}
	f.observed.dutyToldAt, f.observed.dutyChanged = now, false
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
		message.Holds = append(message.Holds, cordon)
	}
	message.Rollouts = f.encodeRollouts()
	f.changes.dutyVersion = max(f.changes.dutyVersion+1, message.Offset<<dutyVersionBits)
	f.changes.Apply(sycreplica.Entry[changeKey, change]{
		Key: dutyKey(at.Era), Value: dutyNews{message: message, process: f.changes.process, at: now}, Version: f.changes.dutyVersion,
	}, true)
}

// dutyKey returns the key of what the holder of the duties sends in an era of the log. Versions of
// different eras can't be compared.
func dutyKey(era int64) changeKey { return changeKey{kind: dutyChange, number: era} }

// encode returns the message with its present age and its version.
func (n dutyNews) encode(now time.Duration, version int64) *sycgossippb.Duty {
	d := n.message
	return &sycgossippb.Duty{
		Era: d.Era, Offset: d.Offset, Holder: d.Holder, Released: d.Released, Holds: d.Holds, Rollouts: d.Rollouts,
		AgeMilliseconds: (now - n.at).Milliseconds(), Version: version,
	}
}

// receiveDuty applies what the holder of the duties tells: its lease, cordons, the weights of
// engines and decisions about rollouts. A holder of a former era holds nothing any more.
func (f *Fleet) receiveDuty(now time.Duration, source string, p process, in *sycgossippb.Duty) {
	f.endDuties(now, in.Era)
	if in.Era < f.lease.Next().Era {
		return
	}
	at := now - time.Duration(in.AgeMilliseconds)*time.Millisecond
	isNew := f.changes.Apply(sycreplica.Entry[changeKey, change]{
		Key: dutyKey(in.Era), Value: dutyNews{message: in, process: p, at: at}, Version: in.Version, Source: source,
	}, f.peers.addresses[p] == source)
	if !isNew {
		return
	}
	announced := false
	for _, h := range in.Holds {
		until := at + time.Duration(h.Milliseconds)*time.Millisecond
		begins := f.selector.Cordon(h.Endpoint, now, until)
		announced = announced || begins
		f.selector.UpdateWeights(h.Endpoint, h.Born, h.Weights)
	}
	if announced {
		f.kick()
	}
	if !in.Released {
		f.observed.holderSeen = max(f.observed.holderSeen, at)
	}
	f.lease.Apply(now, dutyRecord{Holder: in.Holder, Released: in.Released}.leaseRecord(sycfeed.Position{Era: in.Era, Offset: in.Offset}))
	f.applyDecisions(now, in.Rollouts)
}
