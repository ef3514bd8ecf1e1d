package sycrelay

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxStreamPause is how long a stream that another endpoint may resume can be silent until a standby is
// asked. A sound endpoint may be silent for about a second.
const maxStreamPause = 1100 * time.Millisecond

// answerTimeout ends an attempt whose answer doesn't arrive in time, if the request may be sent to
// another endpoint and there is one. Before the answer has begun it cancels the attempt. An answer that
// has begun is resumed by a standby, and the attempt is cancelled once that has sent an event.
type answerTimeout struct {
	// cancel cancels the attempt's context.
	cancel context.CancelFunc
	// hasOther reports whether another endpoint could get the request now.
	hasOther func() bool
	// newStandby returns a standby at none of the endpoints that have rejected the stream, nil if there
	// is no other. Arrivals is how many of these the request reached.
	newStandby func(rejectedBy []string, arrivals int) *standby
	// markLast records that the request may go to no further endpoint after this attempt.
	markLast func()
	// reportPanic logs and counts a panic in the timer's goroutine.
	reportPanic func(value any)
	// lastEvent returns the ID of the last event that the caller has received. It is called only
	// while the timer runs.
	lastEvent func() string
	// mu guards the fields below it.
	mu sync.Mutex
	// timer calls expire when the time is over. It is nil if the request may not be sent to
	// another endpoint.
	timer *time.Timer
	// running is set unless the timer is suspended.
	running bool
	// until is when the time is over while the timer runs.
	until time.Time
	// left is what was left of the time when the timer was suspended.
	left time.Duration
	// begun is set once a part of the answer has gone to the caller.
	begun bool
	// attempts is how many further attempts the request may have.
	attempts int
	// rejectedBy lists the endpoints that couldn't resume the stream, or whose standby was abandoned.
	rejectedBy []string
	// arrivals is how many of them the request reached, without rejections that don't count. Rejections is how
	// many didn't count, since nothing ran, and mayReject how many more may.
	arrivals, rejections, mayReject int
	// standby is the present standby, nil if there is none.
	standby *standby
	// switched is set once the attempt is cancelled in favour of standby.
	switched bool
}

// startTimeout returns the context and the timeout of an attempt. The first byte, which of a
// stream is its first event's, may take as long as the target's FirstByteTimeout. After it
// maxStreamPause limits the time between two events.
func (x *exchange) startTimeout(ctx context.Context) (context.Context, *answerTimeout) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, x.newTimeout(cancel)
}

// newTimeout starts the timeout of the present attempt, which cancel cancels.
func (x *exchange) newTimeout(cancel context.CancelFunc) *answerTimeout {
	if !x.mayTryAgain() {
		return &answerTimeout{cancel: cancel}
	}
	// The timer's goroutine works on a copy, which no attempt changes.
	own := *x
	own.tried = slices.Clone(x.tried)
	hasOther := func() bool {
		next := *own.request
		next.Exclude = own.tried
		next.Remaining = time.Until(own.deadline)
		next.Objective = own.route.Objective - time.Since(own.arrived)
		return own.relay.fleet.CanRetry(&next)
	}
	t := newAnswerTimeout(cancel, hasOther, x.target.FirstByteTimeout())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newStandby, t.lastEvent = own.newStandby, func() string { return x.lastEvent }
	t.reportPanic = func(value any) { own.reportPanic(placeTimeout, value) }
	t.markLast = func() { own.relay.fleet.MarkLast(own.request.ID) }
	t.begun, t.attempts, t.mayReject = x.answering, x.route.Attempts-x.attempts, maxUncounted-x.uncounted
	return t
}

// newAnswerTimeout starts a timeout that cancels an attempt after the time for its first byte.
func newAnswerTimeout(cancel context.CancelFunc, hasOther func() bool, firstByte time.Duration) *answerTimeout {
	t := &answerTimeout{cancel: cancel, hasOther: hasOther}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(firstByte, t.expire)
	t.startLocked(firstByte)
	return t
}

// expire cancels the attempt, or starts a standby if the answer has begun. If no other endpoint could
// get the request, this one gets further time instead: it may be slow but sound.
func (t *answerTimeout) expire() {
	defer t.recoverPanic()
	if t.expireBegun() {
		return
	}
	other := t.hasOther()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.begun || !t.expiredLocked():
		// The answer has begun or gone on meanwhile.
	case other:
		t.cancel()
	default:
		t.startLocked(maxStreamPause)
	}
}

