package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// initialImportPerBlock is the assumed time to import one block until an import
	// to the endpoint was measured.
	initialImportPerBlock = 400 * time.Microsecond
	// minImportPerBlock is the lower bound of the estimated time to import one
	// block.
	minImportPerBlock = 20 * time.Microsecond
	// maxImportPerBlock is the upper bound of the estimated time to import one
	// block.
	maxImportPerBlock = 20 * time.Millisecond
	// importOverhead is the fixed time of an import, in addition to the time for its
	// blocks.
	importOverhead = 3 * time.Millisecond
	// importSmoothingFaster is the weight of a new measurement in the moving average
	// of the import time per block, if the import was faster than estimated.
	importSmoothingFaster = 0.2
	// importSmoothingSlower is that weight if the import was slower than estimated.
	// It is smaller because a slow import may have waited for requests of other
	// VMs.
	importSmoothingSlower = 0.02
	// slowFactor is the multiple of the predicted time, plus slowFloor, above which
	// a first token counts as slow. The prediction uses Dispatcher.overallSpeed and
	// not the speed of the endpoint itself.
	slowFactor = 4
	// slowFloor is added to slowFactor times the predicted time, so that short
	// predictions leave room for other delays.
	slowFloor = 500 * time.Millisecond
	// refusalPause is how long this VM sends no requests to an endpoint after the
	// endpoint refused one because it was full.
	refusalPause = 100 * time.Millisecond
)

// attempt is one try to run a request at one endpoint. It exists from the selection
// of the endpoint until the try ends.
type attempt struct {
	// request is the request that runs in this attempt.
	request *Request
	// pool is the pool that the request waited in.
	pool *pool
	// endpoint is the endpoint that was selected.
	endpoint *endpoint
	// option is the version that the request runs on, with its cache salt and prompt
	// chain.
	option Option
	// started is when the endpoint was selected.
	started time.Duration
	// chargedWork is the expected work, in prompt tokens, that the customer was
	// charged in the pool's queue.
	chargedWork float64
	// cachedBlocks is the number of leading prompt blocks that were expected in the
	// endpoint's cache.
	cachedBlocks int
	// importedBlocks is the number of prompt blocks after the cached ones that the
	// endpoint was asked to import.
	importedBlocks int
	// sharedBlocks is the number of leading prompt blocks that at least one endpoint
	// was expected to have cached when the attempt started.
	sharedBlocks int
	// prefillTokens is the number of prompt tokens that the endpoint was expected to
	// compute up to the attempt's first token, including those of requests queued
	// before it.
	prefillTokens float64
	// ownPrefillTokens is the part of prefillTokens that belongs to this request's
	// prompt.
	ownPrefillTokens int
	// predictedFirstToken is the expected time from the start to the first token.
	predictedFirstToken time.Duration
	// prefilled is true once the first token has arrived.
	prefilled bool
}

// remainingTokens estimates the number of prompt tokens that the endpoint still has
// to compute for the attempt. It assumes an even prefill speed, and that at least a
// tenth is left until the first token arrives.
func (a *attempt) remainingTokens(now time.Duration) int {
	if a.prefilled {
		return 0
	}
	left := 1.0
	if a.predictedFirstToken > 0 {
		left = 1 - float64(now-a.started)/float64(a.predictedFirstToken)
	}
	return int(float64(a.ownPrefillTokens) * max(left, 0.1))
}

// remainingTime estimates the time until the prefill ends. It is at least a tenth of
// the predicted time to the first token.
func (a *attempt) remainingTime(now time.Duration) time.Duration {
	return max(a.started+a.predictedFirstToken-now, a.predictedFirstToken/10)
}

