package sycplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

const (
	// loadLife is how long a load told by another VM counts.
	loadLife = time.Second
	// paceStep is the weight of a new observation of an endpoint's pace.
	paceStep = 0.15
	// slowest bounds the pace that is learned.
	slowest = 8.0
	// usedCache is the part of an engine's memory that cached parts get; running
	// requests take the rest.
	usedCache = 1.1
)

// Endpoint is what the registry says of an endpoint.
type Endpoint struct {
	// ID names one endpoint; one that starts again may have the same.
	ID      string
	Service string
	// Address is an IP address and port.
	Address string
	// FailureDomain is where the endpoint runs.
	FailureDomain string
	// Release is the version of the endpoint's software.
	Release string
	// Slots is how many requests run at the same time.
	Slots   int
	Leaving bool
	// Incarnation tells the starts of an endpoint apart.
	Incarnation int64
	// Weights holds the version of each loaded model.
	Weights map[string]int64
}

// Load is what a VM has under way at an endpoint.
type Load struct {
	Endpoint string
	Requests int
	// NonResumable is how many of the requests can't go on at another endpoint.
	NonResumable int
	// Tokens is the number of prompt tokens still to be read.
	Tokens int
}

// SentPrompt tells of a prompt that a VM has sent to an endpoint.
type SentPrompt struct {
	Endpoint string
	Blocks   []Block
}

// Block is a part of a prompt. Hash covers who may share it; a part counts only after
// those before it.
type Block struct {
	Hash   uint64
	Tokens int
}

// peerLoad is the load of another VM at an endpoint.
type peerLoad struct {
	Load
	at time.Duration
}

// endpoint is what a placer knows of an endpoint.
type endpoint struct {
	record Endpoint
	hash   uint64
	health *sychealth.Health
	cache  *cache
	// attempts are this VM's that have not ended.
	attempts map[uint64]*attempt
	peers    map[string]peerLoad
	// pace is the time that answers take against what is expected; at least 1.
	pace float64
	// heard is when an answer last began to come.
	heard time.Duration
	// held is how much of the prompt at hand the engine keeps, while it is placed.
	held int
	// sent counts this VM's requests.
	sent int
	// fullUntil is the end of a pause after the endpoint was full.
	fullUntil time.Duration
}

func newEndpoint(e Endpoint, seed uint64, cacheTokens int) *endpoint {
	hash := xxhash.Sum64String(e.ID)
	return &endpoint{
		record:   e,
		hash:     hash,
		health:   sychealth.New(seed ^ hash),
		cache:    newCache(int(usedCache * float64(cacheTokens))),
		attempts: map[uint64]*attempt{},
		peers:    map[string]peerLoad{},
		pace:     1,
	}
}

// load is what all VMs have under way.
func (e *endpoint) load(now time.Duration) Load {
	l := e.own()
	for vm, p := range e.peers {
		if now-p.at > loadLife {
			delete(e.peers, vm)
			continue
		}
		l.Requests += p.Requests
		l.NonResumable += p.NonResumable
		l.Tokens += p.Tokens
	}
	return l
}

// own is what this VM has under way.
func (e *endpoint) own() Load {
	l := Load{Endpoint: e.record.ID}
	for _, a := range e.attempts {
		l.Requests++
		if !a.request.Resumable {
			l.NonResumable++
		}
		if !a.answered {
			l.Tokens += a.missing
		}
	}
	return l
}

// usable reports whether the endpoint's health allows new work.
func (e *endpoint) usable(now time.Duration) bool {
	if e.record.Leaving {
		return false
	}
	return e.health.Admits(now, len(e.attempts))
}

// learn takes in how long an answer took against what was expected.
func (e *endpoint) learn(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	seen := min(max(float64(took)/float64(expected), 1), slowest)
	e.pace += paceStep * (seen - e.pace)
}
