package syccapacity

import "time"

const (
	// onTimeStep is the weight of an answer in the fraction that is in time, and onTimeMemory the time without answers after
	// which that fraction is forgotten.
	onTimeStep   = 0.1
	onTimeMemory = time.Second
	// Requests begin to compete for room when the fraction in time falls below lowOnTime, and cease to when it rises above
	// highOnTime.
	lowOnTime, highOnTime = 0.5, 0.75
)

// Punctuality tells from the answers whether the requests to a service compete for room: most of them are late, whatever was
// predicted. Predictions fail when the load isn't known, for example while VMs are cut off from each other or engines have
// restarted with empty caches. A Punctuality without answers tells of no competition.
type Punctuality struct {
	// onTime is the moving average of the part of the answers that is in time, as of a time.
	onTime float64
	at     time.Duration
	// contended is set while requests compete for room.
	contended bool
}

// NewPunctuality returns a Punctuality without answers.
func NewPunctuality() *Punctuality { return &Punctuality{onTime: 1} }

// Observe records an answer, or that there was none.
func (p *Punctuality) Observe(now time.Duration, onTime bool) {
	if now-p.at > onTimeMemory {
		p.onTime = 1
	}
	sample := 0.0
	if onTime {
		sample = 1
	}
	p.onTime += onTimeStep * (sample - p.onTime)
	p.at = now
	switch {
	case p.onTime < lowOnTime:
		p.contended = true
	case p.onTime > highOnTime:
		p.contended = false
	}
}

// Contended reports whether requests compete for room.
func (p *Punctuality) Contended(now time.Duration) bool {
	return p.contended && now-p.at <= onTimeMemory
}
