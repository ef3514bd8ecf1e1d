package sycfleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// previousReleases is the version under which all releases but the new one are counted.
	previousReleases = "before"
	// publishPause is the time between two attempts to publish a rollout's state.
	publishPause = 700 * time.Millisecond
	// repeatTime is how long after a restore of the log the request of a rollout that has begun is
	// taken for the same one if an operator writes it again, since the log may have lost it.
	repeatTime = 30 * time.Second
	// offsetBits is the number of low bits of a generation of evidence that hold an offset.
	offsetBits = 40
)

// rollout is this VM's state of a service's move to another release.
type rollout struct {
	Rollout
	// asked is the position of the operator's record.
	asked sycfeed.Position
	// generation is the generation of the evidence, by the position of the first record that
	// requested this rollout.
	generation uint64
	// move decides the release's traffic share and the outcome.
	move *sycrelease.Move
	// ledger holds the evidence of all VMs: counts of requests at either version.
	ledger *sycrollout.Ledger
	// stage compares the release with the previous ones.
	stage *sycrollout.Stage
	// share is the release's traffic share on this VM, 0 to 1.
	share float64
	// failureReason says why this VM's verdict on the release is failed. It is empty for any
	// other verdict.
	failureReason string
	// published is the state in the log, as far as this VM knows. statusReads counts how often it was read
	// from there.
	published   RolloutState
	statusReads int
	// lastPublish is when this VM last tried to publish the state.
	lastPublish time.Duration
}

// generationOf returns the generation of the evidence of a rollout that was requested at a position.
// It is higher for a later request.
func generationOf(asked sycfeed.Position) uint64 {
	return uint64(asked.Era)<<offsetBits | uint64(asked.Offset)
}

// collect lets the rollout begin to collect evidence of a generation.
func (r *rollout) collect(generation uint64) {
	r.generation, r.ledger = generation, sycrollout.NewLedger()
	candidate, previous := r.subjects()
	// The trial's traffic share is always below 1, so that the previous release gets requests
	// to compare with.
	r.stage = sycrollout.NewStage(candidate, previous, r.move.TrialShare(), nil)
}

// publishedStatus is a rollout's state as it was read from the log.
type publishedStatus struct {
	RolloutReport
	// era is the era of the record.
	era int64
}

// subjects returns the subjects that the evidence compares: the release and the previous ones.
func (r *rollout) subjects() (candidate, previous sycrollout.Subject) {
	return sycrollout.Subject{Version: r.Release, Generation: r.generation},
		sycrollout.Subject{Version: previousReleases, Generation: r.generation}
}

// startRollout starts the rollout of an operator's record, unless it is older than the
// service's present one or repeats its request.
func (f *Fleet) startRollout(now time.Duration, request Rollout, asked sycfeed.Position) {
	old := f.rollouts[request.Service]
	if old != nil && !old.asked.Before(asked) {
		return
	}
	if old != nil && f.repeats(now, old, request, asked) {
		f.log.WithFields(logrus.Fields{"service": old.Service, "release": old.Release, "before": old.asked, "position": asked}).Info("fleet: rollout was requested again after a restore")
		old.asked = asked
		return
	}
	r := &rollout{
		Rollout: request,
		asked:   asked,
		move:    sycrelease.New(now, request.TimeLimit, f.options.MaxTrialShare),
	}
	r.collect(generationOf(asked))
	f.rollouts[request.Service] = r
	f.adoptEvidence(r)
	f.setShare(now, r, r.move.TrialShare(), "asked for")
	if status, ok := f.statuses[request.Service]; ok && status.Release == request.Release {
		f.applyStatus(status)
	}
}

// repeats reports whether an operator's record of a later era than a rollout's is the same request. It has
// the same content and, if it isn't the same record of a restored log, comes soon after the restore.
func (f *Fleet) repeats(now time.Duration, r *rollout, request Rollout, asked sycfeed.Position) bool {
	if r.Rollout != request || asked.Era <= r.asked.Era {
		return false
	}
	return asked.Offset == r.asked.Offset || now < f.observed.restoredAt+repeatTime
}

// forgetPublished records that the log may have lost the states of rollouts, since it was restored. The
// holder of the duties writes them again.
func (f *Fleet) forgetPublished() {
	for _, r := range f.rollouts {
		r.published, r.lastPublish = "", 0
	}
}

