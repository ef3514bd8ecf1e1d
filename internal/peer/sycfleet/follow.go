package sycfleet

import (
	"context"
	"errors"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// readGrace is how long a read may take beyond its wait for records.
	readGrace = 700 * time.Millisecond
	// retryPause is the time between reads of a log that does not answer.
	retryPause = 200 * time.Millisecond
	// readers is how many VMs read the log for the others.
	readers = 2
	// heardLately is how long ago a VM was heard that counts as running.
	heardLately = time.Second
)

// follow follows one feed for as long as the VM runs.
func (f *Fleet) follow(name string) error {
	ctx := f.tomb.Context(context.Background())
	healthy, whole := true, true
	for f.tomb.Alive() {
		var next int64
		read := false
		f.loop.Do(func(now time.Duration) {
			next = f.feeds[name].Next()
			read = f.reads(now, name)
		})
		if !read && !whole {
			f.pause(retryPause / 2)
			continue
		}
		records, next, err := f.read(ctx, name, next, whole)
		if errors.Is(err, ErrTruncated) {
			whole = true
			continue
		}
		if err != nil {
			if healthy && f.tomb.Alive() {
				f.log.WithError(err).WithField("feed", name).Warn("fleet: log lost")
			}
			healthy = false
			f.pause(retryPause)
			continue
		}
		if !healthy {
			f.log.WithField("feed", name).Info("fleet: log answers again")
		}
		healthy = true
		f.loop.Do(func(now time.Duration) { f.wasRead(now, name, records, next, whole) })
		whole = false
		f.pause(f.feeds[name].pause)
	}
	return nil
}

// reads reports whether this VM should read the feed from the log itself.
func (f *Fleet) reads(now time.Duration, name string) bool {
	if now-f.feeds[name].fresh > f.feeds[name].stale {
		return true
	}
	lower := 0
	for address, vm := range f.peers.vms {
		if address < f.options.Address && !vm.leaving && now-vm.heard < heardLately {
			lower++
		}
	}
	return lower < readers
}

func (f *Fleet) read(ctx context.Context, name string, from int64, whole bool) ([]sycfeed.Record, int64, error) {
	wait := f.feeds[name].wait
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	if whole {
		return f.options.Log.Newest(ctx, name)
	}
	return f.options.Log.Read(ctx, name, from, wait)
}

func (f *Fleet) wasRead(now time.Duration, name string, records []sycfeed.Record, next int64, whole bool) {
	d := f.feeds[name]
	d.refreshed(now, now)
	var changes []sycfeed.Change
	if whole {
		changes = d.Replace(now, records, next)
	} else {
		changes = d.Apply(now, records, next)
	}
	f.changed(now, name, changes)
	d.started = true
	if len(changes) > 0 && name == TopicOperator {
		f.mesh.Kick()
	}
}

func (f *Fleet) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.tomb.Dying():
	case <-time.After(d):
	}
}
