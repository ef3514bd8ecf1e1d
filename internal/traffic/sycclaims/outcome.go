package sycclaims

import (
	"context"
	"errors"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// States of a call in responses between VMs.
const (
	// stateUnknown means that this VM doesn't know the call's outcome.
	stateUnknown = "unknown"
	// stateRunning means that the call hasn't ended, or that its claim isn't decided yet.
	stateRunning = "running"
	// stateDone means that the call has ended and that the reply has its response.
	stateDone = "done"
)

// Outcome returns the outcome of a call that this VM claimed, for another VM.
func (d *Driver) Outcome(_ context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	reply := &sycpeerpb.OutcomeReply{State: stateUnknown}
	d.options.Loop.Do(func(time.Duration) {
		c, ok := d.own.byID[in.GetId()]
		switch {
		case !ok && d.isOwn(in.GetId()):
			// This VM hasn't read the decision on the claim yet, or is about to
			// release it.
			reply.State = stateRunning
		case !ok, c.customer != in.GetCustomer(), c.lost:
		case !c.done:
			reply.State = stateRunning
		default:
			reply.State = stateDone
			reply.Status = int32(c.answer.Status)
			reply.ContentType = c.answer.ContentType
			reply.Body = c.answer.Body
		}
	})
	return reply, nil
}

const (
	// runningRetry is how long a caller should wait before it repeats a request whose call
	// is still running.
	runningRetry = time.Second
	// responseMargin is the time before a request's deadline that is reserved for the
	// response to the caller.
	responseMargin = 50 * time.Millisecond
)

// awaitOutcome waits for the response to the request whose claim won, and returns it. It asks
// the claim's holder until the response is known. Its second result, retry, is true if the
// claim was released or has expired, so that the request may claim the call anew.
func (d *Driver) awaitOutcome(ctx context.Context, call sycclaim.Call, entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	lastReply := time.Now()
	for {
		if !undecided(entry) && !bodyOmitted(entry) {
			return loggedOutcome(entry)
		}
		reply, err := d.askHolder(ctx, call, entry)
		if err == nil {
			lastReply = time.Now()
		}
		switch reply.GetState() {
		case stateDone:
			return &sycclaim.Answer{
				Status:      int(reply.GetStatus()),
				ContentType: reply.GetContentType(),
				Body:        reply.GetBody(),
			}, false, nil
		case stateUnknown:
			return d.newestOutcome(call.Name(), entry)
		}
		if bodyOmitted(entry) && err == nil {
			return loggedOutcome(entry)
		}
		if time.Since(lastReply) > d.options.HolderTimeout {
			return d.newestOutcome(call.Name(), entry)
		}
		if !d.waitToPoll(ctx) {
			return nil, false, &sycclaim.Error{Reason: sycclaim.Running, RetryAfter: runningRetry}
		}
		next, found := d.lookup(call.Name())
		if !found || next.ID() != entry.ID() {
			return nil, true, nil
		}
		entry = next
	}
}

// undecided reports whether the log has no outcome of the call yet.
func undecided(entry sycclaim.Entry) bool {
	return entry.State() == sycclaim.Claimed || entry.State() == sycclaim.Doubtful
}

// loggedOutcome returns the call's response if the log has all of it, or an error that says what
// is known of the call. Its other result, retry, is always false.
func loggedOutcome(entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	answer, complete := entry.Answer()
	switch {
	case complete:
		return &answer, false, nil
	case entry.State() == sycclaim.Answered:
		return nil, false, &sycclaim.Error{Reason: sycclaim.NotKept, Status: answer.Status}
	}
	return nil, false, &sycclaim.Error{Reason: sycclaim.OutcomeUnknown}
}

// bodyOmitted reports whether the call has ended but the response's body isn't known from the
// log, so that only the holder can have it.
func bodyOmitted(entry sycclaim.Entry) bool {
	_, complete := entry.Answer()
	return entry.State() == sycclaim.Answered && !complete
}

// newestOutcome returns the outcome that the log has when the holder doesn't know it or is
// unreachable. It looks the claim up again, because the holder may have recorded the outcome
// before it stopped. Its second result, retry, is that of awaitOutcome.
func (d *Driver) newestOutcome(name string, entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	next, found := d.lookup(name)
	if !found || next.ID() != entry.ID() {
		return nil, true, nil
	}
	return loggedOutcome(next)
}

// errNoPeers is returned if other VMs can't be asked, because Options.Peers is nil.
var errNoPeers = errors.New("claims: no connection to other VMs")

// askHolder asks the holder of a claim, which may be this VM, for the call's outcome.
func (d *Driver) askHolder(ctx context.Context, call sycclaim.Call, entry sycclaim.Entry) (*sycpeerpb.OutcomeReply, error) {
	in := &sycpeerpb.OutcomeRequest{Claim: call.Name(), Customer: call.Customer, Id: entry.ID()}
	if entry.Holder() == d.options.VM {
		return d.Outcome(ctx, in)
	}
	if d.options.Peers == nil {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.HolderTimeout)
	defer cancel()
	return d.options.Peers.Outcome(ctx, entry.Holder(), in)
}

// waitToPoll waits for the PollInterval before the holder is asked again. It returns false if
// the request's deadline leaves no time for that or the context has ended.
func (d *Driver) waitToPoll(ctx context.Context) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d.options.PollInterval+responseMargin {
		return false
	}
	return sycpause.For(ctx, d.options.PollInterval)
}

// lookup returns the claim in force with a name. It must not be called on the control loop.
func (d *Driver) lookup(name string) (sycclaim.Entry, bool) {
	var entry sycclaim.Entry
	found := false
	d.options.Loop.Do(func(time.Duration) {
		entry, found = d.claims.Lookup(name)
	})
	return entry, found
}
