package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
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

	// dropHold is how long after an outage the endpoints that the log dropped in it may
	// take to come back, and latePart the part of the time within which an endpoint must be
	// left for which one waits that is dropped after it.
	dropHold = 2300 * time.Millisecond
	latePart = 0.5
	// outage is how long a feed is unknown until that counts as one.
	outage = 1500 * time.Millisecond
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
		TopicOperator:  newFeed(sycfeed.Hold{}, config, configPause),
		TopicEndpoints: newFeed(sycfeed.Hold{Back: dropHold, Late: scaled(drain, latePart)}, drain, min(scaled(drain, pausePart), mostPause)),
		TopicStatus:    {Feed: sycfeed.New(sycfeed.Hold{}), wait: statusWait, pause: statusPause, stale: statusStale},
		TopicVMs:       {Feed: sycfeed.New(sycfeed.Hold{}), wait: statusWait, pause: statusPause, stale: statusStale},
	}
}

func newFeed(hold sycfeed.Hold, within, pause time.Duration) *feed {
	stale := min(scaled(within, stalePart), mostStale)
	return &feed{Feed: sycfeed.New(hold), wait: max(stale-tellMargin, leastWait), pause: pause, stale: stale}
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

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
