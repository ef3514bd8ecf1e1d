package sycversion

import (
	"maps"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// stage is the present stage of a model's rollout, as this VM sees it.
type stage struct {
	subject sycrollout.Subject
	state   string
	share   float64
	// since is when this VM first saw the stage.
	since time.Duration
	judge *sycrollout.Stage
	// doubted is when this VM last began to doubt the version by itself; 0 if it never did.
	doubted time.Duration
	verdict sycrollout.Verdict
	recent  sycrollout.Verdict
	// engines, ready and loadTime are known on the leader only.
	engines  int
	ready    int
	loadTime time.Duration
}

// Status shows operators a rollout.
type Status struct {
	Model              string  `json:"model"`
	Version            string  `json:"version"`
	State              string  `json:"state"`
	Share              float64 `json:"share"`
	Reason             string  `json:"reason,omitempty"`
	Waiting            string  `json:"waiting_for,omitempty"`
	Veto               string  `json:"veto,omitempty"`
	ReevaluationReason string  `json:"doubt,omitempty"`
	Requests           uint64  `json:"requests_in_stage"`
}

// judge compares versions under rollout with their predecessors and publishes
// the shares. It runs on the control loop.
func (m *Manager) judge(now time.Duration) {
	m.judged = now
	config := m.options.Store.Config()
	system := m.options.Store.System()
	wall := m.options.Wall()
	if lease, ok := system.Lease(LeaseName); ok {
		m.lease.Read(now, leaseRecord(lease))
	}
	next := &view{
		shares: map[string][]sycwork.VersionShare{},
		judged: map[string]uint64{},
	}
	_, next.leading = m.lease.Holds(now)
	for _, model := range sycrollout.Models(config) {
		l := sycrollout.NewLineup(model, config, system)
		most := 1.0
		if l.HasCandidate {
			s := m.stage(now, model, l)
			m.judgeStage(now, s)
			most = s.judge.Share()
			next.judge(l)
			next.rollouts = append(next.rollouts, m.status(now, wall, model, l, s))
		}
		next.shares[model] = l.Shares(wall, most, m.vetoed)
	}
	m.ledger.Keep(func(version string, generation uint64) bool {
		return next.judged[version] == generation
	})
	maps.DeleteFunc(m.vetoes, func(s sycrollout.Subject, _ string) bool {
		return next.judged[s.Version] != s.Generation
	})
	m.view.Store(next)
	m.pace(len(next.rollouts) > 0)
	if late := m.ledger.LateFirstTokens(); late > m.shared.late {
		m.shared.late, m.shared.due = late, true
		m.hurry(now)
	}
}

// failed judges at once when a failure is known: at a high rate a bad version gets
// many requests between two regular judgements.
func (m *Manager) failed(now time.Duration) {
	if now-m.judged >= failureGap {
		m.judge(now)
	}
}

// judge has the requests of the candidate and the base recorded.
func (v *view) judge(l sycrollout.Lineup) {
	candidate, base := l.Subjects()
	v.judged[candidate.Version] = candidate.Generation
	if l.HasBase {
		v.judged[base.Version] = base.Generation
	}
}

// stage returns the present stage, begun anew when the progress has changed.
func (m *Manager) stage(now time.Duration, model string, l sycrollout.Lineup) *stage {
	candidate, base := l.Subjects()
	s := m.stages[model]
	if s != nil && s.subject == candidate && s.state == l.Progress.State && s.share == l.Progress.Share {
		return s
	}
	judge := sycrollout.NewStage(candidate, base, l.Progress.Share, m.ledger.Sum())
	if s != nil && s.subject == candidate && s.share == l.Progress.Share {
		judge = s.judge.Next(m.ledger.Sum())
	}
	s = &stage{
		subject: candidate,
		state:   l.Progress.State,
		share:   l.Progress.Share,
		since:   now,
		judge:   judge,
	}
	m.stages[model] = s
	return s
}

// judgeStage vetoes the candidate as soon as its evidence shows a fault.
func (m *Manager) judgeStage(now time.Duration, s *stage) {
	doubt, heard := s.verdict.ReevaluationReason, s.judge.Reevaluating()
	s.verdict, s.recent = s.judge.Judge(now, m.ledger)
	if !heard && s.judge.Reevaluating() {
		s.doubted = now
		m.hurry(now)
	}
	switch {
	case doubt == "" && s.verdict.ReevaluationReason != "":
		log.Infof("version %s is compared side by side with its predecessor, at a share of %g: %s", s.subject.Version, s.judge.Share(), s.verdict.ReevaluationReason)
	case doubt != "" && s.verdict.ReevaluationReason == "":
		log.Infof("version %s has all requests again: it is as fast as its predecessor", s.subject.Version)
	}
	for _, v := range []sycrollout.Verdict{s.verdict, s.recent} {
		if v.Failed {
			m.veto(s.subject, v.Reason)
		}
	}
}

// doubt begins a trial that another VM has begun.
func (m *Manager) doubt(now time.Duration, subject sycrollout.Subject, reason string) {
	for _, s := range m.stages {
		if s.subject == subject {
			s.judge.Reevaluate(now, m.ledger, reason)
		}
	}
}

func (m *Manager) veto(s sycrollout.Subject, reason string) {
	if m.vetoed(s) {
		return
	}
	m.vetoes[s] = reason
	log.Warnf("version %s gets no more work: %s", s.Version, reason)
}

func (m *Manager) vetoed(s sycrollout.Subject) bool {
	_, ok := m.vetoes[s]
	return ok
}

// decision gathers what the rollout is decided on.
func (m *Manager) decision(now time.Duration, wall time.Time, l sycrollout.Lineup, s *stage) sycrollout.View {
	return sycrollout.View{
		Wall:     wall,
		Lineup:   l,
		InState:  now - s.since,
		Stage:    s.verdict,
		Recent:   s.recent,
		Veto:     m.vetoes[s.subject],
		Engines:  s.engines,
		Ready:    s.ready,
		LoadTime: s.loadTime,
	}
}

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
		status.Waiting = sycrollout.Waiting(m.decision(now, wall, l, s))
	}
	return status
}

// Rollouts returns the rollouts that are neither settled nor rolled back, and
// whether this VM leads them.
func (m *Manager) Rollouts() (rollouts []Status, leading bool) {
	v := m.view.Load()
	return v.rollouts, v.leading
}