// applyStatusChange applies a rollout's state in the log.
func (f *Fleet) applyStatusChange(c sycfeed.Change) {
	if c.Deleted {
		return
	}
	status, err := f.options.Decoder.Status(c.Key, c.Value)
	if err != nil {
		f.log.WithError(err).WithField("key", c.Key).Warn("fleet: decoding a rollout's state failed")
		return
	}
	f.statuses[status.Service] = publishedStatus{RolloutReport: status, era: c.Position.Era}
	f.applyStatus(f.statuses[status.Service])
}

// applyStatus adopts a rollout's state if it is final, and records that it is published. Of a state of a
// former era it isn't known whether the restored log still has it.
func (f *Fleet) applyStatus(s publishedStatus) {
	r := f.rollouts[s.Service]
	if r == nil || r.Release != s.Release {
		return
	}
	if s.era >= f.lease.Next().Era {
		r.published = s.State
		r.statusReads++
	}
	if s.State != RolloutRunning {
		r.move.AdoptState(sycrelease.State(s.State))
	}
}

// beginEvidence records that an attempt has begun, if a rollout of its service is running.
// From now on the ledger counts a late first token.
func (f *Fleet) beginEvidence(now time.Duration, id uint64, route string) {
	e, ok := f.selector.AttemptEvidence(id)
	if r := f.runningRollout(e.Service); ok && r != nil {
		r.ledger.Begin(now, id, r.cell(route, e))
	}
}

// recordFirstToken records the first byte of an attempt's answer for the rollout of its
// service.
func (f *Fleet) recordFirstToken(now time.Duration, id uint64) {
	e, _ := f.selector.AttemptEvidence(id)
	if r := f.runningRollout(e.Service); r != nil {
		r.ledger.RecordFirstToken(now, id)
	}
}

// endEvidence counts the outcome of an attempt for the rollout of its service.
func (f *Fleet) endEvidence(now time.Duration, id uint64, route string, e sycplace.Evidence) {
	r := f.runningRollout(e.Service)
	if r == nil {
		return
	}
	if e.Outcome != sycplace.Served && e.Outcome != sycplace.Failed {
		r.ledger.Forget(id)
		return
	}
	r.ledger.End(now, id, r.cell(route, e), sycrollout.Sample{Failed: e.Outcome == sycplace.Failed, FirstToken: e.FirstToken})
}

// runningRollout returns the running rollout of a service, nil if there is none.
func (f *Fleet) runningRollout(service string) *rollout {
	if r := f.rollouts[service]; r != nil && r.move.State() == sycrelease.Running {
		return r
	}
	return nil
}

// cell returns the cell of the ledger that an attempt is counted in.
func (r *rollout) cell(route string, e sycplace.Evidence) sycrollout.Cell {
	version := previousReleases
	if e.Release == r.Release {
		version = r.Release
	}
	return sycrollout.Cell{
		Version:    version,
		Generation: r.generation,
		Route:      route,
		Load:       sycrollout.LoadClass(e.Requests),
		Size:       sycrollout.SizeClass(e.Tokens),
	}
}

// rolloutTick updates this VM's verdicts on the releases of all running rollouts. A VM whose own
// verdict is failed stops sending requests to the release without waiting for the lease
// holder. The holder decides the traffic shares of all VMs and publishes the states.
func (f *Fleet) rolloutTick(now time.Duration, holder bool) {
	for _, service := range slices.Sorted(maps.Keys(f.rollouts)) {
		r := f.rollouts[service]
		state := r.move.State()
		var sinceBegin sycrollout.Verdict
		if state == sycrelease.Running {
			sinceBegin = r.judge(now)
		}
		switch {
		case state == sycrelease.Running && r.failureReason != "" && !holder:
			f.setShare(now, r, 0, r.failureReason)
		case holder || state != sycrelease.Running:
			share := r.move.Next(now, sycrelease.Evidence{
				Endpoints:     f.selector.ReleaseEndpoints(service, r.Release),
				Requests:      sinceBegin.Requests,
				FailureReason: r.failureReason,
				Suspected:     sinceBegin.Suspected,
			})
			f.setShare(now, r, share, string(r.move.State())+" "+r.move.Reason())
		}
		if holder {
			f.publishRollout(now, r)
		}
	}
}

