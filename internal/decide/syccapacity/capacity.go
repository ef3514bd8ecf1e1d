// Package syccapacity learns how long the engines of a service take for a first token, and how long requests wait there for
// work that nobody has told this VM of.
//
// An engine reads the prompts of requests one after the other before it answers. The time to a first token is therefore a
// fixed part and the time for the prompt tokens that are ahead of the request or its own. The package learns both from
// the answers to attempts, for all engines of a service together, with a factor for each engine, since engines differ in
// speed and some turn slow for moments.
//
// What remains is unexplained: the load of VMs that this one doesn't hear, requests that others send at the same moment, memory
// that an engine lacks, a slow moment. It is learned as a wait, for each engine and for the service, and forgotten within seconds.
//
// The package has no clock and does no I/O: the caller passes the time, as a duration since a fixed start.
package syccapacity

import (
	"math"
	"time"
)

const (
	// lowQuantile is the quantile of the measured times that the rate and the fixed part are fitted to. It is below the
	// median, since what is unexplained only makes answers later.
	lowQuantile = 0.3
	// fitStep scales the change by one sample: the fixed part and the time for a token rise by lowQuantile of it, and fall by
	// the rest.
	fitStep = 0.03
	// minTokenTime and maxTokenTime limit the time for a token, in seconds, and minFixed and maxFixed the fixed part.
	minTokenTime, maxTokenTime = 1e-6, 1e-2
	minFixed, maxFixed         = time.Millisecond, 500 * time.Millisecond
	// rateTokens is the number of tokens from which on a sample counts wholly for the time for a token.
	rateTokens = 2000
	// factorStep is the weight of a sample in an engine's factor, and factorHalfLife the time in which the factor's logarithm
	// halves without samples. The factor is from 1 to maxFactor. It isn't below 1, since an engine that seems faster by
	// chance would get all requests.
	factorStep     = 0.1
	factorHalfLife = 10 * time.Second
	maxFactor      = 3.0
	// waitHalfLife is the time in which an unexplained wait at an engine halves without samples, and poolHalfLife the same for
	// the service.
	waitHalfLife = 1500 * time.Millisecond
	poolHalfLife = 700 * time.Millisecond
	// waitStep and poolStep are the weights of a sample in them.
	waitStep, poolStep = 0.5, 0.1
	// maxWait limits the unexplained wait of one sample.
	maxWait = 4 * time.Second
	// poolGrowth and poolSlack, in seconds, limit a sample of the service's wait by what is known of it, so that the
	// few answers of engines in trouble don't make all engines look slow.
	poolGrowth, poolSlack = 2, 0.1
)

// Prior is what is assumed of engines before there are samples.
type Prior struct {
	// TokensPerSecond is how many prompt tokens an engine reads in a second.
	TokensPerSecond float64
	// FirstToken is the time to the first token of an empty prompt at an idle engine.
	FirstToken time.Duration
}

// Model is what is known of the engines of one service.
type Model struct {
	// fixed is the time to the first token of an empty prompt, and tokenTime that for each token, in seconds.
	fixed, tokenTime float64
	// waits holds the unexplained waits over all engines, in seconds, by the urgency of requests.
	waits [2]average
}

// Urgency tells apart requests that engines take first, and the others, which also wait for those that come later.
type Urgency int

// Urgencies of requests.
const (
	Urgent Urgency = iota
	Deferrable
)

// Engine is what is known of one engine beyond its service's model.
type Engine struct {
	// factor is how much longer the engine takes than others, and factorAt as of when.
	factor   float64
	factorAt time.Duration
	// waits holds the unexplained waits at the engine, in seconds, by the urgency of requests.
	waits [2]average
}

// average is a moving average that decays to 0 without samples.
type average struct {
	value float64
	at    time.Duration
}

// get returns the average at a time. It halves in each half-life without samples.
func (a average) get(now, halfLife time.Duration) float64 {
	return a.value * math.Exp2(-(now-a.at).Seconds()/halfLife.Seconds())
}

