package syclimit

import "time"

// Action is what the caller of a Machine must carry out.
type Action interface{ action() }

// Grant lets a waiting request run; its token is spent.
type Grant struct {
	Customer string
	Request  uint64
	// Waited is the time since the request's admission began.
	Waited time.Duration
}

// Reject ends a waiting request that will not get a token in time.
type Reject struct {
	Customer string
	Request  uint64
	Cause    Cause
	// RetryAfter is when a token for the request is expected.
	RetryAfter time.Duration
}

// Ask requests a loan from a peer. Its answer goes to Answer, a failure to
// AskFailed.
type Ask struct {
	Peer     string
	ID       uint64
	Customer string
	Amount   MicroPermits
	// Shortage is wanted beyond Amount, as far as the peer has more than the VM
	// that asks.
	Shortage MicroPermits
	// Settled lists earlier loans of the peer that are no longer held. An Ask
	// for nothing only reports these; its answer has no effect.
	Settled []Settled
}

// Settled is a loan that its borrower no longer holds.
type Settled struct {
	ID uint64
	// Returned is the part that was not spent.
	Returned MicroPermits
}

func (Grant) action()  {}
func (Reject) action() {}
func (Ask) action()    {}

// Cause says why a request was refused.
type Cause string

// Causes of refusals.
const (
	// OverRate: no token is expected within the hold.
	OverRate Cause = "over_rate"
	// TimedOut: tokens were expected but did not come within the hold.
	TimedOut Cause = "timed_out"
	// QueueFull: too many requests of the customer wait.
	QueueFull Cause = "queue_full"
	// NoSlots: neither this VM nor a reachable peer accrues tokens.
	NoSlots Cause = "no_slots"
	// NoLimit: the customer was deleted or may run nothing.
	NoLimit Cause = "no_limit"
)

// LoanRequest is a peer's request for tokens.
type LoanRequest struct {
	// Borrower and Incarnation name the peer's process.
	Borrower    string
	Incarnation string
	ID          uint64
	Customer    string
	Amount      MicroPermits
	// Shortage is how much the borrower's own tokens are below its cap, beyond Amount.
	Shortage MicroPermits
	Settled  []Settled
}

// Loan answers a LoanRequest.
type Loan struct {
	// Amount is already debited at the lender.
	Amount MicroPermits
	// Valid is counted from the sending of the request.
	Valid time.Duration
	// Spare is what the lender does not need itself, beyond Amount.
	Spare MicroPermits
}
