package sycspill

import "time"

const (
	// awayPrior is how much longer the path time of an away domain without samples is assumed to be than home's. Home's
	// holds the predictions' errors, which are likely the same for all domains.
	awayPrior = 30 * time.Millisecond
	// pathStep is the weight of a sample in the path time, and baseStep in the base, if it is above the base.
	pathStep = 0.15
	baseStep = 0.01
	// maxSample limits a sample of the path time, so that a single one closes no domain.
	maxSample = 1500 * time.Millisecond
	// pathHalfLife is the time in which a path time without new samples comes half as near to the prior, so
	// that the domain is tried again.
	pathHalfLife = 2 * time.Second
	// A path is congested while its time is above growthFactor times the base plus growthExtra. The extra is
	// the smallest retransmission time of TCP: single losses don't close a domain, but raise its cost.
	growthFactor = 2
	growthExtra  = 200 * time.Millisecond
	// maxFailures is how many failures in a row, without a first byte between them, close a domain. A
	// single endpoint that has ended causes fewer, since its neighbours answer.
	maxFailures = 3
	// closedFor is for how long a domain stays closed.
	closedFor = 2 * time.Second
)

// path is the measured path to the endpoints of a failure domain.
type path struct {
	// average is the moving average of samples, as of at.
	average, at time.Duration
	// base is the time when the path is idle: the lowest average, which rises slowly. It is valid if sampled is set.
	base    time.Duration
	sampled bool
	// failures counts the failures in a row.
	failures int
	// closedUntil is the end of the closure by reason.
	closedUntil time.Duration
	reason      Reason
}

// time returns the path time. Prior is the time without samples.
func (p *path) time(now, prior time.Duration) time.Duration {
	if !p.sampled {
		return prior
	}
	age := float64(now-p.at) / float64(pathHalfLife)
	return prior + time.Duration(float64(p.average-prior)/(1+age))
}

// observe adds a sample of how much later than predicted a first byte came.
func (p *path) observe(now, sample, prior time.Duration) {
	p.failures = 0
	sample = min(max(sample, 0), maxSample)
	current := p.time(now, prior)
	current += time.Duration(pathStep * float64(sample-current))
	p.average, p.at = current, now
	switch {
	case !p.sampled || current < p.base:
		p.base, p.sampled = current, true
	default:
		p.base += time.Duration(baseStep * float64(current-p.base))
	}
	if current > growthFactor*p.base+growthExtra {
		p.close(now, Congested)
	}
}

// fail records a failure.
func (p *path) fail(now time.Duration) {
	p.failures++
	if p.failures >= maxFailures {
		p.close(now, Unreachable)
	}
}

// close closes the path for closedFor.
func (p *path) close(now time.Duration, why Reason) {
	p.closedUntil, p.reason = now+closedFor, why
}
