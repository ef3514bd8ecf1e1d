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
	// DefaultConcurrent is the concurrency of endpoints whose record states none.
	DefaultConcurrent = 16
	// reportLife is how long a load report counts.
	reportLife = 3 * time.Second
	// trustStep is the weight of a new observation of how much of a prediction
	// was found in the cache.
	trustStep = 0.1
	// firstTrust is the trust in an endpoint's predictions before any observation.
	firstTrust = 0.7
	// stayStep is the weight of a new observation of how long requests stay.
	stayStep = 0.1
	// firstStay is assumed of an endpoint that has finished no request.
	firstStay = time.Second
	// crowdedPart is the part of a cache from which on it counts as full.
	crowdedPart = 0.9
	// suspectPenalty is the disadvantage of an endpoint in doubtful health.
	suspectPenalty = 200 * time.Millisecond
	// probePreference is the advantage of an endpoint that waits for its probe.
	probePreference = 200 * time.Millisecond
)

// Report is what an engine said of its load.
type Report struct {
	Incarnation   string
	Running       int
	Waiting       int
	PrefillTokens int
	// CacheBlocks is the size of the cache, UsedBlocks the part in use.
	CacheBlocks int
	UsedBlocks  int
	// Ready lists the loaded weights by model, alone and with each adapter on them.
	Ready []Loaded
	// Role is one of the roles of sycrecord, empty if the engine names none.
	Role string
}

// Loaded names weights that an engine is ready to serve, with an adapter or alone.
type Loaded struct {
	Model   string
	Weights string
	Adapter string
}

// endpoint is what a dispatcher knows of an endpoint.
type endpoint struct {
	record sycrecord.Endpoint
	hash   uint64
	health *sychealth.Health
	cache  *sycprefix.Cache
	speed  *sycroute.Speed
	// attempts are this VM's that have not ended, oldest first.
	attempts []*attempt
	// peers is the load that other VMs told of.
	peers load
	// coming holds blocks that other VMs' requests are computing.
	coming map[uint64]coming
	// known is the load of this VM and its peers over time.
	known history[load]
	// unknown is the part of the last report that known did not explain.
	unknown load
	// reported is false until the first load report.
	reported   bool
	report     Report
	reportedAt time.Duration
	// network is the shortest round trip seen lately.
	network time.Duration
	// trust is the part of predicted blocks that engines have found, 0 to 1.
	trust float64
	// stay is how long a request stays.
	stay time.Duration
	// importPerBlock is the measured time to import a block.
	importPerBlock time.Duration
	// pausedUntil is the end of a pause that a refusal for want of room asked for.
	pausedUntil time.Duration
}

func newEndpoint(record sycrecord.Endpoint, seed uint64, speed sycroute.Estimate) *endpoint {
	hash := xxhash.Sum64String(record.Name())
	return &endpoint{
		record:         record,
		hash:           hash,
		health:         sychealth.New(seed ^ hash),
		cache:          sycprefix.NewCache(sycprefix.Life{}),
		speed:          sycroute.NewSpeedLike(speed),
		coming:         map[uint64]coming{},
		trust:          firstTrust,
		stay:           firstStay,
		importPerBlock: firstImportPerBlock,
	}
}

func (e *endpoint) slots() int {
	if n := e.record.MaxConcurrent(); n > 0 {
		return n
	}
	return DefaultConcurrent
}

// serves reports whether the endpoint may run the version now. A restarted VM
// has no reports yet and trusts the record for versions that need no rollout.
func (e *endpoint) serves(model string, v sycwork.VersionShare, initial bool) bool {
	if e.record.Type() != sycrecord.EndpointEngine {
		return false
	}
	if !servingRole(e.record.Role()) || !servingRole(e.report.Role) {
		return false
	}
	if !e.reported {
		return initial && slices.Contains(e.record.Models(), model)
	}
	return slices.Contains(e.report.Ready, Loaded{Model: model, Weights: v.Weights, Adapter: v.Adapter})
}

// servingRole reports whether engines of a role run requests.
func servingRole(role string) bool { return role == "" || role == sycrecord.RoleBoth }

func (e *endpoint) offers(service string) bool {
	return e.record.Type() == sycrecord.EndpointService && e.record.Service() == service
}

// usable reports whether the endpoint's state and health allow new work.
func (e *endpoint) usable(now time.Duration) bool {
	if e.record.Leaving() {
		return false
	}
	return e.health.Admits(now, len(e.attempts))
}

// crowded reports whether new blocks displace others in the engine's cache.
func (e *endpoint) crowded() bool {
	return e.reported && float64(e.report.UsedBlocks) > crowdedPart*float64(e.report.CacheBlocks)
}

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

// own is the load that this VM has put on the endpoint.
func (e *endpoint) own(now time.Duration) load {
	l := load{requests: len(e.attempts)}
	for _, a := range e.attempts {
		l.prefill += a.remaining(now)
	}
	return l
}

// load estimates the endpoint's load by all VMs.
func (e *endpoint) load(now time.Duration) load {
	l := e.own(now).plus(e.peers)
	if now-e.reportedAt < reportLife {
		l = l.plus(e.unknown)
	}
	return l
}

// note records the known load after it has changed.
func (e *endpoint) note(now time.Duration) {
	e.known.add(now, e.own(now).plus(e.peers))
}

// take takes a report that shows the load at a time.
func (e *endpoint) take(at time.Duration, r Report) {
	e.reported = true
	e.report = r
	e.reportedAt = at
	seen := load{requests: r.Running + r.Waiting, prefill: r.PrefillTokens}
	e.unknown = seen.beyond(e.known.at(at))
	e.cache.Limit(r.CacheBlocks)
	e.cache.Meet(r.Incarnation)
}

// release removes an attempt that has ended.
func (e *endpoint) release(now time.Duration, a *attempt) {
	e.attempts = slices.DeleteFunc(e.attempts, func(b *attempt) bool { return a == b })
	e.note(now)
}
