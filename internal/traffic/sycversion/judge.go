package sycversion

import (
	"maps"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// stage holds this VM's data on the present stage of a model's rollout: a period in which
// the recorded state and traffic share don't change.
type stage struct {
	// subject identifies the candidate, which is the version that is rolled out.
	subject sycrollout.Subject
	// state is the state of the rollout by its last record, such as sycrollout.StateCanary
	// for the first stage.
	state string
	// share is the recorded traffic share of the candidate.
	share float64
	// begunAt is the control loop's time at which this VM first saw the stage.
	begunAt time.Duration
	// comparison compares the candidate with its predecessor.
	comparison *sycrollout.Stage
	// reevaluatedAt is when this VM last began a re-evaluation because of its own
	// comparison, not because of a peer's. It is 0 if there was none.
	reevaluatedAt time.Duration
	// verdict is the last verdict on the time since the stage began.
	verdict sycrollout.Verdict
	// recentVerdict is the last verdict on recent evidence: that of the last
	// sycrollout.Window or, if this shows no fault, of sycrollout.ShortWindow.
	recentVerdict sycrollout.Verdict
	// engines is the number of the model's engines that sent a load report. Only the
	// leader sets it.
	engines int
	// readyEngines is the number of those engines that have loaded the candidate. Only
	// the leader sets it.
	readyEngines int
	// loadTime is the median of the times that single engines took to load the candidate's
	// weights, 0 if none is known. Only the leader sets it.
	loadTime time.Duration
}

// Status describes a rollout for operators.
type Status struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the name of the version that is rolled out.
	Version string `json:"version"`
	// State is the state in the rollout's last record, or sycrollout.StatePending if there
	// is no record.
	State string `json:"state"`
	// Share is the traffic share in the rollout's last record, from 0 to 1.
	Share float64 `json:"share"`
	// Reason is the reason in the rollout's last record.
	Reason string `json:"reason,omitempty"`
	// Waiting says what the rollout waits for. Only the leader sets it.
	Waiting string `json:"waiting_for,omitempty"`
	// Veto says why the version gets no more requests. It is empty if there is no veto.
	Veto string `json:"veto,omitempty"`
	// ReevaluationReason says why the version, which had all requests, is re-evaluated
	// side by side with its predecessor. It is empty if it isn't.
	ReevaluationReason string `json:"doubt,omitempty"`
	// Requests is the number of the version's requests that ended in this stage, on all
	// VMs together.
	Requests uint64 `json:"requests_in_stage"`
}

// judge compares each rollout's candidate with its predecessor, vetoes the candidate if its
// evidence shows a fault, and updates the view. It runs on the control loop.
func (m *Manager) judge(now time.Duration) {
	m.judgedAt = now
	config := m.options.Store.Config()
	system := m.options.Store.System()
	wall := m.options.Wall()
	if lease, ok := system.Lease(LeaseName); ok {
		m.lease.Apply(now, leaseRecord(lease))
	}
	next := &view{
		shares:      map[string][]sycwork.VersionShare{},
		generations: map[string]uint64{},
	}
	_, next.leading = m.lease.Holds(now)
	for _, model := range sycrollout.Models(config) {
		l := sycrollout.NewLineup(model, config, system)
		maxShare := 1.0
		if l.HasCandidate {
			s := m.stage(now, model, l)
			m.judgeStage(now, s)
			maxShare = s.comparison.Share()
			next.addSubjects(l)
			next.rollouts = append(next.rollouts, m.status(now, wall, model, l, s))
		}
		next.shares[model] = l.Shares(wall, maxShare, m.vetoed)
	}
	m.ledger.Keep(func(version string, generation uint64) bool {
		return next.generations[version] == generation
	})
	maps.DeleteFunc(m.vetoes, func(s sycrollout.Subject, _ string) bool {
		return next.generations[s.Version] != s.Generation
	})
	m.view.Store(next)
	m.setCheckPeriod(len(next.rollouts) > 0)
	if late := m.ledger.LateFirstTokens(); late > m.outgoing.lateFirstTokens {
		m.outgoing.lateFirstTokens, m.outgoing.countsDue = late, true
		m.requestDigest(now)
	}
}

// judgeUrgently calls judge at once, unless its last call was less than urgentInterval ago.
// It is called for a failure, and for failures or re-evaluations that a peer reports: at a
// high request rate a faulty version gets many requests between two regular judgements.
func (m *Manager) judgeUrgently(now time.Duration) {
	if now-m.judgedAt >= urgentInterval {
		m.judge(now)
	}
}