// recoverPanic lets the request go on with its endpoint after a panic in the timer's goroutine, which only
// looks for another one. The attempt's deadline still holds.
func (t *answerTimeout) recoverPanic() {
	if value := recover(); value != nil {
		t.mu.Lock()
		report := t.reportPanic
		t.mu.Unlock()
		report(value)
	}
}

// expireBegun lets a standby resume an answer that has begun, and cancels the attempt if the standby does so
// before the endpoint has continued. It returns false if the answer hasn't begun.
func (t *answerTimeout) expireBegun() bool {
	t.mu.Lock()
	begun, rejectedBy, arrivals := t.begun, t.rejectedBy, t.arrivals
	mayAsk := t.standby == nil && t.expiredLocked() && t.hasAttemptsLocked()
	t.mu.Unlock()
	if !begun || !mayAsk {
		return begun
	}
	// The selection may take a while, in which events must not wait.
	s := t.newStandby(rejectedBy, arrivals)
	if t.beginStandby(s) {
		t.awaitStandby(s)
	}
	return true
}

// awaitStandby waits until a standby has resumed the stream or failed. One that takes too long is replaced if
// a further endpoint may be asked.
func (t *answerTimeout) awaitStandby(s *standby) {
	select {
	case <-s.done:
	case <-time.After(s.patience()):
		if next := t.replaceStandby(s); next != nil {
			t.awaitStandby(next)
			return
		}
		<-s.done
	}
	if t.settle(s, s.resumes) {
		s.reject()
		t.checkAttempts()
	}
}

// replaceStandby replaces a standby whose endpoint has sent no event for too long, and returns the new one. It
// returns nil, and leaves the standby, if no further endpoint may be asked.
func (t *answerTimeout) replaceStandby(overdue *standby) *standby {
	t.mu.Lock()
	rejectedBy := append(slices.Clone(t.rejectedBy), overdue.exchange.target.Endpoint.ID)
	arrivals := t.arrivals + 1
	mayAsk := t.standby == overdue && arrivals < t.attempts && len(rejectedBy) < maxUnreachable
	t.mu.Unlock()
	if !mayAsk {
		return nil
	}
	next := t.newStandby(rejectedBy, arrivals)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case next == nil:
		return nil
	case t.standby != overdue || overdue.hasEnded():
		next.withdraw()
		return nil
	}
	t.dropLocked(true)
	t.standby = next
	// The stream hasn't gone on since the overdue standby began.
	next.begin(overdue.exchange.lastEvent, t.checkLastStandby)
	return next
}

// dropLocked abandons the present standby, whose endpoint isn't asked again. Overdue is set if it has sent no
// event for too long. The caller holds mu.
func (t *answerTimeout) dropLocked(overdue bool) {
	s := t.standby
	t.standby = nil
	if overdue {
		s.logDecision("overdue")
	} else {
		s.logDecision("not needed")
	}
	if s.abandon(overdue) {
		t.arrivals++
		t.rejectedBy = append(t.rejectedBy, s.exchange.target.Endpoint.ID)
	}
}

// checkAttempts calls markLast once the request may go to no further endpoint. Rejections count here: endpoints
// that reject the stream are no reason to interrupt the one that has it.
func (t *answerTimeout) checkAttempts() {
	t.mu.Lock()
	isLast := t.arrivals+t.rejections >= t.attempts || !t.hasAttemptsLocked()
	t.mu.Unlock()
	if isLast {
		t.markLast()
	}
}

// checkLastStandby calls markLast if the standby that is being sent uses the last attempt: until it has sent an
// event, only the present endpoint has shown that it can complete the stream.
func (t *answerTimeout) checkLastStandby() {
	t.mu.Lock()
	isLast := t.arrivals+1 >= t.attempts
	t.mu.Unlock()
	if isLast {
		t.markLast()
	}
}