// observeFirstToken records that an attempt's first token arrived after the given
// time. It updates the endpoint's cached blocks, health, prefill speed and import
// time. Repeated calls for an attempt have no effect.
func (d *Dispatcher[P]) observeFirstToken(now time.Duration, a *attempt, took time.Duration) {
	if a.prefilled {
		return
	}
	a.prefilled = true
	e := a.endpoint
	e.recordLoad(now)
	if a.request.Model == "" {
		return
	}
	// The engine has just stored the prompt's blocks.
	e.cache.Predict(now, a.option.Chain)
	e.cache.Confirm(now, e.cache.Incarnation(), a.option.Chain)
	d.copyToStore(now, a)
	event := sychealth.Success
	if took > slowFactor*d.overallSpeed.Estimate().FirstToken(a.prefillTokens)+slowFloor {
		event = sychealth.Slow
	}
	if !d.onMinorityVersion(a) {
		e.health.Observe(now, event)
	}
	if a.importedBlocks > 0 {
		e.measureImport(a, took)
		return
	}
	e.speed.Observe(a.prefillTokens, took-e.roundTrip)
	d.overallSpeed.Observe(a.prefillTokens, took-e.roundTrip)
}

// measureImport updates the endpoint's import time per block from an attempt that
// imported blocks and whose first token arrived after the given time.
func (e *endpoint) measureImport(a *attempt, took time.Duration) {
	rest := took - e.roundTrip - importOverhead - e.speed.Estimate().FirstToken(a.prefillTokens)
	seen := rest / time.Duration(a.importedBlocks)
	seen = min(max(seen, minImportPerBlock), maxImportPerBlock)
	smoothing := importSmoothingFaster
	if seen > e.importPerBlock {
		smoothing = importSmoothingSlower
	}
	e.importPerBlock += time.Duration(smoothing * float64(seen-e.importPerBlock))
}

// observeResult compares the predictions for a successful attempt with its result.
// It updates the endpoint's cached blocks and averages, and corrects the customer's
// charge to the actual work.
func (d *Dispatcher[P]) observeResult(now time.Duration, a *attempt, r sycwork.Result) {
	e := a.endpoint
	e.requestDuration += time.Duration(averageSmoothing * float64(now-a.started-e.requestDuration))
	if r.PromptTokens == 0 {
		a.pool.finishedWork += a.chargedWork
		return
	}
	cached := min(r.CachedTokens/sycblock.TokensPerBlock, len(a.option.Chain))
	e.cache.Confirm(now, r.Incarnation, a.option.Chain[:cached])
	found := float64(min(cached, a.cachedBlocks))
	switch {
	case a.importedBlocks > 0 && cached < a.cachedBlocks+a.importedBlocks/2:
		e.importPerBlock = min(2*e.importPerBlock, maxImportPerBlock)
	case a.cachedBlocks > 0 && a.importedBlocks == 0:
		e.predictionHitRate += hitRateSmoothing * (found/float64(a.cachedBlocks) - e.predictionHitRate)
	}
	actual := float64(r.PromptTokens-r.CachedTokens) + outputTokenWork*float64(r.OutputTokens)
	a.pool.queue.Correct(a.request.Customer, actual-a.chargedWork)
	a.pool.finishedWork += actual
	d.outputLengths.observe(a.request.Customer, r.OutputTokens)
}

// onMinorityVersion reports whether an attempt runs on a version that doesn't have
// the largest traffic share of its model. Such an attempt's end is evidence about
// the version, so it doesn't count for the endpoint's health.
func (d *Dispatcher[P]) onMinorityVersion(a *attempt) bool {
	if a.request.Model == "" || a.request.Pinned {
		return false
	}
	versions := d.activeVersions(a.request.Model)
	return len(versions) > 0 && largestShare(versions).Version != a.option.Version.Version
}

// updateHealth applies the outcome of an attempt to the health of its endpoint.
func (d *Dispatcher[P]) updateHealth(now time.Duration, a *attempt, r sycwork.Result) {
	e := a.endpoint
	switch {
	case r.Unreachable:
		e.markUnreachable(now)
	case r.Outcome == sycwork.Refused:
		e.pausedUntil = now + refusalPause
	case d.onMinorityVersion(a):
	case r.Outcome == sycwork.Failed:
		e.health.Observe(now, sychealth.Failure)
	case r.Outcome == sycwork.Succeeded && a.request.Model == "":
		e.health.Observe(now, sychealth.Success)
	}
}

// markUnreachable records that no connection to the endpoint could be made. The
// endpoint gets no requests until it has recovered, and its cached blocks are
// forgotten.
func (e *endpoint) markUnreachable(now time.Duration) {
	e.health.Observe(now, sychealth.Unreachable)
	e.cache.MarkUnreachable()
}
