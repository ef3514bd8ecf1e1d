// Package sycplace selects the endpoint of each request on one VM. The selection
// uses the registry's records, the load from this VM and its peers, the prompt
// blocks that engines are believed to have cached, and the outcomes of attempts.
//
// The registry is the replicated topic with a record for each endpoint. A failure
// domain is a set of VMs and endpoints that can fail together. An engine is an
// endpoint that runs models. Its weights are outdated once newer weights of the
// model were announced. A plain service is one whose endpoints aren't engines. An
// attempt is one try of a request at one endpoint. A cordon keeps requests off an
// endpoint for a time, for example while an engine loads newer weights. Rendezvous
// hashing ranks the engines for a prompt in the same way on all VMs.
//
// A Selector is a pure state machine: the caller passes it the time and every event.
package sycplace

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/syccapacity"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

// maxAnnouncements limits the announcements that are kept for each model.
const maxAnnouncements = 8

// Settings describes the deployment's engines and this VM.
type Settings struct {
	// Address identifies this VM among the VMs of the fleet.
	Address string
	// FailureDomain is the failure domain in which this VM runs.
	FailureDomain string
	// Seed makes the random parts of this VM's decisions differ from other VMs'.
	Seed uint64
	// Policy is one of the Policy constants; empty stands for PolicyExpected.
	Policy string
	// TokensPerSecond is how many prompt tokens an engine computes in a second, and FirstToken the time to
	// the first token of an empty prompt on an idle engine. Both are assumed until they are learned.
	TokensPerSecond float64
	FirstToken      time.Duration
	// WeightsWithin is how long after newer weights were announced requests may
	// begin on older ones; 0 sets no bound. The time counts from when this VM has learned
	// of them if that was later.
	WeightsWithin time.Duration
	// ColdSlack is how many requests a cold endpoint tolerates in a second beyond its service's rate.
	ColdSlack float64
	// CrossDomainPrice is what a MB that crosses between failure domains must save in time to the first byte. 0
	// adds a constant to the score of other domains' endpoints instead.
	CrossDomainPrice time.Duration
}

// Selector selects endpoints for the requests of one VM.
type Selector struct {
	settings Settings
	// hash is the hash of this VM's address.
	hash uint64
	// endpoints holds the endpoints by ID.
	endpoints map[string]*endpoint
	// order lists the endpoints by ID, so that decisions don't depend on map order.
	order []*endpoint
	// attempts holds the attempts that have not ended, by Request.ID.
	attempts map[uint64]*attempt
	// cacheTokens is the configured cache size of each service's engines, in tokens.
	cacheTokens map[string]int
	// cordons holds the end of each endpoint's cordon, by endpoint ID.
	cordons map[string]time.Duration
	// announced holds the newest announcements of each model's weights, oldest first.
	announced map[string][]announcement
	// sentPrompts are the prompts sent since the last call of TakeSentPrompts.
	sentPrompts []SentPrompt
	// split assigns requests to releases during rollouts.
	split splitter
	// notices holds what endpoints have said about themselves in answers.
	notices notices
	// vms holds the VMs that may share endpoints' limits.
	vms []sycthrottle.VM
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// coldLimits holds how the endpoints of services are treated after their start, by service.
	coldLimits map[string]ColdLimit
	// coldChanges holds the endpoints that have become cold since the last call of TakeColdChanges.
	coldChanges []ColdChange
	// punctuality tells whether requests compete for room, by service.
	punctuality map[string]*syccapacity.Punctuality
	// models holds what is known of the engines of each service, by service.
	models map[string]*syccapacity.Model
	// latest holds the endpoint that has started last at each address, none that is misplaced.
	latest map[string]*endpoint
	// successions holds the successions since the last call of TakeSuccessions.
	successions []Succession
	// faults holds the faults that this VM's attempts have found since the last call of TakeFaults.
	faults []Fault
	// returns holds, by service, when the next caller is asked back that endpoints' limits refuse.
	returns map[string]time.Duration
	// spill decides which requests leave the failure domain.
	spill spill
	// generation counts the changes after which an earlier selection may no longer hold.
	generation atomic.Uint64
}

