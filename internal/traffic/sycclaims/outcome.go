package sycclaims

import (
	"context"
	"errors"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// States of a call in answers between VMs.
const (
	stateUnknown = "unknown"
	stateRunning = "running"
	stateDone    = "done"
)

// Outcome answers another VM about a claim of this one.
func (d *Driver) Outcome(_ context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	reply := &sycpeerpb.OutcomeReply{State: stateUnknown}
	d.options.Loop.Do(func(time.Duration) {
		c, ok := d.own.byID[in.GetId()]
		switch {
		case !ok && d.mine(in.GetId()):
			// The claim is not decided here yet, or is about to be released.
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
	// runningRetry is when a caller may ask again about a call under way.
	runningRetry = time.Second
	// answerMargin is left before the caller's deadline to answer it.
	answerMargin = 50 * time.Millisecond
)

// outcome waits for the first request's answer. It reports again when that
// request certainly did not run, so that this one may claim the name anew.
func (d *Driver) outcome(ctx context.Context, call sycclaim.Call, entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	heard := time.Now()
	for {
		if !open(entry) && !partial(entry) {
			return settled(entry)
		}
		reply, err := d.ask(ctx, call, entry)
		if err == nil {
			heard = time.Now()
		}
		switch reply.GetState() {
		case stateDone:
			return &sycclaim.Answer{
				Status:      int(reply.GetStatus()),
				ContentType: reply.GetContentType(),
				Body:        reply.GetBody(),
			}, false, nil
		case stateUnknown:
			return d.last(call.Name(), entry)
		}
		if partial(entry) && err == nil {
			return settled(entry)
		}
		if time.Since(heard) > d.options.HolderTimeout {
			return d.last(call.Name(), entry)
		}
		if !d.patience(ctx) {
			return nil, false, &sycclaim.Error{Reason: sycclaim.Running, RetryAfter: runningRetry}
		}
		next, found := d.lookup(call.Name())
		if !found || next.ID() != entry.ID() {
			return nil, true, nil
		}
		entry = next
	}
}

// open reports whether the log holds no outcome yet.
func open(entry sycclaim.Entry) bool {
	return entry.State() == sycclaim.Claimed || entry.State() == sycclaim.Doubtful
}

// settled returns the outcome that the log holds.
func settled(entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	answer, whole := entry.Answer()
	switch {
	case whole:
		return &answer, false, nil
	case entry.State() == sycclaim.Answered:
		return nil, false, &sycclaim.Error{Reason: sycclaim.NotKept, Status: answer.Status}
	}
	return nil, false, &sycclaim.Error{Reason: sycclaim.OutcomeUnknown}
}

// partial reports whether only the holder can have the answer's body.
func partial(entry sycclaim.Entry) bool {
	_, whole := entry.Answer()
	return entry.State() == sycclaim.Answered && !whole
}

// last is the outcome when the holder knows nothing. The log is looked at
// once more: the holder may have recorded the outcome and gone.
func (d *Driver) last(name string, entry sycclaim.Entry) (*sycclaim.Answer, bool, error) {
	next, found := d.lookup(name)
	if !found || next.ID() != entry.ID() {
		return nil, true, nil
	}
	return settled(next)
}

// errNoPeers means that other VMs can't be asked.
var errNoPeers = errors.New("claims: no connection to other VMs")

// ask asks the holder of a claim, which may be this VM.
func (d *Driver) ask(ctx context.Context, call sycclaim.Call, entry sycclaim.Entry) (*sycpeerpb.OutcomeReply, error) {
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

// patience waits before the next question. It reports false when the caller
// has to be answered now.
func (d *Driver) patience(ctx context.Context) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d.options.PollInterval+answerMargin {
		return false
	}
	return sycpause.For(ctx, d.options.PollInterval)
}

func (d *Driver) lookup(name string) (sycclaim.Entry, bool) {
	var entry sycclaim.Entry
	found := false
	d.options.Loop.Do(func(time.Duration) {
		entry, found = d.fold.Lookup(name)
	})
	return entry, found
}
