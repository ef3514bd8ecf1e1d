// Package sycoverload decides whether a VM accepts a new request, by how late its own work
// runs.
//
// A VM that has accepted more than it has processor time for answers everything late. It
// shows in how long its own work waits: for the processor, and for the selection of an
// endpoint. In a VM with time to spare some request in each window hardly waits, however
// large a burst is. If even the shortest wait of a window is too long, a backlog stands, and
// a part of the new requests is rejected. The part follows the wait as in a
// proportional-integral controller, so that it settles instead of alternating between all
// and none.
//
// The package has no clock: callers pass the time since a fixed start on a monotonic clock.
package sycoverload

import (
	"slices"
	"time"
)

const (
	// minWindow is the least length of a window, and minArrivals the least number of
	// requests in it. Fewer don't tell a backlog from a single late one.
	minWindow   = 100 * time.Millisecond
	minArrivals = 5
	// maxWindow is the length after which a window with fewer requests ends. So few are no
	// overload.
	maxWindow = 5 * time.Second
	// toleratedPart is the part of the mean objective that a request may wait. Before a VM
	// has read the request, and before it passes on the answer, as much passes again unseen;
	// the rest is the endpoint's.
	toleratedPart = 0.08
	// defaultTolerated is the tolerated wait if no request has an objective.
	defaultTolerated = 100 * time.Millisecond
	// integralGain is by how much the rejected share changes in a second for each tolerated
	// wait that requests wait too long or less.
	integralGain = 0.3
	// proportionalGain is by how much the rejected share changes when the wait changes by
	// the tolerated one.
	proportionalGain = 0.2
	// maxExcess limits the wait that counts, in tolerated waits.
	maxExcess = 4
	// maxStep limits the time for which a window raises the rejected share.
	maxStep = 500 * time.Millisecond
	// maxShare is the largest share of the requests, and of those of a priority, that is
	// rejected. The rest shows whether the VM is still overloaded.
	maxShare = 0.9
	// maxSpread is the longest time over which the returns of rejected callers are spread. It
	// bounds how long a caller is kept from other VMs.
	maxSpread = 3 * time.Second
)

// Request is a new request that a VM hasn't accepted yet.
type Request struct {
	// Priority is the urgency; 0 is the most urgent. Numbers outside 0 to 9 count as the
	// nearest.
	Priority int
	// Waited is how long the request has waited for the processor since it was read.
	Waited time.Duration
	// Objective is the target for the time to the first byte, 0 if there is none.
	Objective time.Duration
	// Remaining is the time to the deadline.
	Remaining time.Duration
}

// Reason says why a request is rejected.
type Reason string

// Reasons of rejections.
const (
	// Overload means that the request is in the rejected share.
	Overload Reason = "overload"
	// TooLate means that the VM is overloaded and can't start the request within its
	// objective or before its deadline.
	TooLate Reason = "overload_too_late"
)

// Decision says whether a request is accepted.
type Decision struct {
	// Reason says why the request is rejected; it is empty if the request is accepted.
	Reason Reason
	// After is the time after which a rejected request may be sent again: when the VM will
	// have worked off its backlog, and at another time for each caller.
	After time.Duration
	// Expected is how long the request would wait now.
	Expected time.Duration
}

// State is what a Guard has measured.
type State struct {
	// Share is the share of the requests that is rejected. The VM is overloaded if it is
	// positive.
	Share float64
	// Delay is the shortest wait in the last full window, and Tolerated the longest at
	// which nothing is rejected.
	Delay, Tolerated time.Duration
}

// Guard decides which requests a VM accepts. It isn't safe for concurrent use.
type Guard struct {
	state State
	// excess is the delay of the last full window in tolerated waits, at most maxExcess.
	excess float64
	// window is the window that isn't full yet.
	window window
	// classes holds what is known of the requests of each priority.
	classes classes
	// selecting holds the times at which accepted requests began to wait for a selection,
	// oldest first.
	selecting []time.Duration
	// selection is how long the last request waited for its selection, which ended at
	// selectedAt.
	selection, selectedAt time.Duration
	// acceptedRate is the number of requests accepted in a second, as a moving average.
	acceptedRate float64
	// lastReturn is when the caller rejected last may return.
	lastReturn time.Duration
}

