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
	"sycamorecart.example/sycamorecart/internal/peer/sycevidence"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// formerReleases stands for all releases but the one that is moved to.
	formerReleases = "before"
	// reportAgain is the time between two tries to publish a move's state.
	reportAgain = 700 * time.Millisecond
)

// rollout is a service's move to another release, as one VM sees it.
type rollout struct {
	Rollout
	// asked is the offset of the operator's record.
	asked  int64
	move   *sycrelease.Move
	ledger *sycrollout.Ledger
	stage  *sycrollout.Stage
	// share is the release's part of the requests here.
	share float64
	// bad says why this VM finds the release bad; empty if it doesn't.
	bad string
	// published is the state that is known to lie in the log, and tried when this
	// VM last tried to publish one.
	published RolloutState
	tried     time.Duration
}

func (r *rollout) subjects() (candidate, former sycrollout.Subject) {
	generation := uint64(r.asked)
	return sycrollout.Subject{Version: r.Release, Generation: generation},
		sycrollout.Subject{Version: formerReleases, Generation: generation}
}

func (f *Fleet) rolloutAsked(now time.Duration, asked Rollout, offset int64) {
	if old := f.rollouts[asked.Service]; old != nil && old.asked >= offset {
		return
	}
	r := &rollout{
		Rollout: asked,
		asked:   offset,
		move:    sycrelease.New(now, asked.Within, f.options.RolloutShare),
		ledger:  sycrollout.NewLedger(),
	}
	candidate, former := r.subjects()
	// The trial's share is below 1 always, so that the former release has requests beside it.
	r.stage = sycrollout.NewStage(candidate, former, r.move.TrialShare(), nil)
	f.rollouts[asked.Service] = r
	f.setShare(now, r, r.move.TrialShare(), "asked for")
	if status, ok := f.statuses[asked.Service]; ok && status.Release == asked.Release {
		f.statusKnown(status)
	}
}

// statusChanged takes in a state that lies in the log.
func (f *Fleet) statusChanged(c sycfeed.Change) {
	if c.Dropped {
		return
	}
	status, err := f.options.Decoder.Status(c.Key, c.Value)
	if err != nil {
		f.log.WithError(err).WithField("key", c.Key).Warn("fleet: status can't be read")
		return
	}
	f.statuses[status.Service] = status
	f.statusKnown(status)
}

func (f *Fleet) statusKnown(s RolloutReport) {
	r := f.rollouts[s.Service]
	if r == nil || r.Release != s.Release {
		return
	}
	r.published = s.State
	if s.State != RolloutRunning {
		r.move.AdoptState(sycrelease.State(s.State))
	}
}

// begun has the first byte of an attempt's answer awaited, if the attempt's service is
// being moved.
func (f *Fleet) begun(now time.Duration, id uint64, route string) {
	e, ok := f.placer.AttemptEvidence(id)
	if r := f.moving(e.Service); ok && r != nil {
		r.ledger.Begin(now, id, r.cell(route, e))
	}
}

// answered notes the first byte of an answer.
func (f *Fleet) answered(now time.Duration, id uint64) {
	e, _ := f.placer.AttemptEvidence(id)
	if r := f.moving(e.Service); r != nil {
		r.ledger.RecordFirstToken(now, id)
	}
}

// evidence counts how a request ended for the rollout of its service.
func (f *Fleet) evidence(now time.Duration, id uint64, route string, e sycplace.Evidence) {
	r := f.moving(e.Service)
	if r == nil {
		return
	}
	if e.Outcome != sycplace.Served && e.Outcome != sycplace.Failed {
		r.ledger.Forget(id)
		return
	}
	r.ledger.End(now, id, r.cell(route, e), sycrollout.Sample{Failed: e.Outcome == sycplace.Failed, FirstToken: e.FirstToken})
}

// moving returns the move of a service that is under way, nil if there is none.
func (f *Fleet) moving(service string) *rollout {
	if r := f.rollouts[service]; r != nil && r.move.State() == sycrelease.Running {
		return r
	}
	return nil
}