// announcement is a version of a model's weights, when it was announced and when this VM has
// learned of it.
type announcement struct {
	version       int64
	at, learnedAt time.Duration
}

// New returns a selector without endpoints.
func New(settings Settings) *Selector {
	return &Selector{
		settings:    settings,
		hash:        xxhash.Sum64String(settings.Address),
		endpoints:   map[string]*endpoint{},
		attempts:    map[uint64]*attempt{},
		cacheTokens: map[string]int{},
		cordons:     map[string]time.Duration{},
		announced:   map[string][]announcement{},
		notices:     notices{byID: map[string]*noticed{}, throttled: map[string]*noticed{}},
		evacuated:   map[string]bool{},
		models:      map[string]*syccapacity.Model{},
		punctuality: map[string]*syccapacity.Punctuality{},
		latest:      map[string]*endpoint{},
		coldLimits:  map[string]ColdLimit{},
		returns:     map[string]time.Duration{},
		spill:       newSpill(settings),
	}
}

// SetCacheTokens sets the cache size of each engine of a service, in tokens.
func (s *Selector) SetCacheTokens(service string, tokens int) {
	if s.cacheTokens[service] == tokens {
		return
	}
	s.cacheTokens[service] = tokens
	for _, e := range s.order {
		if e.record.Service == service {
			e.cache.limit = int(cacheFactor * float64(tokens))
		}
	}
}

// AnnounceWeights records a new version of a model's weights and when it was
// announced. A version that is not newer than the last one is ignored.
func (s *Selector) AnnounceWeights(now, at time.Duration, model string, version int64) {
	list := s.announced[model]
	if len(list) > 0 && list[len(list)-1].version >= version {
		return
	}
	list = append(list, announcement{version: version, at: at, learnedAt: now})
	s.announced[model] = list[max(len(list)-maxAnnouncements, 0):]
	s.generation.Add(1)
}

// Put adds or updates an endpoint by its registry record. An endpoint with a new
// incarnation or address starts with an empty cache and healthy. New weights empty
// the cache. An endpoint whose incarnation has said that it leaves stays leaving. Put returns
// the record that counts.
func (s *Selector) Put(record Endpoint) Endpoint {
	record = s.withNotices(record)
	e := s.endpoints[record.ID]
	if e != nil && withdraws(e.record, record) {
		s.generation.Add(1)
	}
	if e == nil || e.record.Incarnation != record.Incarnation || e.record.Address != record.Address {
		fresh := newEndpoint(record, s.settings.Seed, s.cacheTokens[record.Service])
		if e != nil {
			fresh.attempts, fresh.ownLoad = e.attempts, e.ownLoad
			for _, a := range fresh.attempts {
				a.endpoint = fresh
			}
		}
		s.endpoints[record.ID] = fresh
		s.reorder()
		return record
	}
	record.Weights = newestWeights(e.record.Weights, record.Weights)
	if !maps.Equal(e.record.Weights, record.Weights) {
		e.cache.clear()
	}
	e.record = record
	return record
}

// newestWeights returns the newer version of each model's weights in an update.
// Versions never decrease while an endpoint runs, but a registry record may be older
// than what the endpoint has reported itself.
func newestWeights(old, update map[string]int64) map[string]int64 {
	out := maps.Clone(update)
	for model, version := range old {
		if _, present := out[model]; present {
			out[model] = max(out[model], version)
		}
	}
	return out
}

// UpdateWeights applies the versions of weights that an endpoint reported itself. It
// ignores reports of another incarnation.
func (s *Selector) UpdateWeights(id string, incarnation int64, weights map[string]int64) {
	e := s.endpoints[id]
	if e == nil || e.record.Incarnation != incarnation || len(weights) == 0 {
		return
	}
	record := e.record
	record.Weights = maps.Clone(e.record.Weights)
	for model, version := range weights {
		record.Weights[model] = version
	}
	s.Put(record)
}

