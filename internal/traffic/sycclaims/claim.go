package sycclaims

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
)

// waiter is a request that waits for the log to decide its claim.
type waiter struct {
	// call identifies the call by the request's customer, route and Idempotency-Key.
	call sycclaim.Call
	// name is the name of the call's claim.
	name string
	// id identifies the claim that was made for the request. It is empty until the claim
	// is made.
	id string
	// startBy is the latest time for sending the call, by the control loop's clock. That
	// clock also runs while the VM is paused.
	startBy time.Duration
	// decision receives the decision. It has room for one value, so that sending it never
	// blocks the control loop.
	decision chan decision
}

// decision is the result of a claim. Exactly one of ticket, found and err is set.
type decision struct {
	// ticket is set if the request may run the call.
	ticket *ticket
	// entry is the claim of an earlier request with the same name. It is set only with
	// found.
	entry sycclaim.Entry
	// found is set if an earlier request has the claim.
	found bool
	// err is set if no claim could be made.
	err *sycclaim.Error
}

// unavailableRetry is how long a caller should wait before a retry after its claim failed.
const unavailableRetry = 2 * time.Second

// unavailable returns the error for a request whose claim couldn't be made.
func unavailable() *sycclaim.Error {
	return &sycclaim.Error{Reason: sycclaim.Unavailable, RetryAfter: unavailableRetry}
}

// Claim claims a call for a request. It returns a ticket if the request may run the call. If an
// earlier request has run it, Claim returns that request's response. Otherwise it returns a
// *sycclaim.Error.
func (d *Driver) Claim(ctx context.Context, call sycclaim.Call) (sycclaim.Ticket, *sycclaim.Answer, error) {
	for {
		decided := d.makeClaim(ctx, call)
		if decided.err != nil {
			return nil, nil, decided.err
		}
		if decided.ticket != nil {
			return decided.ticket, nil, nil
		}
		if decided.entry.Digest() != call.Digest {
			return nil, nil, &sycclaim.Error{Reason: sycclaim.Mismatch}
		}
		answer, retry, err := d.awaitOutcome(ctx, call, decided.entry)
		if !retry {
			return nil, answer, err
		}
	}
}

// makeClaim appends a claim and waits until the log shows which claim of the call was first. It
// waits for at most DecisionTimeout.
func (d *Driver) makeClaim(ctx context.Context, call sycclaim.Call) decision {
	start := time.Now()
	w := &waiter{call: call, name: call.Name(), decision: make(chan decision, 1)}
	posted := d.options.Loop.Post(func(now time.Duration) { d.register(now, w) })
	if !posted {
		return decision{err: unavailable()}
	}
	timer := time.NewTimer(d.options.DecisionTimeout)
	defer timer.Stop()
	select {
	case decided := <-w.decision:
		decisionSeconds.Update(time.Since(start).Seconds())
		return decided
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.withdraw(w)
}

// register makes the claim of a new waiter, unless a claim with its name is in force. It sends
// an error as the decision if too many records are pending. It also does so if the last append
// failed and others are pending already, which will show whether the log works again.
func (d *Driver) register(now time.Duration, w *waiter) {
	entry, ok := d.claims.Lookup(w.name)
	if ok && time.Since(entry.Claimed()) < d.options.Lifetime {
		w.decision <- decision{entry: entry, found: true}
		return
	}
	if len(d.pending) >= d.options.MaxPending || (d.failing && len(d.pending) > 0) {
		w.decision <- decision{err: unavailable()}
		return
	}
	w.id = d.nextID()
	w.startBy = now + d.options.StartTimeout
	d.waiters[w.name] = append(d.waiters[w.name], w)
	d.enqueue(sycclaim.Record{
		Kind:   sycclaim.KindClaim,
		Name:   w.name,
		ID:     w.id,
		Holder: d.options.VM,
		Digest: w.call.Digest,
	})
}

// withdraw ends the wait of a request that won't run its call. If the claim has been granted
// meanwhile, it is released, so that repeats don't wait for the call.
func (d *Driver) withdraw(w *waiter) decision {
	d.options.Loop.Do(func(time.Duration) {
		d.removeWaiter(w)
		d.dropClaim(w.id)
		select {
		case decided := <-w.decision:
			if decided.ticket != nil {
				d.release(decided.ticket.name, decided.ticket.id)
			}
		default:
		}
	})
	return decision{err: unavailable()}
}

// removeWaiter removes a waiter from the list of its name.
func (d *Driver) removeWaiter(w *waiter) {
	list := d.waiters[w.name]
	for i, other := range list {
		if other == w {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(d.waiters, w.name)
		return
	}
	d.waiters[w.name] = list
}

// notify sends decisions to the waiters of a name if a claim with that name is in force.
func (d *Driver) notify(now time.Duration, name string) {
	list := d.waiters[name]
	if len(list) == 0 {
		return
	}
	entry, ok := d.claims.Lookup(name)
	if !ok {
		// The claim was released. Waiters whose claims preceded the release in the log
		// have had their decision, and the claims of the present ones are still to be
		// read.
		return
	}
	delete(d.waiters, name)
	for _, w := range list {
		d.dropClaim(w.id)
		w.decision <- d.decide(now, w, entry)
	}
}

// decide returns a waiter's decision, given the claim that is in force. It grants a ticket if
// that is the waiter's own claim, no earlier claim can have been missed, and startBy hasn't
// passed.
func (d *Driver) decide(now time.Duration, w *waiter, entry sycclaim.Entry) decision {
	if entry.ID() != w.id {
		return decision{entry: entry, found: true}
	}
	if entry.State() != sycclaim.Claimed || now > w.startBy {
		d.release(w.name, w.id)
		return decision{err: unavailable()}
	}
	d.own.start(&ownCall{customer: w.call.Customer, id: w.id})
	return decision{ticket: &ticket{
		driver:  d,
		name:    w.name,
		id:      w.id,
		startBy: w.startBy,
	}}
}

// release releases a claim of this VM whose call certainly hasn't run.
func (d *Driver) release(name, id string) {
	if c, ok := d.own.byID[id]; ok {
		d.own.remove(c)
	}
	d.enqueue(sycclaim.Record{Kind: sycclaim.KindRelease, Name: name, ID: id})
}

// ticket is the right of a request to run its call, given to the request whose claim won. It
// implements sycclaim.Ticket.
type ticket struct {
	// driver is the driver that granted the ticket.
	driver *Driver
	// name is the name of the call's claim.
	name string
	// id identifies the claim that won.
	id string
	// startBy is the latest time for sending the call, by the control loop's clock.
	startBy time.Duration
}

// Start reports whether the call may still be sent, which is so until startBy.
func (t *ticket) Start() bool {
	return t.driver.options.Loop.Now() <= t.startBy
}

// Done records the call's response in the log, without waiting for the append.
func (t *ticket) Done(a sycclaim.Answer) {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) {
		d.own.finish(t.id, a, false)
		d.enqueue(answerRecord(t.name, t.id, a, d.options.MaxInlineBody))
	})
}

// Release releases the claim, without waiting for the append. The call certainly must not have
// run.
func (t *ticket) Release() {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) { d.release(t.name, t.id) })
}

// Lose records that the call may have run and that its outcome will never be known. It doesn't
// wait for the append.
func (t *ticket) Lose() {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) {
		d.own.finish(t.id, sycclaim.Answer{}, true)
		d.enqueue(sycclaim.Record{Kind: sycclaim.KindLost, Name: t.name, ID: t.id})
	})
}