// beginStandby begins a standby, unless it is nil or the answer has continued or ended meanwhile. It reports
// whether it has.
func (t *answerTimeout) beginStandby(s *standby) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := t.expiredLocked()
	switch {
	case s == nil && expired:
		t.startLocked(maxStreamPause)
	case s == nil:
	case !expired || t.standby != nil:
		s.withdraw()
	default:
		t.standby = s
		s.begin(t.lastEvent(), t.checkLastStandby)
		return true
	}
	return false
}

// settle cancels the attempt if a standby resumes the stream. It returns true if the standby has failed.
func (t *answerTimeout) settle(s *standby, resumes bool) (failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.standby != s:
		// The endpoint has continued, or the attempt has ended.
		return false
	case resumes:
		s.logDecision("resumes the stream")
		t.switched = true
		t.cancel()
		return false
	}
	t.standby = nil
	t.rejectedBy = append(t.rejectedBy, s.exchange.target.Endpoint.ID)
	switch {
	case !s.arrived():
	case s.rejected && t.mayReject > 0:
		t.rejections++
		t.mayReject--
	default:
		t.arrivals++
	}
	if t.running {
		t.startLocked(maxStreamPause)
	} else {
		t.left = maxStreamPause
	}
	return true
}

// expiredLocked reports whether the timer runs and the time is over. The caller holds mu.
func (t *answerTimeout) expiredLocked() bool { return t.running && !time.Now().Before(t.until) }

// hasAttemptsLocked reports whether the request may go to a further endpoint. The caller holds mu.
func (t *answerTimeout) hasAttemptsLocked() bool {
	return t.arrivals < t.attempts && len(t.rejectedBy) < maxUnreachable
}

// admitEvent stops the timer like suspend when an event arrives. If the event advances the stream, it ends
// the standby: two endpoints mustn't run the request for long. It returns false if the attempt has been
// cancelled in favour of the standby, which sends this event itself.
func (t *answerTimeout) admitEvent(advances bool) bool {
	switched, dropped := t.noteEvent(advances)
	if dropped {
		t.checkAttempts()
	}
	return !switched
}

// noteEvent is admitEvent without checkAttempts. Dropped is set if the event has ended the standby.
func (t *answerTimeout) noteEvent(advances bool) (switched, dropped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspendLocked()
	// Whatever arrives goes to the caller, and with it the answer's header.
	t.begun = true
	dropped = !t.switched && advances && t.standby != nil
	if dropped {
		t.dropLocked(false)
	}
	return t.switched, dropped
}

// hasSwitched reports whether the attempt was cancelled in favour of a standby.
func (t *answerTimeout) hasSwitched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.switched
}

// takeStandby returns the standby, which the caller then owns, nil if there is none. It returns the
// endpoints that have rejected the stream too, and how many of them the request reached.
func (t *answerTimeout) takeStandby() (s *standby, rejectedBy []string, arrivals, rejections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, rejectedBy, arrivals, rejections = t.standby, t.rejectedBy, t.arrivals, t.rejections
	t.standby, t.rejectedBy, t.arrivals, t.rejections = nil, nil, 0, 0
	return s, rejectedBy, arrivals, rejections
}

// restart lets the next event take up to maxStreamPause from now on.
func (t *answerTimeout) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLocked(maxStreamPause)
}

// admitHead lets the first event take at least maxStreamPause from now on, since the head of its
// answer has arrived. What is left of the time for the first byte isn't shortened.
func (t *answerTimeout) admitHead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLocked(max(time.Until(t.until), maxStreamPause))
}

// suspend stops the timer while received bytes are passed on, since a slow caller may delay
// that.
func (t *answerTimeout) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspendLocked()
}

// suspendLocked is suspend for a caller that holds mu.
func (t *answerTimeout) suspendLocked() {
	t.running = false
	if t.timer != nil {
		t.left = time.Until(t.until)
		t.timer.Stop()
	}
}

// resume lets the timer go on after suspend. The time isn't extended.
func (t *answerTimeout) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLocked(t.left)
}

// startLocked lets the time be over after a duration. The caller holds mu.
func (t *answerTimeout) startLocked(left time.Duration) {
	if t.timer != nil {
		t.running = true
		t.until = time.Now().Add(left)
		t.timer.Reset(left)
	}
}

// stop stops the timer and cancels the attempt's context, which ends reads in progress.
func (t *answerTimeout) stop() {
	t.suspend()
	t.cancel()
}
