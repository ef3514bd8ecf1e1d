package sycpeer

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxGates is the number of peers above which long failed ones are forgotten.
	maxGates = 1024
	// forgetAfter is how long a failed peer is remembered then.
	forgetAfter = time.Minute
)

// gates bounds the calls to each peer and holds them back after failures.
type gates struct {
	limits Limits
	mu     sync.Mutex
	peers  map[string]*gate
}

// gate is the state of one peer; the mutex of its gates guards it.
type gate struct {
	owner   *gates
	address string
	// calls is the number of calls in progress, at most CallsPerPeer.
	calls int
	// failures counts the failures since the last success.
	failures int
	// retryAt is when the peer may be tried again.
	retryAt time.Time
}

func newGates(l Limits) *gates {
	return &gates{limits: l, peers: map[string]*gate{}}
}

// enter admits a call; leave must follow.
func (g *gates) enter(address string, now time.Time) (*gate, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[address]
	if !ok {
		g.forget(now)
		p = &gate{owner: g, address: address}
		g.peers[address] = p
	}
	if wait := p.retryAt.Sub(now); p.failures > 0 && wait > 0 {
		return nil, &BackoffError{Address: address, Wait: wait}
	}
	if p.calls >= g.limits.CallsPerPeer {
		return nil, &BusyError{Address: address}
	}
	p.calls++
	return p, nil
}

// forget drops peers that failed long ago, once there are many.
func (g *gates) forget(now time.Time) {
	if len(g.peers) < maxGates {
		return
	}
	for address, p := range g.peers {
		if p.calls == 0 && now.Sub(p.retryAt) > forgetAfter {
			delete(g.peers, address)
		}
	}
}

// leave records the end of a call. A peer without calls and failures needs no
// state.
func (p *gate) leave(reachable bool, now time.Time) {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.calls--
	if !reachable {
		p.failures++
		p.retryAt = now.Add(p.owner.backoff(p.failures))
		return
	}
	p.failures = 0
	if p.calls == 0 {
		delete(p.owner.peers, p.address)
	}
}

// backoff is a random wait of up to the doubled minimum, with full jitter.
func (g *gates) backoff(failures int) time.Duration {
	most := g.limits.MinBackoff << min(failures, 16)
	most = min(most, g.limits.MaxBackoff)
	return rand.N(most) + 1
}
