package sycdispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// DefaultConcurrent is the number of requests that an endpoint may run at a time
	// if its record sets no max_concurrent.
	DefaultConcurrent = 16
	// maxReportAge is the age from which on a load report is ignored in load
	// estimates.
	maxReportAge = 3 * time.Second
	// hitRateSmoothing is the weight of a new observation in the moving average of
	// an endpoint's prediction hit rate.
	hitRateSmoothing = 0.1
	// initialHitRate is the assumed prediction hit rate of an endpoint before any
	// observation.
	initialHitRate = 0.7
	// averageSmoothing is the weight of a new observation in the moving averages of
	// request duration and output length.
	averageSmoothing = 0.1
	// initialRequestDuration is the assumed request duration at an endpoint that has
	// finished no request.
	initialRequestDuration = time.Second
	// cacheFullFraction is the fraction of an engine's cache blocks in use above
	// which the cache counts as full.
	cacheFullFraction = 0.9
	// suspectPenalty is added to the predicted time to the first token at an
	// endpoint that is suspect or out.
	suspectPenalty = 200 * time.Millisecond
	// probePreference is subtracted from the predicted time to the first token at an
	// endpoint whose health is probing, so that it soon gets the request that tests
	// it.
	probePreference = 200 * time.Millisecond
)

// Report is an engine's load report.
type Report struct {
	// Incarnation identifies the engine's process. It changes with each restart.
	Incarnation string
	// Running is the number of requests that the engine runs.
	Running int
	// Waiting is the number of requests that wait at the engine.
	Waiting int
	// PrefillTokens is the number of prompt tokens that the engine still has to
	// compute.
	PrefillTokens int
	// CacheBlocks is the size of the engine's cache in blocks.
	CacheBlocks int
	// UsedBlocks is the number of blocks of the engine's cache that are in use.
	UsedBlocks int
	// Ready lists the weights that are loaded, one entry for the weights alone and
	// one for each adapter loaded with them.
	Ready []Loaded
	// Role is the engine's role, one of the Role constants of sycrecord. It is empty
	// if the engine reports none.
	Role string
}

// Loaded names weights that an engine is ready to serve, alone or with an adapter.
type Loaded struct {
	// Model is the model that the weights belong to.
	Model string
	// Weights names the weights.
	Weights string
	// Adapter names the adapter loaded with the weights. It is empty for the weights
	// alone.
	Adapter string
}

// endpoint is the state that a Dispatcher holds for one endpoint.
type endpoint struct {
	// record is the endpoint's record in the configuration.
	record sycrecord.Endpoint
	// hash is the hash of the endpoint's name, equal on all VMs.
	hash uint64
	// health decides from the results of attempts and polls whether the endpoint
	// gets requests.
	health *sychealth.Health
	// cache holds the blocks that the endpoint is believed to have cached.
	cache *sycprefix.Cache
	// speed is the endpoint's measured prefill speed.
	speed *sycroute.Speed
	// attempts are this VM's attempts at the endpoint that have not ended, oldest
	// first.
	attempts []*attempt
	// peerLoad is the load on the endpoint by other VMs, the sum of their last
	// digests.
	peerLoad load
	// peerPrefills holds the running prefills of other VMs by the hash of a block
	// that they compute.
	peerPrefills map[uint64]peerPrefill
	// knownLoad is the history of the load by this VM plus peerLoad.
	knownLoad history[load]
	// unexplainedLoad is the part of the last reported load that exceeds the known
	// load at the report's time.
	unexplainedLoad load
	// hasReport is true once a load report was received.
	hasReport bool
	// report is the last load report.
	report Report
	// reportedAt is the time of the load that report shows.
	reportedAt time.Duration
	// roundTrip estimates the shortest round-trip time of recent polls.
	roundTrip time.Duration
	// predictionHitRate is the fraction, 0 to 1, of the blocks expected to be
	// cached that the engine reported as found in its cache. It is a moving average
	// over successful attempts that imported no blocks.
	predictionHitRate float64
	// requestDuration is the moving average of the time from the start to the end
	// of a successful attempt.
	requestDuration time.Duration
	// importPerBlock is the estimated time to import one block.
	importPerBlock time.Duration
	// pausedUntil is when the endpoint may get requests again after it refused one
	// because it was full.
	pausedUntil time.Duration
}

