package sycversion

import "time"

// On a machine that stands still, or has no time for this VM, all answers seem slow. At the
// full share there is no counterpart that would be as slow, so the VM takes from what it
// measures the time for which it was held up itself.

const (
	// beatPeriod is the time between two beats during a rollout, idleBeat without any.
	beatPeriod = 20 * time.Millisecond
	idleBeat   = time.Second
	// heldUp is how late a beat must be to count. Lesser delays add up only where one
	// waits for the other, and an answer that takes long has many of them beside its own
	// waiting.
	heldUp = 100 * time.Millisecond
)

// beat counts by how much it is late. It runs on the control loop.
func (m *Manager) beat(now time.Duration) {
	if late := now - m.beatDue; m.beatDue > 0 && late >= heldUp {
		m.ledger.RecordPause(late)
	}
	m.beatDue = now + m.beatEvery
}

// pace sets the time between two beats. It runs on the control loop.
func (m *Manager) pace(rollouts bool) {
	period := idleBeat
	if rollouts {
		period = beatPeriod
	}
	if period == m.beatEvery {
		return
	}
	m.beatEvery, m.beatDue = period, 0
	m.beats.SetPeriod(period)
}
