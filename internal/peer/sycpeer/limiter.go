package sycpeer

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxPeerStates is the number of peer states at which the limiter drops the
	// states of peers that failed long ago.
	maxPeerStates = 1024
	// peerStateTTL is how long after the end of its backoff the state of a failed
	// peer is kept even then.
	peerStateTTL = time.Minute
)

// callLimiter limits the calls in progress to each peer, and rejects calls to a
// peer during its backoff after failures.
type callLimiter struct {
	limits Limits
	// mu guards peers and the states in it.
	mu sync.Mutex
	// peers has the state of each peer with calls in progress or failures, by address.
	peers map[string]*peerState
}

// peerState counts the calls and failures of one peer. The mutex of its limiter
// guards it.
type peerState struct {
	limiter *callLimiter
	// address is the peer's address, the key of the state in limiter.peers.
	address string
	// calls is the number of calls in progress, at most Limits.CallsPerPeer.
	calls int
	// failures counts the failures since the last success.
	failures int
	// retryAt is the end of the backoff, when the peer may be called again.
	retryAt time.Time
}

func newCallLimiter(limits Limits) *callLimiter {
	return &callLimiter{limits: limits, peers: map[string]*peerState{}}
}

// acquire admits a call to a peer, or fails with *BackoffError or *BusyError.
// The caller must release the returned state when the call ends.
func (l *callLimiter) acquire(address string, now time.Time) (*peerState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[address]
	if !ok {
		l.expire(now)
		p = &peerState{limiter: l, address: address}
		l.peers[address] = p
	}
	if wait := p.retryAt.Sub(now); p.failures > 0 && wait > 0 {
		return nil, &BackoffError{Address: address, Wait: wait}
	}
	if p.calls >= l.limits.CallsPerPeer {
		return nil, &BusyError{Address: address}
	}
	p.calls++
	return p, nil
}

// expire drops the states of idle peers whose backoff ended more than
// peerStateTTL ago, if there are at least maxPeerStates states.
func (l *callLimiter) expire(now time.Time) {
	if len(l.peers) < maxPeerStates {
		return
	}
	for address, p := range l.peers {
		if p.calls == 0 && now.Sub(p.retryAt) > peerStateTTL {
			delete(l.peers, address)
		}
	}
}

// release records the end of a call and whether the peer was reachable. If the
// peer has no other calls in progress and no failures, its state is dropped.
func (p *peerState) release(reachable bool, now time.Time) {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.calls--
	if !reachable {
		p.failures++
		p.retryAt = now.Add(p.limiter.backoff(p.failures))
		return
	}
	p.failures = 0
	if p.calls == 0 {
		delete(p.limiter.peers, p.address)
	}
}

// maxDoublings limits the doublings of MinBackoff, so that the shift can't
// overflow.
const maxDoublings = 16

// backoff returns the backoff after the given number of failures in a row. It's
// drawn uniformly (full jitter) up to a bound. The bound is MinBackoff doubled
// once for each failure, at most MaxBackoff.
func (l *callLimiter) backoff(failures int) time.Duration {
	bound := l.limits.MinBackoff << min(failures, maxDoublings)
	bound = min(bound, l.limits.MaxBackoff)
	return rand.N(bound) + 1
}