// New returns the guard of a VM that isn't overloaded.
func New() *Guard { return &Guard{} }

// State returns what the guard has measured.
func (g *Guard) State() State { return g.state }

// Decide decides whether a new request is accepted. The caller calls BeginSelection and
// EndSelection for an accepted one.
func (g *Guard) Decide(now time.Duration, r Request) Decision {
	if g.window.isFull(now) {
		g.closeWindow(now)
	}
	g.window.observeArrival(r)
	g.classes.count(r.Priority)
	d := Decision{Expected: r.Waited + g.selectionWait(now)}
	if g.state.Share > 0 {
		d.Reason = g.reason(r, d.Expected)
	}
	if d.Reason == "" {
		g.window.accepted++
		return d
	}
	d.After = g.bookReturn(now, d.Expected)
	return d
}

// reason returns why an overloaded VM rejects a request, empty if it accepts it.
func (g *Guard) reason(r Request, expected time.Duration) Reason {
	left := r.Remaining
	if r.Objective > 0 {
		left = min(left, r.Objective-r.Waited)
	}
	switch {
	case expected >= left:
		return TooLate
	case g.classes.rejects(r.Priority, g.state.Share):
		return Overload
	default:
		return ""
	}
}

// BeginSelection records that an accepted request begins to wait for its selection.
func (g *Guard) BeginSelection(now time.Duration) { g.selecting = append(g.selecting, now) }

// EndSelection records that the request that began to wait at a time has its selection.
func (g *Guard) EndSelection(now, began time.Duration) {
	if i := slices.Index(g.selecting, began); i >= 0 {
		g.selecting = slices.Delete(g.selecting, i, i+1)
	}
	g.selection, g.selectedAt = now-began, now
	g.window.observeSelection(g.selection)
}

// selectionWait returns how long a request would wait for its selection now.
func (g *Guard) selectionWait(now time.Duration) time.Duration {
	wait := time.Duration(0)
	if now-g.selectedAt < minWindow {
		wait = g.selection
	}
	if len(g.selecting) > 0 {
		wait = max(wait, now-g.selecting[0])
	}
	return wait
}

// closeWindow changes the rejected share by what the window has shown, and begins another.
func (g *Guard) closeWindow(now time.Duration) {
	w := &g.window
	length := now - w.began
	delay := w.delay(g.oldestSelection(now))
	if w.arrivals < minArrivals {
		delay = 0
	}
	g.state.Delay, g.state.Tolerated = delay, w.tolerated()
	excess := min(float64(delay)/float64(g.state.Tolerated), maxExcess)
	g.state.Share = g.nextShare(excess, length)
	g.excess = excess
	if excess < 1 && g.state.Share == 0 {
		g.lastReturn = 0
	}
	g.acceptedRate = (g.acceptedRate + float64(w.accepted)/length.Seconds()) / 2
	g.classes.age()
	*w = window{began: now}
}

// nextShare returns the rejected share after a window of a length with an excess. A VM becomes
// overloaded only if the window before showed it too.
func (g *Guard) nextShare(excess float64, length time.Duration) float64 {
	before := g.excess
	if g.state.Share == 0 {
		if min(before, excess) <= 1 {
			return 0
		}
		before = 1
	}
	if excess > 1 {
		length = min(length, maxStep)
	}
	change := integralGain*(excess-1)*length.Seconds() + proportionalGain*(excess-before)
	return min(max(g.state.Share+change, 0), maxShare)
}

// oldestSelection returns how long the oldest accepted request has waited for its selection.
func (g *Guard) oldestSelection(now time.Duration) time.Duration {
	if len(g.selecting) == 0 {
		return 0
	}
	return now - g.selecting[0]
}

// bookReturn returns after which time a rejected caller may return. The VM works off its
// backlog first. Callers then return one after the other at the rate at which the VM accepts
// requests.
func (g *Guard) bookReturn(now, backlog time.Duration) time.Duration {
	first := now + backlog
	g.lastReturn += time.Duration(float64(time.Second) / max(g.acceptedRate, 1))
	if g.lastReturn < first || g.lastReturn > first+maxSpread {
		g.lastReturn = first
	}
	return g.lastReturn - now
}
