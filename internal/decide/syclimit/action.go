package syclimit

import "time"

// Action is a step that the caller of a Machine must carry out: a Grant, a
// Reject or an Ask.
type Action interface{ action() }

// Grant admits a waiting request, whose permit is spent.
type Grant struct {
	Customer string
	// Request is the ID that was passed to Admit.
	Request uint64
	// Waited is the time from the Admit call to the grant.
	Waited time.Duration
}

// Reject ends a waiting request that isn't expected to get a permit in time.
type Reject struct {
	Customer string
	// Request is the ID that was passed to Admit.
	Request uint64
	Cause   Cause
	// RetryAfter is the time until a permit for the request is expected.
	RetryAfter time.Duration
}

// Ask is a message to send to a peer to request a loan. The caller passes the
// reply to Machine.Answer, or reports a failure with Machine.AskFailed.
type Ask struct {
	Peer string
	// ID identifies the ask and the loan that answers it.
	ID       uint64
	Customer string
	// Amount is what this VM needs for waiting and expected requests.
	Amount MicroPermits
	// Shortage is how far this VM is below its capacity, beyond Amount. The
	// peer lends part of it if the peer is less short itself.
	Shortage MicroPermits
	// Settled lists earlier loans of the peer that have ended. An Ask with no
	// Amount and no Shortage only reports these, and its reply has no effect.
	Settled []Settled
}

// Settled reports a loan that its borrower has spent or returned.
type Settled struct {
	// ID is that of the Ask that the loan answered.
	ID uint64
	// Returned is the part of the loan that was not spent.
	Returned MicroPermits
}

func (Grant) action()  {}
func (Reject) action() {}
func (Ask) action()    {}

// Cause is the reason for a rejection.
type Cause string

// Causes of rejections.
const (
	// OverRate: no permit is expected within the request's maximum wait.
	OverRate Cause = "over_rate"
	// TimedOut: a permit was expected but did not come within the maximum wait.
	TimedOut Cause = "timed_out"
	// QueueFull: too many requests of the customer are waiting.
	QueueFull Cause = "queue_full"
	// NoSlots: this VM accrues no permits, as it holds no rate slot, and has no
	// peers to borrow from.
	NoSlots Cause = "no_slots"
	// NoLimit: the customer was deleted, or its limit admits no request.
	NoLimit Cause = "no_limit"
)

// LoanRequest is an Ask as the lender receives it, with the identity of the
// borrower.
type LoanRequest struct {
	// Borrower is the address of the VM that asks, and Incarnation identifies
	// its process.
	Borrower    string
	Incarnation string
	ID          uint64
	Customer    string
	// Amount is what the borrower needs for waiting and expected requests.
	Amount MicroPermits
	// Shortage is how far the borrower is below its capacity, beyond Amount.
	Shortage MicroPermits
	// Settled lists earlier loans of this lender that have ended.
	Settled []Settled
}

// Loan is the reply to a LoanRequest.
type Loan struct {
	// Amount is what the lender lends. It has already debited it.
	Amount MicroPermits
	// Valid is how long the loan may be spent, counted from when the borrower
	// sent the request.
	Valid time.Duration
	// Spare is what the lender still has beyond Amount and its own waiting
	// requests.
	Spare MicroPermits
}
