package sycfleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// readGrace is how long a call to the log may take beyond its wait for records. Writes
	// don't wait for records.
	readGrace = 700 * time.Millisecond
	// retryPause is the pause before another read of a log that doesn't answer.
	retryPause = 200 * time.Millisecond
	// readerCount is how many VMs read the log and send its records to the others.
	readerCount = 2
)

// follow reads a topic whenever this VM has to, until the VM stops. It begins with a snapshot,
// the newest record of each key, and takes another if the log has truncated the records after
// the last read.
func (f *Fleet) follow(topic string) error {
	ctx := f.tomb.Context(context.Background())
	healthy, snapshot := true, true
	for f.tomb.Alive() {
		var next sycfeed.Position
		var wait time.Duration
		shouldRead := false
		f.loop.DoControl(func(now time.Duration) {
			s := f.subscriptions[topic]
			next, wait = s.Next(), s.readWait(f.topology.IsDirect())
			shouldRead = f.shouldRead(now, topic)
		})
		if !shouldRead && !snapshot {
			f.pause(retryPause / 2)
			continue
		}
		records, next, err := f.readTopic(ctx, topic, next, wait, snapshot)
		if errors.Is(err, ErrTruncated) {
			snapshot = true
			continue
		}
		var era *EraError
		snapshot = snapshot || errors.As(err, &era)
		if err != nil {
			if healthy && f.tomb.Alive() {
				f.log.WithError(err).WithField("feed", topic).Warn("fleet: log lost")
			}
			healthy = false
			f.pause(retryPause)
			continue
		}
		if !healthy {
			f.log.WithField("feed", topic).Info("fleet: log recovered")
		}
		healthy = true
		f.loop.DoControl(func(now time.Duration) { f.applyRead(now, topic, records, next, snapshot) })
		snapshot = false
		f.pause(f.subscriptions[topic].pause)
	}
	return nil
}

// shouldRead reports whether this VM should read a topic itself: its copy is too old, or it is
// one of the readers.
func (f *Fleet) shouldRead(now time.Duration, topic string) bool {
	if now-f.subscriptions[topic].confirmedAt > f.subscriptions[topic].maxAge {
		return true
	}
	return slices.Contains(f.topology.Readers(readerCount), f.options.Address)
}

// readTopic reads a snapshot of a topic, or its records from a position on. It returns
// the position after them.
func (f *Fleet) readTopic(ctx context.Context, topic string, from sycfeed.Position, wait time.Duration, snapshot bool) ([]sycfeed.Record, sycfeed.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	if snapshot {
		return f.options.Log.Newest(ctx, topic)
	}
	return f.options.Log.Read(ctx, topic, from, wait)
}

// applyRead applies the records of a read, which end before the position next.
func (f *Fleet) applyRead(now time.Duration, topic string, records []sycfeed.Record, next sycfeed.Position, snapshot bool) {
	s := f.subscriptions[topic]
	s.confirm(now, now)
	var changes []sycfeed.Change
	if snapshot {
		changes = s.Replace(now, records, next)
	} else {
		changes = s.Apply(now, records, next)
	}
	f.applyChanges(now, topic, changes)
	s.loaded = true
	f.announce(topic, len(changes))
}

// pause waits for a time or until the VM stops.
func (f *Fleet) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.tomb.Dying():
	case <-time.After(d):
	}
}