// add adds a sample with a weight.
func (a *average) add(now, halfLife time.Duration, sample, weight float64) {
	old := a.get(now, halfLife)
	a.value, a.at = old+weight*(sample-old), now
}

// NewModel returns the model of a service without samples.
func NewModel(p Prior) *Model {
	return &Model{fixed: p.FirstToken.Seconds(), tokenTime: 1 / p.TokensPerSecond}
}

// NewEngine returns what is known of an engine without samples.
func NewEngine() *Engine { return &Engine{factor: 1} }

// Factor returns how much longer the engine takes than others of its service.
func (e *Engine) Factor(now time.Duration) float64 {
	kept := math.Exp2(-(now - e.factorAt).Seconds() / factorHalfLife.Seconds())
	return math.Pow(e.factor, kept)
}

// Read returns how long an engine takes to read prompt tokens.
func (m *Model) Read(now time.Duration, e *Engine, tokens int) time.Duration {
	return seconds(e.Factor(now) * m.tokenTime * float64(tokens))
}

// Explained returns the time to the first token of a request with a number of prompt tokens ahead of it and its own.
func (m *Model) Explained(now time.Duration, e *Engine, tokens int) time.Duration {
	return seconds(e.Factor(now) * (m.fixed + m.tokenTime*float64(tokens)))
}

// Wait returns the unexplained wait that a request is likely to meet at an engine. Overdue is by how much an attempt
// there is later than was expected, 0 if none is.
func (m *Model) Wait(now time.Duration, e *Engine, u Urgency, overdue time.Duration) time.Duration {
	own := e.waits[u]
	fresh := math.Exp2(-(now - own.at).Seconds() / waitHalfLife.Seconds())
	if own.at == 0 {
		fresh = 0
	}
	wait := fresh*own.value + (1-fresh)*m.waits[u].get(now, poolHalfLife)
	return max(seconds(wait), min(overdue, maxWait), 0)
}

// Observe records the time that an engine took to a first token, and the tokens that were ahead of the request or its
// own when it was sent.
func (m *Model) Observe(now time.Duration, e *Engine, u Urgency, tokens int, took time.Duration) {
	took = max(took, 0)
	factor, usual := e.Factor(now), m.fixed+m.tokenTime*float64(tokens)
	explained := factor * usual
	wait := min(max(took.Seconds()-explained, 0), maxWait.Seconds())
	e.waits[u].add(now, waitHalfLife, wait, waitStep)
	pooled := m.waits[u].get(now, poolHalfLife)
	m.waits[u].add(now, poolHalfLife, min(wait, poolGrowth*pooled+poolSlack), poolStep)
	m.fit(tokens, took.Seconds()-usual)
	ratio := min(max(took.Seconds()/explained, 1/maxFactor), maxFactor)
	if waited := m.waits[u].get(now, poolHalfLife); ratio < 1 || waited < explained/2 {
		// While the whole service makes requests wait, an engine's lateness says little about its speed.
		e.factor = min(max(factor*math.Pow(ratio, factorStep), 1), maxFactor)
		e.factorAt = now
	}
}

// fit moves the fixed part and the time for a token towards the low quantile of the times, by a step that doesn't
// depend on how far off the sample is.
func (m *Model) fit(tokens int, rest float64) {
	direction := lowQuantile
	if rest < 0 {
		direction = lowQuantile - 1
	}
	share := min(float64(tokens)/rateTokens, 1)
	m.tokenTime = min(max(m.tokenTime*(1+fitStep*direction*share), minTokenTime), maxTokenTime)
	m.fixed = min(max(m.fixed*(1+fitStep*direction*(1-share)), minFixed.Seconds()), maxFixed.Seconds())
}

// TokensPerSecond returns how many prompt tokens an engine reads in a second.
func (m *Model) TokensPerSecond() float64 { return 1 / m.tokenTime }

// PooledWait returns the unexplained wait of urgent requests over all engines.
func (m *Model) PooledWait(now time.Duration) time.Duration {
	return seconds(m.waits[Urgent].get(now, poolHalfLife))
}

// seconds returns a duration of a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