// judge updates this VM's verdict on the release, and returns the one on the time since the
// rollout began.
func (r *rollout) judge(now time.Duration) sycrollout.Verdict {
	sinceBegin, recent := r.stage.Judge(now, r.ledger)
	r.failureReason = sinceBegin.Reason
	if r.failureReason == "" {
		r.failureReason = recent.Reason
	}
	return sinceBegin
}

// setShare sets the release's traffic share on this VM. A change is logged with its reason why.
func (f *Fleet) setShare(now time.Duration, r *rollout, share float64, why string) {
	if share != r.share {
		f.log.WithFields(logrus.Fields{
			"service": r.Service, "release": r.Release, "share": share, "before": r.share, "why": why,
		}).Info("fleet: rollout's share changes")
		f.kick()
	}
	r.share = share
	r.move.SetShare(now, share)
	f.selector.SetTrafficShare(r.Service, r.Release, share)
}

// publishRollout writes a rollout's state to the log if the log has another.
func (f *Fleet) publishRollout(now time.Duration, r *rollout) {
	state := RolloutState(r.move.State())
	if r.published == state || now-r.lastPublish < publishPause {
		return
	}
	r.lastPublish = now
	report := RolloutReport{Service: r.Service, Release: r.Release, State: state}
	era, reads := f.lease.Next().Era, r.statusReads
	f.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
		defer cancel()
		if err := f.options.Log.Report(ctx, report); err != nil {
			f.log.WithError(err).WithField("service", report.Service).Warn("fleet: publishing the rollout's state failed")
			return nil
		}
		f.loop.DoControl(func(time.Duration) {
			// A restore since the call began may have taken the record back, and what was read since may be
			// an older write that was carried out late.
			if f.lease.Next().Era == era && r.statusReads == reads {
				r.published = state
			}
		})
		f.log.WithFields(logrus.Fields{"service": report.Service, "release": report.Release, "state": state}).Info("fleet: rollout's state published")
		return nil
	})
}

// encodeRollouts returns this VM's rollouts: traffic shares and states.
func (f *Fleet) encodeRollouts() []*sycgossippb.Rollout {
	var out []*sycgossippb.Rollout
	for _, r := range f.rollouts {
		out = append(out, &sycgossippb.Rollout{
			Service:    r.Service,
			Release:    r.Release,
			Asked:      r.asked.Offset,
			AskedEra:   r.asked.Era,
			Generation: r.generation,
			Share:      r.share,
			State:      string(r.move.State()),
		})
	}
	return out
}

// addRollouts adds this VM's rollouts to the state for another VM.
func (f *Fleet) addRollouts(out *sycgossippb.State) { out.Rollouts = f.encodeRollouts() }

// findRollout returns the rollout that a message is about, nil if this VM has another or none. A record
// that a restored log shares with the log before has the same offset in both eras.
func (f *Fleet) findRollout(m *sycgossippb.Rollout) *rollout {
	r := f.rollouts[m.Service]
	if r == nil || r.Release != m.Release || r.asked.Offset != m.Asked {
		return nil
	}
	f.adoptGeneration(r, m.Generation)
	return r
}

// adoptGeneration takes over the lowest generation of a rollout's evidence that a VM has, since this one
// may have begun with the request that was written again after a restore.
func (f *Fleet) adoptGeneration(r *rollout, generation uint64) {
	if generation == 0 || generation >= r.generation {
		return
	}
	r.collect(generation)
	f.adoptEvidence(r)
}

// receiveRollouts adopts the final states of rollouts that another VM knows.
func (f *Fleet) receiveRollouts(in *sycgossippb.State) {
	for _, m := range in.Rollouts {
		if r := f.findRollout(m); r != nil && sycrelease.State(m.State) != sycrelease.Running {
			r.move.AdoptState(sycrelease.State(m.State))
		}
	}
}

// applyDecisions applies the lease holder's decisions about rollouts.
func (f *Fleet) applyDecisions(now time.Duration, rollouts []*sycgossippb.Rollout) {
	for _, m := range rollouts {
		r := f.findRollout(m)
		if r == nil {
			continue
		}
		if state := sycrelease.State(m.State); state != sycrelease.Running {
			r.move.AdoptState(state)
		}
		// The lease holder may not have received the evidence for this VM's verdict yet.
		if r.failureReason == "" || r.move.State() != sycrelease.Running {
			f.setShare(now, r, m.Share, "decided by the lease holder")
		}
	}
}
