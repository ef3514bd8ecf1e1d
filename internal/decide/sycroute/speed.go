package sycroute

import "time"

const (
	// speedDecay is the weight that older observations keep with each new one.
	speedDecay = 0.97
	// priorWeight is the weight of the assumption that stands in for observations.
	priorWeight = 0.5
	// priorTokens is the size of the larger of the two assumed prompts.
	priorTokens = 4096
	// priorBase and priorPerToken are the times, in seconds, that are assumed
	// of an endpoint of which nothing is known.
	priorBase     = 0.02
	priorPerToken = 1.0 / 10_000
	// outlier bounds an observation to a multiple of the expected time.
	outlier      = 5
	outlierFloor = 200 * time.Millisecond
	// leastPerToken and mostPerToken bound the slope, in seconds.
	leastPerToken = 1e-7
	mostPerToken  = 1e-2
)

// Estimate is a measured speed: a first token takes Base and PerToken for each
// prompt token that is computed before it.
type Estimate struct {
	Base     time.Duration
	PerToken time.Duration
	// perToken has the fraction of PerToken, in seconds.
	perToken float64
}

// FirstToken is the time to the first token after the given number of computed tokens.
func (e Estimate) FirstToken(tokens float64) time.Duration {
	return e.Base + e.Prefill(tokens)
}

// Prefill is the time that computing the tokens takes.
func (e Estimate) Prefill(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) * e.perToken * float64(time.Second))
}

// Tokens is the number of prompt tokens computed in a time.
func (e Estimate) Tokens(d time.Duration) float64 {
	return d.Seconds() / e.perToken
}

// Speed fits a line through observed times to the first token, with
// exponentially decaying weights.
type Speed struct {
	n, x, y, xx, xy float64
	// prior is assumed while there are few observations.
	prior Estimate
	// estimate is the fit of all observations so far.
	estimate Estimate
}

// NewSpeed returns a speed without observations.
func NewSpeed() *Speed {
	return NewSpeedWithPrior(newEstimate(priorBase, priorPerToken))
}

// NewSpeedWithPrior returns a speed that is assumed to be like another one.
func NewSpeedWithPrior(prior Estimate) *Speed {
	s := &Speed{prior: prior}
	s.fit()
	return s
}

func newEstimate(base, perToken float64) Estimate {
	return Estimate{
		Base:     time.Duration(base * float64(time.Second)),
		PerToken: time.Duration(perToken * float64(time.Second)),
		perToken: perToken,
	}
}

// Estimate is the present fit.
func (s *Speed) Estimate() Estimate { return s.estimate }

// Observe adds the time to the first token after the given number of computed tokens.
func (s *Speed) Observe(tokens float64, d time.Duration) {
	d = min(d, outlier*s.estimate.FirstToken(tokens)+outlierFloor)
	x, y := max(tokens, 0), d.Seconds()
	s.n = s.n*speedDecay + 1
	s.x = s.x*speedDecay + x
	s.y = s.y*speedDecay + y
	s.xx = s.xx*speedDecay + x*x
	s.xy = s.xy*speedDecay + x*y
	s.fit()
}

func (s *Speed) fit() {
	low := s.prior.Base.Seconds()
	high := low + priorTokens*s.prior.perToken
	n := s.n + 2*priorWeight
	x := s.x + priorWeight*priorTokens
	y := s.y + priorWeight*(low+high)
	xx := s.xx + priorWeight*priorTokens*priorTokens
	xy := s.xy + priorWeight*priorTokens*high
	slope := (n*xy - x*y) / (n*xx - x*x)
	slope = min(max(slope, leastPerToken), mostPerToken)
	base := max((y-slope*x)/n, 0)
	s.estimate = newEstimate(base, slope)
}
