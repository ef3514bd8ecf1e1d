package sycplace

// Load is the work of one VM, or of all VMs, that is in flight at an endpoint.
type Load struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Requests is the number of requests in flight.
	Requests int
	// NonResumable is how many of the requests can't be resumed at another endpoint.
	NonResumable int
	// Tokens is the number of uncached prompt tokens of requests without a first byte
	// of their answer: the engine still has to compute them.
	Tokens int
}

// add adds the numbers of another load, times a factor.
func (l *Load) add(other Load, factor int) {
	l.Requests += factor * other.Requests
	l.NonResumable += factor * other.NonResumable
	l.Tokens += factor * other.Tokens
}

// told returns the endpoint's load from this VM as it tells it to others.
func (e *endpoint) told() Load {
	l := e.ownLoad
	if e.held {
		l.NonResumable = l.Requests
	}
	return l
}

// load returns the endpoint's load from all VMs.
func (e *endpoint) load() Load {
	l := e.told()
	l.add(e.peerSum, 1)
	return l
}

// setPeerLoad replaces the load of a peer, which may be 0.
func (e *endpoint) setPeerLoad(peer string, l Load) {
	e.peerSum.add(e.peerLoads[peer], -1)
	delete(e.peerLoads, peer)
	if l.Requests <= 0 && l.Tokens <= 0 {
		return
	}
	e.peerSum.add(l, 1)
	e.peerLoads[peer] = l
}

// begin adds an attempt. An earlier one with its ID no longer counts.
func (e *endpoint) begin(a *attempt) {
	if earlier := e.attempts[a.request.ID]; earlier != nil {
		e.end(earlier)
	}
	e.attempts[a.request.ID] = a
	e.ownLoad.add(a.ownLoad(), 1)
}

// answer records that the first byte of an attempt's answer has arrived.
func (e *endpoint) answer(a *attempt) {
	e.ownLoad.add(a.ownLoad(), -1)
	a.answered = true
	e.ownLoad.add(a.ownLoad(), 1)
}

// markLast records that no other endpoint may get an attempt's request any more.
func (e *endpoint) markLast(a *attempt) {
	e.ownLoad.add(a.ownLoad(), -1)
	a.last = true
	e.ownLoad.add(a.ownLoad(), 1)
}

// end removes an attempt.
func (e *endpoint) end(a *attempt) {
	e.ownLoad.add(a.ownLoad(), -1)
	delete(e.attempts, a.request.ID)
}

// ownLoad returns what the attempt adds to its endpoint's load.
func (a *attempt) ownLoad() Load {
	l := Load{Requests: 1}
	if a.last || !a.request.Resumable {
		l.NonResumable = 1
	}
	if !a.answered {
		l.Tokens = a.uncachedTokens
	}
	return l
}
