package sycfleet

import (
	"context"
	"errors"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// dropHold is how long after an outage the endpoints that the log dropped in it may
	// take to come back, and latePart the part of the time within which an endpoint must be
	// left for which one waits that is dropped after it.
	dropHold = 2300 * time.Millisecond
	latePart = 0.5
	// outage is how long a feed is unknown until that counts as one.
	outage = 1500 * time.Millisecond
	// readGrace is how long a read may take beyond its wait for records.
	readGrace = 700 * time.Millisecond
	// retryPause is the time between reads of a log that does not answer.
	retryPause = 200 * time.Millisecond
	// readers is how many VMs read the log for the others.
	readers = 2
	// heardLately is how long ago a VM was heard that counts as running.
	heardLately = time.Second
	// stalePart is the part of the time within which a record must have reached all VMs
	// after which they read for themselves. The rest must do for that read and a second try.
	stalePart = 0.55
	mostStale = 1400 * time.Millisecond
	// tellMargin is what it takes until the others have heard that a read has ended.
	tellMargin = gossipPeriod + 100*time.Millisecond
	// leastWait keeps reads from following each other at once where the time is short.
	leastWait = 100 * time.Millisecond
	// pausePart is the part of that time between two reads of endpoints, so that their
	// many records come in batches.
	pausePart   = 0.2
	mostPause   = 400 * time.Millisecond
	configPause = 20 * time.Millisecond
	// statusStale, statusWait and statusPause are those times where no bound stands.
	statusStale = 5 * time.Second
	statusWait  = 3 * time.Second
	statusPause = 500 * time.Millisecond
)

// feed is a log that all VMs follow. Few of them read it; the others hear of it.
type feed struct {
	*sycfeed.Feed
	// wait is how long a read waits for records.
	wait time.Duration
	// pause is the time between two reads, so that records come in batches.
	pause time.Duration
	// stale is the age from which on every VM reads the log itself.
	stale time.Duration
	// started is false until a state of the log was taken in once.
	started bool
	// since is the earliest time at which what is being applied can have happened.
	// After an outage that stays for a while, since news that were sent before its
	// end may arrive after it.
	since      time.Duration
	sinceUntil time.Duration
	// fresh is when the state was last known to be that of the log.
	fresh time.Duration
}

// newFeeds returns the feeds of logs. Configurations, and endpoints that leave, must have
// reached all VMs within the given times.
func newFeeds(config, drain time.Duration) map[string]*feed {
	return map[string]*feed{
		FeedOperator:  newFeed(sycfeed.Hold{}, config, configPause),
		FeedEndpoints: newFeed(sycfeed.Hold{Back: dropHold, Late: part(latePart, drain)}, drain, min(part(pausePart, drain), mostPause)),
		FeedStatus:    {Feed: sycfeed.New(sycfeed.Hold{}), wait: statusWait, pause: statusPause, stale: statusStale},
		FeedVMs:       {Feed: sycfeed.New(sycfeed.Hold{}), wait: statusWait, pause: statusPause, stale: statusStale},
	}
}

func newFeed(hold sycfeed.Hold, within, pause time.Duration) *feed {
	stale := min(part(stalePart, within), mostStale)
	return &feed{Feed: sycfeed.New(hold), wait: max(stale-tellMargin, leastWait), pause: pause, stale: stale}
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

// refreshed tells that a feed's state was the log's at some time, which comes
// before the records of that time are applied.
func (d *feed) refreshed(now, at time.Duration) {
	if at <= d.fresh {
		return
	}
	if now-d.fresh > max(outage, d.stale) && d.fresh > 0 {
		d.since, d.sinceUntil = d.fresh, now+outage
		d.Returned(now)
	} else if now > d.sinceUntil {
		d.since = now
	}
	d.fresh = at
}

// happened is the earliest time at which a change that is being applied can have
// happened: a VM that starts, or wakes, meets changes of unknown age.
func (d *feed) happened(now time.Duration) time.Duration {
	if !d.started {
		return now - longAgo
	}
	return min(now, d.since)
}

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
		if errors.Is(err, ErrDropped) {
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
	if len(changes) > 0 && name == FeedOperator {
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
