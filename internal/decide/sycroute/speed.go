package sycroute

import "time"

const (
	// speedDecay is the factor by which the weight of older observations decreases with
	// each new one.
	speedDecay = 0.97
	// priorWeight is the weight of each of the two assumed observations in a fit. A new
	// observation has weight 1.
	priorWeight = 0.5
	// priorTokens is the number of computed tokens in the second assumed observation; the
	// first has none.
	priorTokens = 4096
	// priorBase and priorPerToken are the assumed times, in seconds, of an endpoint
	// without observations or another prior.
	priorBase     = 0.02
	priorPerToken = 1.0 / 10_000
	// outlierFactor and outlierExtra limit an observation to outlierFactor times the
	// expected time plus outlierExtra, so that one outlier doesn't spoil the fit.
	outlierFactor = 5
	outlierExtra  = 200 * time.Millisecond
	// minPerToken and maxPerToken limit the fitted time for each token, in seconds.
	minPerToken = 1e-7
	maxPerToken = 1e-2
)

// Estimate is an estimated prefill speed: the first token takes Base plus PerToken for
// each prompt token that is computed before it.
type Estimate struct {
	// Base is the time to the first token of a fully cached prompt.
	Base time.Duration
	// PerToken is the time to compute one prompt token.
	PerToken time.Duration
	// perToken is PerToken in seconds, not rounded to whole nanoseconds.
	perToken float64
}

// FirstToken returns the time to the first token if the given number of prompt tokens is
// computed before it.
func (e Estimate) FirstToken(tokens float64) time.Duration {
	return e.Base + e.Prefill(tokens)
}

// Prefill returns the time to compute the given number of prompt tokens.
func (e Estimate) Prefill(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) * e.perToken * float64(time.Second))
}

// Tokens returns the number of prompt tokens that are computed in the given time.
func (e Estimate) Tokens(d time.Duration) float64 {
	return d.Seconds() / e.perToken
}

// Speed estimates an endpoint's prefill speed by a least-squares line through observed
// times to the first token, with exponentially decaying weights.
type Speed struct {
	// n is the weighted number of observations. The others are the weighted sums of the
	// tokens x, the seconds y, and their products.
	n, x, y, xx, xy float64
	// prior determines the two assumed observations, which matter while there are few
	// real ones.
	prior Estimate
	// estimate is the current fit.
	estimate Estimate
}

// NewSpeed returns a speed without observations and with the default prior.
func NewSpeed() *Speed {
	return NewSpeedWithPrior(newEstimate(priorBase, priorPerToken))
}

// NewSpeedWithPrior returns a speed without observations. It starts at the prior, such as
// the estimate of a similar endpoint.
func NewSpeedWithPrior(prior Estimate) *Speed {
	s := &Speed{prior: prior}
	s.fit()
	return s
}

// newEstimate returns the estimate with the given times in seconds.
func newEstimate(base, perToken float64) Estimate {
	return Estimate{
		Base:     time.Duration(base * float64(time.Second)),
		PerToken: time.Duration(perToken * float64(time.Second)),
		perToken: perToken,
	}
}

// Estimate returns the current estimate.
func (s *Speed) Estimate() Estimate { return s.estimate }

// Observe adds an observation: the time to the first token and the number of prompt
// tokens that were computed before it.
func (s *Speed) Observe(tokens float64, d time.Duration) {
	d = min(d, outlierFactor*s.estimate.FirstToken(tokens)+outlierExtra)
	x, y := max(tokens, 0), d.Seconds()
	s.n = s.n*speedDecay + 1
	s.x = s.x*speedDecay + x
	s.y = s.y*speedDecay + y
	s.xx = s.xx*speedDecay + x*x
	s.xy = s.xy*speedDecay + x*y
	s.fit()
}

// fit updates the estimate from the sums and the two assumed observations.
func (s *Speed) fit() {
	low := s.prior.Base.Seconds()
	high := low + priorTokens*s.prior.perToken
	n := s.n + 2*priorWeight
	x := s.x + priorWeight*priorTokens
	y := s.y + priorWeight*(low+high)
	xx := s.xx + priorWeight*priorTokens*priorTokens
	xy := s.xy + priorWeight*priorTokens*high
	slope := (n*xy - x*y) / (n*xx - x*x)
	slope = min(max(slope, minPerToken), maxPerToken)
	base := max((y-slope*x)/n, 0)
	s.estimate = newEstimate(base, slope)
}
