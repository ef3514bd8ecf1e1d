package sycclaims

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
)

// waiter is a request that waits for a name to change.
type waiter struct {
	call sycclaim.Call
	name string
	// id is that of the claim made for the request; empty where the request
	// only waits for another's outcome.
	id string
	// startBy is when the call may be sent at the latest, by the loop's clock, which goes
	// on while a VM is paused.
	startBy time.Duration
	verdict chan verdict
}

// verdict is what became of a claim.
type verdict struct {
	ticket *ticket
	// entry is the claim that stands in the way, where found is set.
	entry sycclaim.Entry
	found bool
	err   *sycclaim.Error
}

// unavailableRetry is when a caller may come back after a claim failed.
const unavailableRetry = 2 * time.Second

func unavailable() *sycclaim.Error {
	return &sycclaim.Error{Reason: sycclaim.Unavailable, RetryAfter: unavailableRetry}
}

// Claim decides who runs a call. It returns a ticket to the one that runs it,
// the first answer to a repeat, or fails with *sycclaim.Error.
func (d *Driver) Claim(ctx context.Context, call sycclaim.Call) (sycclaim.Ticket, *sycclaim.Answer, error) {
	for {
		v := d.decide(ctx, call)
		if v.err != nil {
			return nil, nil, v.err
		}
		if v.ticket != nil {
			return v.ticket, nil, nil
		}
		if v.entry.Digest() != call.Digest {
			return nil, nil, &sycclaim.Error{Reason: sycclaim.Mismatch}
		}
		answer, again, err := d.outcome(ctx, call, v.entry)
		if !again {
			return nil, answer, err
		}
	}
}

// decide appends a claim and waits until the fold has seen who was first.
func (d *Driver) decide(ctx context.Context, call sycclaim.Call) verdict {
	began := time.Now()
	w := &waiter{call: call, name: call.Name(), verdict: make(chan verdict, 1)}
	posted := d.options.Loop.Post(func(now time.Duration) { d.register(now, w) })
	if !posted {
		return verdict{err: unavailable()}
	}
	timer := time.NewTimer(d.options.DecisionTimeout)
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		decisionSeconds.Update(time.Since(began).Seconds())
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.withdraw(w)
}

// register makes the claim of a new waiter, unless the name is taken already.
func (d *Driver) register(now time.Duration, w *waiter) {
	entry, ok := d.fold.Lookup(w.name)
	if ok && time.Since(entry.Claimed()) < d.options.Lifetime {
		w.verdict <- verdict{entry: entry, found: true}
		return
	}
	if len(d.pending) >= d.options.MaxPending || (d.failing && len(d.pending) > 0) {
		w.verdict <- verdict{err: unavailable()}
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

// withdraw ends the wait of a request. A verdict that came in the meantime is
// given back, so that nobody is left to believe that the call will run.
func (d *Driver) withdraw(w *waiter) verdict {
	d.options.Loop.Do(func(time.Duration) {
		d.leave(w)
		d.forget(w.id)
		select {
		case v := <-w.verdict:
			if v.ticket != nil {
				d.release(v.ticket.name, v.ticket.id)
			}
		default:
		}
	})
	return verdict{err: unavailable()}
}

func (d *Driver) leave(w *waiter) {
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

// notify answers the waiters of a name whose claim has been decided.
func (d *Driver) notify(now time.Duration, name string) {
	list := d.waiters[name]
	if len(list) == 0 {
		return
	}
	entry, ok := d.fold.Lookup(name)
	if !ok {
		// The name is free again. Claims that came before the release had
		// their verdict; those that wait have yet to be read.
		return
	}
	delete(d.waiters, name)
	for _, w := range list {
		d.forget(w.id)
		w.verdict <- d.judge(now, w, entry)
	}
}

func (d *Driver) judge(now time.Duration, w *waiter, entry sycclaim.Entry) verdict {
	if entry.ID() != w.id {
		return verdict{entry: entry, found: true}
	}
	if entry.State() != sycclaim.Claimed || now > w.startBy {
		d.release(w.name, w.id)
		return verdict{err: unavailable()}
	}
	d.own.start(&ownCall{customer: w.call.Customer, id: w.id})
	return verdict{ticket: &ticket{
		driver:  d,
		name:    w.name,
		id:      w.id,
		startBy: w.startBy,
	}}
}

// release gives a claim up.
func (d *Driver) release(name, id string) {
	if c, ok := d.own.byID[id]; ok {
		d.own.remove(c)
	}
	d.enqueue(sycclaim.Record{Kind: sycclaim.KindRelease, Name: name, ID: id})
}

// ticket is the right to run a call.
type ticket struct {
	driver  *Driver
	name    string
	id      string
	startBy time.Duration
}

// Start reports whether the call may still be sent.
func (t *ticket) Start() bool {
	return t.driver.options.Loop.Now() <= t.startBy
}

// Done records the outcome.
func (t *ticket) Done(a sycclaim.Answer) {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) {
		d.own.finish(t.id, a, false)
		d.enqueue(answerRecord(t.name, t.id, a, d.options.MaxInlineBody))
	})
}

// Release gives the claim up.
func (t *ticket) Release() {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) { d.release(t.name, t.id) })
}

// Lose records that the outcome will never be known.
func (t *ticket) Lose() {
	d := t.driver
	d.options.Loop.Post(func(time.Duration) {
		d.own.finish(t.id, sycclaim.Answer{}, true)
		d.enqueue(sycclaim.Record{Kind: sycclaim.KindLost, Name: t.name, ID: t.id})
	})
}