// cell is where an attempt is counted.
func (r *rollout) cell(route string, e sycplace.Evidence) sycrollout.Cell {
	version := formerReleases
	if e.Release == r.Release {
		version = r.Release
	}
	return sycrollout.Cell{
		Version:    version,
		Generation: uint64(r.asked),
		Route:      route,
		Load:       sycrollout.LoadClass(e.Requests),
		Size:       sycrollout.SizeClass(e.Tokens),
	}
}

// rolloutTick judges the releases that are moved to. Every VM leaves a release
// that it finds bad at once; the holder of the duties decides for all.
func (f *Fleet) rolloutTick(now time.Duration, holder bool) {
	for _, service := range slices.Sorted(maps.Keys(f.rollouts)) {
		r := f.rollouts[service]
		state := r.move.State()
		whole, lately := r.stage.Judge(now, r.ledger)
		r.bad = whole.Reason
		if r.bad == "" {
			r.bad = lately.Reason
		}
		switch {
		case state == sycrelease.Running && r.bad != "" && !holder:
			f.setShare(now, r, 0, r.bad)
		case holder || state != sycrelease.Running:
			share := r.move.Next(now, sycrelease.Evidence{
				Endpoints:     f.placer.ReleaseEndpoints(service, r.Release),
				Requests:      whole.Requests,
				FailureReason: r.bad,
				Suspected:     whole.Suspected,
			})
			f.setShare(now, r, share, string(r.move.State())+" "+r.move.Reason())
		}
		if holder {
			f.publish(now, r)
		}
	}
}

// setShare sets the release's part of the requests on this VM.
func (f *Fleet) setShare(now time.Duration, r *rollout, share float64, why string) {
	if share != r.share {
		f.log.WithFields(logrus.Fields{
			"service": r.Service, "release": r.Release, "share": share, "before": r.share, "why": why,
		}).Info("fleet: rollout's share changes")
		f.mesh.Kick()
	}
	r.share = share
	r.move.SetShare(now, share)
	f.placer.SetTrafficShare(r.Service, r.Release, share)
}

// publish writes a move's state into the log until it is known to lie there.
func (f *Fleet) publish(now time.Duration, r *rollout) {
	state := RolloutState(r.move.State())
	if r.published == state || now-r.tried < reportAgain {
		return
	}
	r.tried = now
	report := RolloutReport{Service: r.Service, Release: r.Release, State: state}
	f.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
		defer cancel()
		if err := f.options.Log.Report(ctx, report); err != nil {
			f.log.WithError(err).WithField("service", report.Service).Warn("fleet: rollout's state not published")
			return nil
		}
		f.loop.Do(func(time.Duration) { r.published = state })
		f.log.WithFields(logrus.Fields{"service": report.Service, "release": report.Release, "state": state}).Info("fleet: rollout's state published")
		return nil
	})
}

// addRollouts tells the shares that this VM has decided, and its evidence.
func (f *Fleet) addRollouts(now time.Duration, out *sycgossippb.State) {
	_, holder := f.lease.Holds(now)
	for _, r := range f.rollouts {
		message := &sycgossippb.Rollout{
			Service: r.Service,
			Release: r.Release,
			Asked:   r.asked,
			Decided: holder,
			Share:   r.share,
			State:   string(r.move.State()),
		}
		if r.move.State() == sycrelease.Running {
			for cell, counts := range r.ledger.Own() {
				message.Evidence = append(message.Evidence, sycevidence.Encode(cell, counts))
			}
		}
		out.Rollouts = append(out.Rollouts, message)
	}
}

// heardRollouts takes in another VM's evidence, and what the holder has decided.
func (f *Fleet) heardRollouts(now time.Duration, in *sycgossippb.State) {
	for _, m := range in.Rollouts {
		r := f.rollouts[m.Service]
		if r == nil || r.asked != m.Asked {
			continue
		}
		for _, e := range m.Evidence {
			if cell, counts, ok := sycevidence.Decode(e); ok {
				r.ledger.Merge(in.Address+"/"+in.Incarnation, cell, counts)
			}
		}
		if state := sycrelease.State(m.State); state != sycrelease.Running {
			r.move.AdoptState(state)
		}
		// The holder may not know yet what this VM found.
		if m.Decided && (r.bad == "" || r.move.State() != sycrelease.Running) {
			f.setShare(now, r, m.Share, "the holder's word")
		}
	}
}
