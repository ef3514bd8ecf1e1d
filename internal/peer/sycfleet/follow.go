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
	// maxRetryPause limits the pauses before further snapshots, which grow while the log refuses
	// to read on from the last one.
	maxRetryPause = 5 * time.Second
	// newsPatience is how long a VM that isn't one of the readers waits for their news of a new
	// era before it takes a snapshot itself.
	newsPatience = 600 * time.Millisecond
	// readerCount is how many VMs read the log and send its records to the others.
	readerCount = 2
)

// follower reads a topic.
type follower struct {
	fleet *Fleet
	topic string
	// healthy is set while the log answers.
	healthy bool
	// snapshot is set if the next read must be a snapshot, the newest record of each key.
	snapshot bool
	// truncations counts the reads since the last successful one for which the log didn't keep
	// the records.
	truncations int
}

// plan says what a follower does next.
type plan struct {
	// read is set if this VM has to read now.
	read bool
	// from and wait are where a read begins, and how long it waits for records.
	from sycfeed.Position
	wait time.Duration
}

// follow reads a topic whenever this VM has to, until the VM stops. It begins with a snapshot,
// and takes another in each new era of the log, or if the log has truncated the records after
// the last read.
func (f *Fleet) follow(topic string) error {
	ctx := f.tomb.Context(context.Background())
	r := &follower{fleet: f, topic: topic, healthy: true, snapshot: true}
	for f.tomb.Alive() {
		var p plan
		f.loop.DoControl(func(now time.Duration) { p = r.plan(now) })
		if !p.read {
			f.pause(retryPause / 2)
			continue
		}
		f.pause(r.step(ctx, p))
	}
	return nil
}

// plan returns what to do next. A VM that has to read takes a snapshot first in each new era,
// which shows what the restored log lacks.
func (r *follower) plan(now time.Duration) plan {
	s := r.fleet.subscriptions[r.topic]
	out := plan{from: s.Next(), wait: s.readWait(r.fleet.topology.IsDirect())}
	if isTold := s.Next().Era < s.toldEra; isTold && now < s.newsUntil {
		return out
	} else if isTold || s.late {
		r.snapshot = true
	}
	out.read = r.snapshot || r.fleet.shouldRead(now, r.topic)
	r.snapshot = r.snapshot || out.read && s.SnapshotEra() < s.Next().Era
	return out
}

// step reads the topic once and returns the pause until the next read.
func (r *follower) step(ctx context.Context, p plan) time.Duration {
	f, snapshot := r.fleet, r.snapshot
	records, next, tail, err := r.read(ctx, p)
	var era *EraError
	switch {
	case errors.As(err, &era) && era.Era > p.from.Era && !snapshot:
		f.loop.DoControl(func(now time.Duration) { f.expectNews(now, r.topic, era.Era) })
		return 0
	case errors.Is(err, ErrTruncated):
		r.snapshot = true
		r.truncations++
		return r.truncationPause()
	case err != nil:
		if r.healthy && f.tomb.Alive() {
			f.log.WithError(err).WithField("feed", r.topic).Warn("fleet: log lost")
		}
		r.healthy = false
		return retryPause
	}
	if !r.healthy {
		f.log.WithField("feed", r.topic).Info("fleet: log recovered")
	}
	r.healthy, r.snapshot = true, false
	if !snapshot {
		r.truncations = 0
	}
	f.loop.DoControl(func(now time.Duration) { f.applyRead(now, r.topic, records, next, snapshot, tail) })
	return f.subscriptions[r.topic].pause
}

// truncationPause returns the pause before a snapshot: none after the first read for which the
// log didn't keep the records, and longer ones if it doesn't keep those after a snapshot.
func (r *follower) truncationPause() time.Duration {
	if r.truncations <= 1 {
		return 0
	}
	return min(retryPause<<min(r.truncations-2, 8), maxRetryPause)
}

// expectNews records that the log is in a new era. The readers take a snapshot at once, the other
// VMs wait for their news for a while.
func (f *Fleet) expectNews(now time.Duration, topic string, era int64) {
	s := f.subscriptions[topic]
	s.toldEra, s.newsUntil = era, now
	if !f.isReader() {
		s.newsUntil += newsPatience
	}
}

// isReader reports whether this VM is one of the readers.
func (f *Fleet) isReader() bool {
	return slices.Contains(f.topology.Readers(readerCount), f.options.Address)
}

// shouldRead reports whether this VM should read a topic itself: its copy is too old, or it is
// one of the readers.
func (f *Fleet) shouldRead(now time.Duration, topic string) bool {
	return now-f.subscriptions[topic].confirmedAt > f.subscriptions[topic].maxAge || f.isReader()
}

// read reads a snapshot of the topic, or its records from a position on. It returns the position
// after them, and with a snapshot that leaves open where a new era begins the records which tell.
func (r *follower) read(ctx context.Context, p plan) (records []sycfeed.Record, next sycfeed.Position, tail []sycfeed.Record, err error) {
	log := r.fleet.options.Log
	ctx, cancel := context.WithTimeout(ctx, p.wait+readGrace)
	defer cancel()
	if !r.snapshot {
		records, next, err = log.Read(ctx, r.topic, p.from, p.wait)
		return records, next, nil, err
	}
	if records, next, err = log.Newest(ctx, r.topic); err != nil {
		return nil, next, nil, err
	}
	if next.Era < p.from.Era {
		return nil, next, nil, &EraError{Era: next.Era}
	}
	var from sycfeed.Position
	needed := false
	r.fleet.loop.DoControl(func(time.Duration) { from, needed = r.fleet.subscriptions[r.topic].Probe(records, next) })
	if needed {
		// Without the tail the snapshot still suffices.
		tail, _, _ = log.Read(ctx, r.topic, from, 0)
	}
	return records, next, tail, nil
}

// applyRead applies the records of a read, which end before the position next.
func (f *Fleet) applyRead(now time.Duration, topic string, records []sycfeed.Record, next sycfeed.Position, snapshot bool, tail []sycfeed.Record) {
	s := f.subscriptions[topic]
	// An answer from before a restore may come after other VMs' news of it.
	if next.Era < s.Next().Era {
		return
	}
	s.confirm(now, now)
	var changes []sycfeed.Change
	if snapshot {
		changes = s.Replace(now, records, next, tail...)
		s.late = false
	} else {
		changes = s.Read(now, records, next)
	}
	f.noteEra(now, next.Era)
	f.applyChanges(now, topic, changes)
	if topic == TopicOperator && snapshot {
		f.applyUncertain(now, s.Uncertain())
	}
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