// addSubjects adds the generations of a lineup's candidate and base to the versions under
// rollout. A lineup holds the versions that a model's rollout involves. Its base is the version
// that serves the model, which is the candidate's predecessor. The base is added only if there
// is one.
func (v *view) addSubjects(l sycrollout.Lineup) {
	candidate, base := l.Subjects()
	v.generations[candidate.Version] = candidate.Generation
	if l.HasBase {
		v.generations[base.Version] = base.Generation
	}
}

// stage returns the present stage of a model's rollout. It begins a new stage if the
// recorded progress has changed.
func (m *Manager) stage(now time.Duration, model string, l sycrollout.Lineup) *stage {
	candidate, base := l.Subjects()
	s := m.stages[model]
	if s != nil && s.subject == candidate && s.state == l.Progress.State && s.share == l.Progress.Share {
		return s
	}
	comparison := sycrollout.NewStage(candidate, base, l.Progress.Share, m.ledger.Sum())
	if s != nil && s.subject == candidate && s.share == l.Progress.Share {
		comparison = s.comparison.Next(m.ledger.Sum())
	}
	s = &stage{
		subject:    candidate,
		state:      l.Progress.State,
		share:      l.Progress.Share,
		begunAt:    now,
		comparison: comparison,
	}
	m.stages[model] = s
	return s
}

// judgeStage updates the verdicts of a stage and vetoes the candidate if its evidence shows
// a fault. It announces a re-evaluation that the comparison has begun.
func (m *Manager) judgeStage(now time.Duration, s *stage) {
	lastReason, wasReevaluating := s.verdict.ReevaluationReason, s.comparison.Reevaluating()
	s.verdict, s.recentVerdict = s.comparison.Judge(now, m.ledger)
	if !wasReevaluating && s.comparison.Reevaluating() {
		s.reevaluatedAt = now
		m.requestDigest(now)
	}
	switch {
	case lastReason == "" && s.verdict.ReevaluationReason != "":
		log.Infof("version %s is re-evaluated side by side with its predecessor, at a traffic share of %g: %s", s.subject.Version, s.comparison.Share(), s.verdict.ReevaluationReason)
	case lastReason != "" && s.verdict.ReevaluationReason == "":
		log.Infof("version %s has all requests again: it is as fast as its predecessor", s.subject.Version)
	}
	for _, v := range []sycrollout.Verdict{s.verdict, s.recentVerdict} {
		if v.Failed {
			m.veto(s.subject, v.Reason)
		}
	}
}

// reevaluate begins a re-evaluation of a version because a peer has begun one.
func (m *Manager) reevaluate(now time.Duration, subject sycrollout.Subject, reason string) {
	for _, s := range m.stages {
		if s.subject == subject {
			s.comparison.Reevaluate(now, m.ledger, reason)
		}
	}
}

// veto makes this VM send a version no more requests, and announces that to its peers with
// its next digest.
func (m *Manager) veto(s sycrollout.Subject, reason string) {
	if m.vetoed(s) {
		return
	}
	m.vetoes[s] = reason
	log.Warnf("version %s gets no more work: %s", s.Version, reason)
}

// vetoed reports whether a version is vetoed.
func (m *Manager) vetoed(s sycrollout.Subject) bool {
	_, ok := m.vetoes[s]
	return ok
}

// decisionInput returns the input of sycrollout.Decide and sycrollout.Waiting for a stage.
func (m *Manager) decisionInput(now time.Duration, wall time.Time, l sycrollout.Lineup, s *stage) sycrollout.View {
	return sycrollout.View{
		Wall:     wall,
		Lineup:   l,
		InState:  now - s.begunAt,
		Stage:    s.verdict,
		Recent:   s.recentVerdict,
		Veto:     m.vetoes[s.subject],
		Engines:  s.engines,
		Ready:    s.readyEngines,
		LoadTime: s.loadTime,
	}
}

// status returns the status of a model's rollout.
func (m *Manager) status(now time.Duration, wall time.Time, model string, l sycrollout.Lineup, s *stage) Status {
	status := Status{
		Model:              model,
		Version:            s.subject.Version,
		State:              sycrollout.RecordState(l.Progress.State),
		Share:              l.Progress.Share,
		Reason:             l.Progress.Reason,
		Veto:               m.vetoes[s.subject],
		ReevaluationReason: s.verdict.ReevaluationReason,
		Requests:           s.verdict.Requests,
	}
	if _, ok := m.lease.Holds(now); ok {
		status.Waiting = sycrollout.Waiting(m.decisionInput(now, wall, l, s))
	}
	return status
}

// Rollouts returns the status of each rollout that is pending, runs or is in probation, and
// whether this VM leads the rollouts, which means that it holds the lease.
func (m *Manager) Rollouts() (rollouts []Status, leading bool) {
	v := m.view.Load()
	return v.rollouts, v.leading
}