// newEndpoint returns an endpoint without load, whose prefill speed starts at the
// given estimate.
func newEndpoint(record sycrecord.Endpoint, seed uint64, speed sycroute.Estimate) *endpoint {
	hash := xxhash.Sum64String(record.Name())
	return &endpoint{
		record:            record,
		hash:              hash,
		health:            sychealth.New(seed ^ hash),
		cache:             sycprefix.NewCache(sycprefix.TTL{}),
		speed:             sycroute.NewSpeedWithPrior(speed),
		peerPrefills:      map[uint64]peerPrefill{},
		predictionHitRate: initialHitRate,
		requestDuration:   initialRequestDuration,
		importPerBlock:    initialImportPerBlock,
	}
}

// concurrency returns the number of requests that the endpoint may run at a time.
func (e *endpoint) concurrency() int {
	if n := e.record.MaxConcurrent(); n > 0 {
		return n
	}
	return DefaultConcurrent
}

// serves reports whether the endpoint may run the version v of the model now. A VM
// that has just started has no load reports yet. It then relies on the models in the
// endpoint's record for initial versions, which need no rollout.
func (e *endpoint) serves(model string, v sycwork.VersionShare, initial bool) bool {
	if e.record.Type() != sycrecord.EndpointEngine {
		return false
	}
	if !servingRole(e.record.Role()) || !servingRole(e.report.Role) {
		return false
	}
	if !e.hasReport {
		return initial && slices.Contains(e.record.Models(), model)
	}
	return slices.Contains(e.report.Ready, Loaded{Model: model, Weights: v.Weights, Adapter: v.Adapter})
}

// servingRole reports whether engines with this role run whole requests.
func servingRole(role string) bool { return role == "" || role == sycrecord.RoleBoth }

// offersService reports whether the endpoint serves the named plain service.
func (e *endpoint) offersService(service string) bool {
	return e.record.Type() == sycrecord.EndpointService && e.record.Service() == service
}

// usable reports whether the endpoint's record and health allow new requests.
func (e *endpoint) usable(now time.Duration) bool {
	if e.record.Leaving() {
		return false
	}
	return e.health.Admits(now, len(e.attempts))
}

// cacheFull reports whether the engine must evict cached blocks to store new ones.
func (e *endpoint) cacheFull() bool {
	return e.hasReport && float64(e.report.UsedBlocks) > cacheFullFraction*float64(e.report.CacheBlocks)
}

// penalty returns the time that is added to predictions for the endpoint because of
// its health.
func (e *endpoint) penalty() time.Duration {
	switch e.health.State() {
	case sychealth.Healthy:
		return 0
	case sychealth.Probing:
		return -probePreference
	default:
		return suspectPenalty
	}
}

// ownLoad returns the load on the endpoint by this VM.
func (e *endpoint) ownLoad(now time.Duration) load {
	l := load{requests: len(e.attempts)}
	for _, a := range e.attempts {
		l.prefillTokens += a.remainingTokens(now)
	}
	return l
}

// totalLoad estimates the load on the endpoint by all VMs.
func (e *endpoint) totalLoad(now time.Duration) load {
	l := e.ownLoad(now).plus(e.peerLoad)
	if now-e.reportedAt < maxReportAge {
		l = l.plus(e.unexplainedLoad)
	}
	return l
}

// recordLoad adds the current known load to its history. It must be called after
// each change of the known load.
func (e *endpoint) recordLoad(now time.Duration) {
	e.knownLoad.record(now, e.ownLoad(now).plus(e.peerLoad))
}

// applyReport stores a load report that shows the endpoint at the given time, and
// compares it with the load known for that time.
func (e *endpoint) applyReport(at time.Duration, r Report) {
	e.hasReport = true
	e.report = r
	e.reportedAt = at
	seen := load{requests: r.Running + r.Waiting, prefillTokens: r.PrefillTokens}
	e.unexplainedLoad = seen.excessOver(e.knownLoad.at(at))
	e.cache.SetLimit(r.CacheBlocks)
	e.cache.ObserveIncarnation(r.Incarnation)
}

// release removes an attempt that has ended.
func (e *endpoint) release(now time.Duration, a *attempt) {
	e.attempts = slices.DeleteFunc(e.attempts, func(b *attempt) bool { return a == b })
	e.recordLoad(now)
}