// Drop removes an endpoint.
func (s *Selector) Drop(id string) {
	delete(s.endpoints, id)
	delete(s.cordons, id)
	s.generation.Add(1)
	s.reorder()
}

// reorder updates the ordered list of endpoints.
func (s *Selector) reorder() {
	s.order = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *endpoint) int {
		return cmp.Compare(a.record.ID, b.record.ID)
	})
	s.indexAddresses()
}

// Endpoint returns the record of an endpoint. It returns false if there is none.
func (s *Selector) Endpoint(id string) (Endpoint, bool) {
	e, ok := s.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.record, true
}

// Endpoints returns the records of all endpoints, ordered by ID.
func (s *Selector) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(s.order))
	for _, e := range s.order {
		out = append(out, e.record)
	}
	return out
}

// Cordon keeps requests off an endpoint until the given time, while other endpoints
// can take them. It reports whether the endpoint had no cordon before.
func (s *Selector) Cordon(id string, now, until time.Duration) bool {
	begins := until > now && s.cordons[id] <= now
	s.cordons[id] = until
	if begins {
		s.generation.Add(1)
	}
	return begins
}

// Runs reports whether an endpoint can take orders, as far as this VM knows: it doesn't leave, its connections
// don't fail, and no later endpoint has its address.
func (s *Selector) Runs(id string) bool {
	e := s.endpoints[id]
	return e != nil && !e.record.Leaving && e.health.State() != sychealth.Out && !s.hasSuccessor(e)
}

// Expired reports whether an engine's weights were replaced so long ago that no request may begin there.
func (s *Selector) Expired(now time.Duration, id string) bool {
	e := s.endpoints[id]
	return e != nil && s.expired(now, e)
}

// expired is Expired for an endpoint.
func (s *Selector) expired(now time.Duration, e *endpoint) bool {
	for model := range e.record.Weights {
		if s.isExpired(now, model, e) {
			return true
		}
	}
	return false
}

// Load returns an endpoint's load from all VMs.
func (s *Selector) Load(id string) Load {
	if e := s.endpoints[id]; e != nil {
		return e.load()
	}
	return Load{}
}

// ReleaseEndpoints returns how many endpoints of a service run the given release and
// aren't leaving.
func (s *Selector) ReleaseEndpoints(service, release string) int {
	n := 0
	for _, e := range s.order {
		if e.record.Service == service && e.record.Release == release && !e.record.Leaving {
			n++
		}
	}
	return n
}

// OwnLoads returns this VM's load at each endpoint where it has requests in flight. Requests that HoldRequests holds count as
// not resumable. The caller reports it to the other VMs.
func (s *Selector) OwnLoads() []Load {
	var out []Load
	for _, e := range s.order {
		if len(e.attempts) > 0 {
			out = append(out, e.told())
		}
	}
	return out
}

// TakeSentPrompts returns the prompts that this VM has sent since the last call. The
// caller reports them to the other VMs.
func (s *Selector) TakeSentPrompts() []SentPrompt {
	out := s.sentPrompts
	s.sentPrompts = nil
	return out
}

// SetPeerLoad sets the load of another VM, or of a group of VMs, at one endpoint. It counts
// until it is set anew or the peer is dropped.
func (s *Selector) SetPeerLoad(peer string, l Load) {
	if e := s.endpoints[l.Endpoint]; e != nil {
		e.setPeerLoad(peer, l)
	}
}

// DropPeer removes another VM's loads, for example because it isn't heard any more.
func (s *Selector) DropPeer(peer string) {
	for _, e := range s.order {
		e.setPeerLoad(peer, Load{})
	}
}

// AddSent records a prompt that another VM has sent to an engine.
func (s *Selector) AddSent(now time.Duration, prompt SentPrompt) {
	if e := s.endpoints[prompt.Endpoint]; e != nil {
		e.cache.addSent(now, prompt.Blocks)
	}
}

// State returns the state of an endpoint's health, for logs and metrics. It returns
// "unknown" if there is no such endpoint.
func (s *Selector) State(id string) string {
	if e := s.endpoints[id]; e != nil {
		return string(e.health.State())
	}
	return "unknown"
}
