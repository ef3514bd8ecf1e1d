package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// firstImportPerBlock is assumed before an import was measured.
	firstImportPerBlock = 400 * time.Microsecond
	leastImportPerBlock = 20 * time.Microsecond
	mostImportPerBlock  = 20 * time.Millisecond
	// importOverhead is the time that an import takes apart from its blocks.
	importOverhead = 3 * time.Millisecond
	// importStep is the weight of an observation of an import that was faster
	// than expected, importStepUp of a slower one, which may have waited for
	// requests of other VMs.
	importStep   = 0.2
	importStepUp = 0.02
	// slowFactor and slowFloor say when a first token counts as slow, compared
	// with what all endpoints together would have needed.
	slowFactor = 4
	slowFloor  = 500 * time.Millisecond
	// refusedPause is the pause after an endpoint refused for want of room.
	refusedPause = 100 * time.Millisecond
)

// attempt is a request that was given an endpoint.
type attempt struct {
	request  *Request
	pool     *pool
	endpoint *endpoint
	option   Option
	started  time.Duration
	// work is what the customer was charged.
	work float64
	// held and imported are the numbers of blocks that were expected in the
	// cache and to be imported.
	held     int
	imported int
	// shared is the number of leading blocks that were in use before.
	shared int
	// computed is the number of prompt tokens expected to be computed up to the
	// first token, those queued before included.
	computed float64
	// missing is the part of computed that is the request's own.
	missing int
	// predicted is the expected time to the first token.
	predicted time.Duration
	// prefilled is set once the first token has arrived.
	prefilled bool
}

// remaining is the number of prompt tokens still to be computed, as if the
// prefill advanced evenly and were never done before its first token is seen.
func (a *attempt) remaining(now time.Duration) int {
	if a.prefilled {
		return 0
	}
	left := 1.0
	if a.predicted > 0 {
		left = 1 - float64(now-a.started)/float64(a.predicted)
	}
	return int(float64(a.missing) * max(left, 0.1))
}

// remainingTime is how long the prefill is expected to go on.
func (a *attempt) remainingTime(now time.Duration) time.Duration {
	return max(a.started+a.predicted-now, a.predicted/10)
}

// firstToken takes the time to the first token.
func (d *Dispatcher[P]) firstToken(now time.Duration, a *attempt, took time.Duration) {
	if a.prefilled {
		return
	}
	a.prefilled = true
	e := a.endpoint
	e.note(now)
	if a.request.Model == "" {
		return
	}
	// The engine has just stored the prompt's blocks.
	e.cache.Predict(now, a.option.Chain)
	e.cache.Confirm(now, e.cache.Incarnation(), a.option.Chain)
	d.keep(now, a)
	event := sychealth.Success
	if took > slowFactor*d.typical.Estimate().FirstToken(a.computed)+slowFloor {
		event = sychealth.Slow
	}
	if !d.trial(a) {
		e.health.Observe(now, event)
	}
	if a.imported > 0 {
		e.measureImport(a, took)
		return
	}
	e.speed.Observe(a.computed, took-e.network)
	d.typical.Observe(a.computed, took-e.network)
}

func (e *endpoint) measureImport(a *attempt, took time.Duration) {
	rest := took - e.network - importOverhead - e.speed.Estimate().FirstToken(a.computed)
	seen := rest / time.Duration(a.imported)
	seen = min(max(seen, leastImportPerBlock), mostImportPerBlock)
	step := importStep
	if seen > e.importPerBlock {
		step = importStepUp
	}
	e.importPerBlock += time.Duration(step * float64(seen-e.importPerBlock))
}

// learn compares what was expected of an attempt with its result.
func (d *Dispatcher[P]) learn(now time.Duration, a *attempt, r sycwork.Result) {
	e := a.endpoint
	e.stay += time.Duration(stayStep * float64(now-a.started-e.stay))
	if r.PromptTokens == 0 {
		a.pool.finished += a.work
		return
	}
	cached := min(r.CachedTokens/sycblock.TokensPerBlock, len(a.option.Chain))
	e.cache.Confirm(now, r.Incarnation, a.option.Chain[:cached])
	found := float64(min(cached, a.held))
	switch {
	case a.imported > 0 && cached < a.held+a.imported/2:
		e.importPerBlock = min(2*e.importPerBlock, mostImportPerBlock)
	case a.held > 0 && a.imported == 0:
		e.trust += trustStep * (found/float64(a.held) - e.trust)
	}
	actual := float64(r.PromptTokens-r.CachedTokens) + outputWork*float64(r.OutputTokens)
	a.pool.queue.Correct(a.request.Customer, actual-a.work)
	a.pool.finished += actual
	d.outputs.observe(a.request.Customer, r.OutputTokens)
}

// trial reports whether an attempt runs on a version that serves the smaller
// part of its model. How such an attempt ends is evidence about the version and
// says little of the endpoint.
func (d *Dispatcher[P]) trial(a *attempt) bool {
	if a.request.Model == "" || a.request.Pinned {
		return false
	}
	versions := d.active(a.request.Model)
	return len(versions) > 0 && largest(versions).Version != a.option.Version.Version
}

// judge lets an attempt's outcome bear on its endpoint's health.
func (d *Dispatcher[P]) judge(now time.Duration, a *attempt, r sycwork.Result) {
	e := a.endpoint
	switch {
	case r.Unreachable:
		e.lose(now)
	case r.Outcome == sycwork.Refused:
		e.pausedUntil = now + refusedPause
	case d.trial(a):
	case r.Outcome == sycwork.Failed:
		e.health.Observe(now, sychealth.Failure)
	case r.Outcome == sycwork.Succeeded && a.request.Model == "":
		e.health.Observe(now, sychealth.Success)
	}
}

// lose takes an endpoint at which nothing listens out of service.
func (e *endpoint) lose(now time.Duration) {
	e.health.Observe(now, sychealth.Unreachable)
	e.cache.Lost()
}
