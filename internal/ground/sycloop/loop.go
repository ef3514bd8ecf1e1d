// Package sycloop implements an event loop: one goroutine that owns the control
// state of a process.
//
// Control state is the state by which requests are decided, such as leases, rate
// slots (fractions of every customer's rate, see sycslot) and claims (records that
// let one VM run a request, see sycclaims). It is changed only by functions that run
// on the loop.
// Goroutines that handle requests don't access it. They read immutable snapshots
// that functions on the loop publish.
//
// Functions on the loop are posted functions, tasks (run periodically) and pause
// handlers (run after the loop was paused). Each gets the loop's time, see
// Loop.Now.
//
// Posted functions wait in two queues. Control work, such as news of other VMs, leases and
// orders, has a queue that goes before the one of the requests, so that a backlog of
// requests doesn't make a VM act on old knowledge.
package sycloop

import (
	"math"
	"time"

	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// QueueSize is the largest number of posted functions in each queue. While its queue
// is full, posting a function blocks; no function is dropped.
const QueueSize = 4096

// never is a time of the loop that is later than any task is due.
const never = time.Duration(math.MaxInt64)

// Loop runs posted functions one at a time, those of each queue in the order in which they
// were posted, and tasks between them. Its methods are safe for concurrent use.
type Loop struct {
	// tomb stops the loop's goroutine and waits for it.
	tomb tomb.Tomb
	// clock reads a clock that also advances while the machine is suspended.
	clock func() time.Duration
	// start is the clock's time at which the loop's time is 0.
	start time.Duration
	// traffic and control have the posted functions that haven't run.
	traffic, control chan function

	// Only the loop's goroutine uses the fields below.

	// turn decides which of the two queues is served next.
	turn turn
	// tasks has all started tasks.
	tasks []*Task
	// pauseHandlers has the functions registered by OnPause.
	pauseHandlers []pauseHandler
	// lastActive is the loop's time at which it last began to run a function or
	// tasks.
	lastActive time.Duration
	// wakeAt is the loop's time at which the timer for tasks fires.
	wakeAt time.Duration
}

// function is a posted function. It is called with the loop's time.
type function func(now time.Duration)

// pauseHandler is a function that runs after the loop was paused.
type pauseHandler struct {
	// limit is the length above which a pause calls run.
	limit time.Duration
	// run is called with the loop's time.
	run func(now time.Duration)
}

// Task is a function that a loop runs periodically.
type Task struct {
	loop *Loop
	// period is the time between two runs.
	period time.Duration
	// due is the loop's time of the next run.
	due time.Duration
	// run is called with the loop's time.
	run func(now time.Duration)
}

// SetPeriod changes the period. If the next run is more than the new period away,
// it's moved to that time. SetPeriod must be called on the loop.
func (t *Task) SetPeriod(period time.Duration) {
	if t.period == period {
		return
	}
	t.period = period
	t.due = min(t.due, t.loop.Now()+period)
}

// New starts a loop whose time is 0 now.
func New() *Loop { return newLoop(sycclock.Now, sycclock.Now()) }

// NewBootTime starts a loop whose time is the time since the machine booted, as
// returned by sycclock.Now.
func NewBootTime() *Loop { return newLoop(sycclock.Now, 0) }

// NewWithClock starts a loop whose time is the clock's. Tests with simulated time need a
// clock of their own.
func NewWithClock(clock func() time.Duration) *Loop { return newLoop(clock, 0) }

// newLoop starts a loop whose time is the clock's time since start.
func newLoop(clock func() time.Duration, start time.Duration) *Loop {
	l := &Loop{
		clock:   clock,
		start:   start,
		traffic: make(chan function, QueueSize),
		control: make(chan function, QueueSize),
	}
	l.lastActive = l.Now()
	l.tomb.Go(func() error {
		timer := time.NewTimer(never)
		defer timer.Stop()
		l.wakeAt = never
		for l.tomb.Alive() {
			if !l.runReady() {
				l.waitAndRun(timer)
			}
			l.runDueTasks(timer)
		}
		return nil
	})
	return l
}

// runReady runs the next posted function and returns false if there is none.
func (l *Loop) runReady() bool {
	first, second := l.control, l.traffic
	if l.turn.isTraffic(len(l.traffic)) {
		first, second = second, first
	}
	for _, queue := range []chan function{first, second} {
		select {
		case f := <-queue:
			l.run(f, queue == l.control)
			return true
		default:
		}
	}
	return false
}

// waitAndRun waits for a posted function and runs it. It returns early if tasks are due or
// the loop closes.
func (l *Loop) waitAndRun(timer *time.Timer) {
	select {
	case <-l.tomb.Dying():
	case f := <-l.control:
		l.run(f, true)
	case f := <-l.traffic:
		l.run(f, false)
	case <-timer.C:
		l.wakeAt = never
	}
}

// run runs a posted function.
func (l *Loop) run(f function, control bool) {
	began := l.checkPause()
	f(began)
	l.turn.record(control, l.Now()-began)
}

// checkPause runs the pause handlers whose limit is shorter than the time since
// the loop was last active. It returns the loop's time after that.
func (l *Loop) checkPause() time.Duration {
	now := l.Now()
	pause := now - l.lastActive
	l.lastActive = now
	handled := false
	for _, h := range l.pauseHandlers {
		if pause > h.limit {
			h.run(now)
			handled = true
		}
	}
	if handled {
		now = l.Now()
	}
	return now
}

// runDueTasks runs each task that is due once, and sets the timer for the next.
func (l *Loop) runDueTasks(timer *time.Timer) {
	if l.Now() >= l.nextDue() {
		l.checkPause()
		l.runTasks()
	}
	if next := l.nextDue(); next != l.wakeAt {
		l.wakeAt = next
		timer.Reset(next - l.Now())
	}
}

// runTasks runs each task that is due once, and sets when it is due next.
func (l *Loop) runTasks() {
	for _, t := range l.tasks {
		if now := l.Now(); now >= t.due {
			t.due = max(t.due+t.period, now)
			t.run(now)
		}
	}
}

// nextDue returns when the next task is due, or never if there are no tasks.
func (l *Loop) nextDue() time.Duration {
	next := never
	for _, t := range l.tasks {
		next = min(next, t.due)
	}
	return next
}

// Now returns the loop's time. It advances while the machine is suspended, so that
// leases, rate slots and claims also expire during a suspension.
func (l *Loop) Now() time.Duration {
	return l.clock() - l.start
}

// Post adds f to the queue of the requests, and returns false if it couldn't because
// the loop was closed. Post must not be called on the loop: if the queue were full,
// the loop would wait for itself.
func (l *Loop) Post(f func(now time.Duration)) bool { return l.post(l.traffic, f) }

// PostControl adds f to the queue of control work, which goes before the requests. It is
// otherwise like Post.
func (l *Loop) PostControl(f func(now time.Duration)) bool { return l.post(l.control, f) }

// Do posts f and waits until it has run. It returns false if the loop stopped
// before that. Like Post it must not be called on the loop.
func (l *Loop) Do(f func(now time.Duration)) bool { return l.do(l.traffic, f) }

// DoControl is like Do for control work.
func (l *Loop) DoControl(f func(now time.Duration)) bool { return l.do(l.control, f) }

// Waiting returns how many functions wait in the queue of the requests and in that of the
// control work.
func (l *Loop) Waiting() (traffic, control int) { return len(l.traffic), len(l.control) }

// post adds f to a queue.
func (l *Loop) post(queue chan<- function, f function) bool {
	select {
	case queue <- f:
		return true
	case <-l.tomb.Dying():
		return false
	}
}

// do adds f to a queue and waits until it has run.
func (l *Loop) do(queue chan<- function, f function) bool {
	done := make(chan struct{})
	if !l.post(queue, func(now time.Duration) {
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

// Every runs f on the loop periodically, first after one period, until the loop is
// closed. If the loop is busy when a run is due, f runs as soon as the loop is free.
// Of the further runs that were due meanwhile, only one is made up for. Like Post it
// must not be called on the loop.
func (l *Loop) Every(period time.Duration, f func(now time.Duration)) {
	l.NewTask(period, f).Start()
}

// NewTask returns a task that runs f periodically once it is started.
func (l *Loop) NewTask(period time.Duration, f func(now time.Duration)) *Task {
	return &Task{loop: l, period: period, run: f}
}

// Start starts the task, which first runs after one period. It must be called only
// once. Like Post it must not be called on the loop.
func (t *Task) Start() {
	t.loop.Post(func(now time.Duration) {
		t.due = now + t.period
		t.loop.tasks = append(t.loop.tasks, t)
	})
}

const (
	// heartbeatsPerLimit is the number of heartbeats within the limit of a pause
	// handler. A heartbeat is an empty task, without which an idle loop would be
	// taken for a paused one.
	heartbeatsPerLimit = 4
	// minHeartbeat is the shortest time between heartbeats.
	minHeartbeat = time.Millisecond
)

// OnPause registers f to run on the loop after each pause longer than the limit,
// before any other posted function or task. A pause is a time without progress of
// the loop, because the process was stopped, the machine was suspended or a
// function took that long. Like Post it must not be called on the loop.
func (l *Loop) OnPause(limit time.Duration, f func(now time.Duration)) {
	l.Post(func(time.Duration) {
		l.pauseHandlers = append(l.pauseHandlers, pauseHandler{limit: limit, run: f})
	})
	l.Every(max(limit/heartbeatsPerLimit, minHeartbeat), func(time.Duration) {})
}

// Close stops the loop and waits until the function that it runs has returned.
// Functions still in the queue may not run.
func (l *Loop) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}
