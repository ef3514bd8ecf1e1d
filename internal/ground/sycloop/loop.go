// Package sycloop runs the one goroutine that owns a process's control state.
//
// Everything that changes control state is posted to the loop as a function.
// Traffic goroutines read immutable snapshots that the loop publishes and
// never touch control state themselves.
package sycloop

import (
	"math"
	"time"

	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// QueueSize is the number of posted functions that may wait. A full loop blocks
// its posters and drops nothing.
const QueueSize = 4096

// longestWait is later than any task is due.
const longestWait = time.Duration(math.MaxInt64)

// Loop executes posted functions one at a time, in order.
type Loop struct {
	tomb tomb.Tomb
	// clock goes on in a suspended machine; start is when the loop's time began by it.
	clock func() time.Duration
	start time.Duration
	work  chan func(now time.Duration)
	// tasks, watches, seen and wakeAt belong to the loop's goroutine.
	tasks   []*Task
	watches []watch
	// seen is when the loop last began something.
	seen time.Duration
	// wakeAt is when the timer for the tasks fires.
	wakeAt time.Duration
}

// watch is a function for when the loop has stood still.
type watch struct {
	limit time.Duration
	run   func(now time.Duration)
}

// Task is a function that runs at a period.
type Task struct {
	loop   *Loop
	period time.Duration
	due    time.Duration
	run    func(now time.Duration)
}

// SetPeriod changes the period, and brings the next run forward if need be. It
// must be called on the loop.
func (t *Task) SetPeriod(period time.Duration) {
	if t.period == period {
		return
	}
	t.period = period
	t.due = min(t.due, t.loop.Now()+period)
}

// New starts a loop whose time begins now.
func New() *Loop { return newLoop(sycclock.Now, sycclock.Now()) }

// NewBootTime starts a loop whose time is the machine's, as sycclock reads it.
func NewBootTime() *Loop { return newLoop(sycclock.Now, 0) }

func newLoop(clock func() time.Duration, start time.Duration) *Loop {
	l := &Loop{
		clock: clock,
		start: start,
		work:  make(chan func(now time.Duration), QueueSize),
	}
	l.seen = l.Now()
	l.tomb.Go(func() error {
		timer := time.NewTimer(longestWait)
		defer timer.Stop()
		l.wakeAt = longestWait
		for {
			select {
			case <-l.tomb.Dying():
				return nil
			case f := <-l.work:
				l.notice()
				f(l.Now())
			case <-timer.C:
				l.notice()
				l.wakeAt = longestWait
				l.runTasks()
			}
			if next := l.nextTask(); next != l.wakeAt {
				l.wakeAt = next
				timer.Reset(next - l.Now())
			}
		}
	})
	return l
}

// notice runs the watches whose limit has passed since the loop last began
// something.
func (l *Loop) notice() {
	now := l.Now()
	still := now - l.seen
	l.seen = now
	for _, w := range l.watches {
		if still > w.limit {
			w.run(now)
		}
	}
}

// runTasks runs the tasks that are due.
func (l *Loop) runTasks() {
	for _, t := range l.tasks {
		if now := l.Now(); now >= t.due {
			t.due = max(t.due+t.period, now)
			t.run(now)
		}
	}
}

// nextTask is when a task is due next.
func (l *Loop) nextTask() time.Duration {
	next := longestWait
	for _, t := range l.tasks {
		next = min(next, t.due)
	}
	return next
}

// Now is the time since the loop's time began, suspensions of the machine included:
// leases, slots and claims that are kept in it run out while it sleeps.
func (l *Loop) Now() time.Duration {
	return l.clock() - l.start
}

// Post hands f to the loop and reports whether the loop will still run it.
// It must not be called from inside a posted function: a full loop would wait
// for itself.
func (l *Loop) Post(f func(now time.Duration)) bool {
	select {
	case l.work <- f:
		return true
	case <-l.tomb.Dying():
		return false
	}
}

// Do posts f and waits until it has run. It reports false when the loop
// stopped first.
func (l *Loop) Do(f func(now time.Duration)) bool {
	done := make(chan struct{})
	if !l.Post(func(now time.Duration) {
		f(now)
		close(done)
	}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.tomb.Dead():
		return false
	}
}

// Every runs f on the loop at the given period until the loop is closed; a time
// that comes while the loop is busy is made up for once. Like Post it must not
// be called from inside a posted function.
func (l *Loop) Every(period time.Duration, f func(now time.Duration)) {
	l.NewTask(period, f).Start()
}

// NewTask returns a task that doesn't run before its start.
func (l *Loop) NewTask(period time.Duration, f func(now time.Duration)) *Task {
	return &Task{loop: l, period: period, run: f}
}

// Start lets the task run from a period later on; it must be called once, and
// not from inside a posted function.
func (t *Task) Start() {
	t.loop.Post(func(now time.Duration) {
		t.due = now + t.period
		t.loop.tasks = append(t.loop.tasks, t)
	})
}

const (
	// watchBeats is how often a watched loop shows within the limit that it is alive.
	watchBeats = 4
	// shortestBeat is the shortest time between two such signs.
	shortestBeat = time.Millisecond
)

// OnPause runs f on the loop, before anything else, whenever the loop has stood
// still for longer than the limit: the process was stopped, or a function took
// that long. Like Post it must not be called from inside a posted function.
func (l *Loop) OnPause(limit time.Duration, f func(now time.Duration)) {
	l.Post(func(time.Duration) {
		l.watches = append(l.watches, watch{limit: limit, run: f})
	})
	l.Every(max(limit/watchBeats, shortestBeat), func(time.Duration) {})
}

// Close stops the loop and waits for its goroutines.
func (l *Loop) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}
