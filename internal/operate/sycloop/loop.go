// Package sycloop runs the one goroutine that owns a process's control state.
//
// Everything that changes control state is posted to the loop as a function.
// Traffic goroutines read immutable snapshots that the loop publishes and
// never touch control state themselves.
package sycloop

import (
	"time"

	"gopkg.in/tomb.v2"
)

// Depth is the number of posted functions that may wait. A full loop blocks
// its posters and drops nothing.
const Depth = 4096

// longestWait is the time between looks at a loop without tasks.
const longestWait = time.Hour

// Loop executes posted functions one at a time, in order.
type Loop struct {
	tomb  tomb.Tomb
	start time.Time
	work  chan func(now time.Duration)
	// tasks belongs to the loop's goroutine.
	tasks []*task
}

// task is a function that runs at a period.
type task struct {
	period time.Duration
	due    time.Duration
	run    func(now time.Duration)
}

// New starts a loop.
func New() *Loop {
	l := &Loop{
		start: time.Now(),
		work:  make(chan func(now time.Duration), Depth),
	}
	l.tomb.Go(func() error {
		timer := time.NewTimer(longestWait)
		defer timer.Stop()
		for {
			select {
			case <-l.tomb.Dying():
				return nil
			case f := <-l.work:
				known := len(l.tasks)
				f(l.Now())
				if len(l.tasks) > known {
					timer.Reset(0)
				}
			case <-timer.C:
				timer.Reset(l.runTasks())
			}
		}
	})
	return l
}

// runTasks runs the tasks that are due and returns the time to the next.
func (l *Loop) runTasks() time.Duration {
	for _, t := range l.tasks {
		if now := l.Now(); now >= t.due {
			t.run(now)
			t.due = max(t.due+t.period, now)
		}
	}
	wait := longestWait
	for _, t := range l.tasks {
		wait = min(wait, t.due-l.Now())
	}
	return max(wait, 0)
}

// Now is the monotonic time since the loop started.
func (l *Loop) Now() time.Duration {
	return time.Since(l.start)
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
	l.Post(func(now time.Duration) {
		l.tasks = append(l.tasks, &task{period: period, due: now + period, run: f})
	})
}

// Close stops the loop and waits for its goroutines.
func (l *Loop) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}
