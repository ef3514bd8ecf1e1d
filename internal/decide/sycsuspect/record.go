package sycsuspect

import "time"

// Prompt is what a Tracker needs to know of a request.
type Prompt struct {
	// Request identifies the whole request. One that is repeated has the same.
	Request uint64
	// Blocks are the hashes of the prompt's blocks, in their order and without the last, which
	// is the request's own. Behind them comes Request itself: the whole request counts as a
	// block, the narrowest.
	Blocks []uint64
}

// Break is an answer that broke off because its endpoint seems to have ended.
type Break struct {
	Prompt
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint string
	// At is when the answer broke off, by the clock of the VM that reports it.
	At time.Duration
	// Took is the time from when the request was sent until the answer broke off.
	Took time.Duration
	// Begun is set if the answer had begun but nothing of its content had arrived.
	Begun bool
}

// Conviction is the shared state of a block that is or was convicted.
type Conviction struct {
	// Block is the block's hash.
	Block uint64
	// Generation orders the convictions of a block and their ends.
	Generation int64
	// Lifted is set once the block has been answered well.
	Lifted bool
	// Checks is the number of checks so far.
	Checks int64
	// Wait is the time until the next check is due.
	Wait time.Duration
	// Evidence is what the block was convicted by.
	Evidence Evidence
}

// Record is what a VM tells the others. Exactly one field is set.
type Record struct {
	// Break is an answer that broke off.
	Break *Break
	// Ended identifies an incarnation of an endpoint that has certainly ended.
	Ended string
	// Alive identifies an incarnation of an endpoint that hasn't ended, though answers broke
	// off.
	Alive string
	// Served is a suspected block that was answered well.
	Served uint64
	// Known is a suspected block that was answered well in the last minutes.
	Known uint64
	// Trial is a held block with which a request was sent.
	Trial uint64
	// Conviction is the state of a convicted block.
	Conviction *Conviction
}

// Evidence is what speaks against a block.
type Evidence struct {
	// Waves counts the ends of endpoints that can't have had the same cause unless it is the
	// block.
	Waves int
	// Ends counts all ends of endpoints.
	Ends int
	// Requests counts the different prompts that were in flight.
	Requests int
	// Whole is set if the block is a whole request.
	Whole bool
	// Begun counts the ends of endpoints at which an answer broke off just when it had begun.
	Begun int
	// Depth is the block's position in its prompt, from 0.
	Depth int
	// Known is set if a VM has had the block answered in the last minutes.
	Known bool
	// Age and Newest are the times since this VM knew of the first and of the last end.
	Age, Newest time.Duration
}

const (
	// wavesToHold and wavesToConvict are the numbers of waves from which on a block is held
	// and convicted.
	wavesToHold    = 2
	wavesToConvict = 3
	// begunToHold is the number of answers broken off just when they had begun from which on
	// a block is held. From begunToConvict on, wavesToHold waves suffice for a conviction.
	begunToHold    = 1
	begunToConvict = 2
	// requestsToConvict is the number of different prompts that a conviction needs. A sound
	// request that is repeated may meet a harmful one each time.
	requestsToConvict = 2
	// endsToConvict is the number of ends from which on wavesToHold waves suffice for the conviction of a
	// whole request, which is one prompt by itself. From there on it isn't sent, convicted or not.
	endsToConvict = 3
	// settleTime is the least age of the evidence for a conviction. Until then other VMs may
	// tell that they have had the block answered. For newestTime after an end they may tell
	// what else was in flight there.
	settleTime = 600 * time.Millisecond
	newestTime = 400 * time.Millisecond
	// knownWaves is the number of waves that a block needs more if it was answered well in the
	// last minutes, and knownWeight what it has less weight.
	knownWaves  = 1
	knownWeight = 2
)

// convicts reports whether the evidence suffices for a conviction.
func (e Evidence) convicts() bool {
	waves := e.Waves
	if e.Known {
		waves -= knownWaves
	}
	enough := waves >= wavesToConvict || waves >= wavesToHold && (e.Begun >= begunToConvict || e.Whole && e.Ends >= endsToConvict)
	return enough && (e.Whole || e.Requests >= requestsToConvict) && e.Age >= settleTime && e.Newest >= newestTime
}

// holds reports whether the evidence suffices to hold a block.
func (e Evidence) holds() bool { return e.Waves >= wavesToHold || e.Begun >= begunToHold }

// weight returns how much the evidence explains.
func (e Evidence) weight() int {
	weight := e.Begun + e.Ends
	if e.Known {
		weight -= knownWeight
	}
	return weight
}

// stronger reports whether the evidence explains more than another. Of two blocks that explain
// the same, the later in the prompt is the narrower, and then the one that was in flight in fewer
// prompts.
func (e Evidence) stronger(o Evidence) bool {
	switch {
	case e.weight() != o.weight():
		return e.weight() > o.weight()
	case e.Depth != o.Depth:
		return e.Depth > o.Depth
	}
	return e.Requests < o.Requests
}

// Verdict says whether a request may be sent.
type Verdict struct {
	// Reason says why it may not, empty if it may.
	Reason Reason
	// Block is the block that is the reason.
	Block uint64
	// After is the time after which the request may be tried again.
	After time.Duration
	// Evidence is what speaks against the block.
	Evidence Evidence
}

// Reason says why a request may not be sent.
type Reason string

// Reasons of verdicts.
const (
	// Allowed means that the request may be sent.
	Allowed Reason = ""
	// BlockConvicted means that a block of the prompt ends endpoints.
	BlockConvicted Reason = "block_convicted"
	// BlockOnTrial means that a block of the prompt may end endpoints and another request
	// with it is in flight.
	BlockOnTrial Reason = "block_on_trial"
	// RequestRepeated means that several endpoints have ended under this request.
	RequestRepeated Reason = "request_repeated"
)

// Change is a block's change of state, for logs and metrics.
type Change struct {
	Block    uint64
	From, To State
	Evidence Evidence
	// Adopted is set if another VM has convicted the block or lifted the conviction.
	Adopted bool
}
