package sycversion

import "time"

// A process pause of this VM makes all responses seem slow. At the traffic share 1 no
// predecessor gets requests that would be as slow, so the pauses are subtracted from the
// measured times. A pause shows as a periodic check on the control loop that runs late.

const (
	// rolloutCheckPeriod is the time between two pause checks during a rollout.
	rolloutCheckPeriod = 20 * time.Millisecond
	// idleCheckPeriod is the time between two pause checks while no rollout runs.
	idleCheckPeriod = time.Second
	// minPause is the shortest delay of a pause check that counts as a process pause.
	// Shorter delays are ignored: a long response has many of them while it waits for
	// its engine anyway, so their sum would subtract too much.
	minPause = 100 * time.Millisecond
)

// checkPause records a process pause if this check ran late. It runs on the control loop.
func (m *Manager) checkPause(now time.Duration) {
	if late := now - m.nextCheck; m.nextCheck > 0 && late >= minPause {
		m.ledger.RecordPause(late)
	}
	m.nextCheck = now + m.checkPeriod
}

// setCheckPeriod sets the time between two pause checks, which depends on whether any
// rollout runs. It runs on the control loop.
func (m *Manager) setCheckPeriod(rollouts bool) {
	period := idleCheckPeriod
	if rollouts {
		period = rolloutCheckPeriod
	}
	if period == m.checkPeriod {
		return
	}
	m.checkPeriod, m.nextCheck = period, 0
	m.pauseCheck.SetPeriod(period)
}
