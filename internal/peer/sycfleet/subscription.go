package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// maxAgePart sets a subscription's maxAge, as a part of the time within which a record
	// must have reached all VMs. The rest must suffice for a VM's own read of the log and
	// a second try.
	maxAgePart = 0.55
	// maxAgeLimit limits maxAge where records may take long to reach all VMs.
	maxAgeLimit = 1400 * time.Millisecond
	// directMargin is the time until the other VMs have received that a read has ended, and
	// relayMargin the same where relays pass it on.
	directMargin = directPeriod + 100*time.Millisecond
	relayMargin  = maxHops*relayPeriod + 100*time.Millisecond
	// minReadWait is the least time that a read waits for records, so that reads don't
	// follow each other without a pause where records must arrive within a short time.
	minReadWait = 100 * time.Millisecond

	// endpointsPausePart sets the pause between two reads of endpoints' records, as a part
	// of the time within which they must reach all VMs. There are many of them, and the
	// pause lets one read return several.
	endpointsPausePart = 0.2
	// maxEndpointsPause limits that pause.
	maxEndpointsPause = 400 * time.Millisecond
	// operatorPause is the pause between two reads of operators' records.
	operatorPause = 20 * time.Millisecond

	// relaxedMaxAge, relaxedWait and relaxedPause are the maxAge, wait and pause of
	// subscriptions whose records don't have to reach all VMs within a given time.
	relaxedMaxAge = 5 * time.Second
	relaxedWait   = 3500 * time.Millisecond
	relaxedPause  = 500 * time.Millisecond

	// dropDelay is how long after an outage of the log this VM keeps endpoints that were
	// dropped during it, since their owners may write them again.
	dropDelay = 2300 * time.Millisecond
	// revivalDelay is how long an endpoint or a VM stays dropped whose drop a restored log
	// lacks. Until then the platform drops it again if it is gone.
	revivalDelay = 10 * time.Second
	// vmRestoreDelay is how long a VM stays known whose record a restored log lacks. It is
	// longer than VMs take to write their records again.
	vmRestoreDelay = registerPause + 2*time.Second
	// longCut is how long a VM must be cut off from the other VMs so as not to rely on them for
	// what a restored log lacks.
	longCut = 10 * time.Second
	// lateDropPart limits the delay for an endpoint that is dropped only after the outage,
	// as a part of the time within which a leaving endpoint must get no more requests.
	lateDropPart = 0.4
	// minOutage is the least time since a subscription's confirmedAt that counts as an
	// outage of the log. A subscription with a greater maxAge has that as the least time.
	minOutage = 1500 * time.Millisecond
)

// subscription is this VM's copy of a topic of the log. A few VMs read the topic and send its
// records to the others, which read it themselves only if their copy gets too old.
type subscription struct {
	// Topic holds the newest record of each key.
	*sycfeed.Topic
	// wait is the time from the end of a read until the others have received the end of the
	// next one.
	wait time.Duration
	// pause is the time between two reads, so that records come in batches.
	pause time.Duration
	// maxAge is the time since confirmedAt from which on this VM reads the topic itself.
	maxAge time.Duration
	// loaded is set once this VM has read the topic or applied another VM's records of it.
	loaded bool
	// earliestChange is the earliest time at which the changes that are applied now can
	// have been made. After an outage it stays the same until earliestUntil, since states
	// that other VMs sent before the outage's end may arrive after it.
	earliestChange time.Duration
	// earliestUntil is until when earliestChange stays the same after an outage.
	earliestUntil time.Duration
	// confirmedAt is the latest time at which the copy is known to have matched the log.
	confirmedAt time.Duration
	// toldEra is the newest era that the log has told this VM of, and newsUntil is until when it
	// waits for other VMs' news of it.
	toldEra   int64
	newsUntil time.Duration
	// late is set if this VM learned of a new era when it could reach the others again, and
	// hasn't taken a snapshot since. It may hold what the log has lost and nobody else knows.
	late bool
}

// operatorWithin returns the time within which operators' records must have reached all VMs.
func operatorWithin(o Options) time.Duration {
	if o.EvacuateWithin == 0 {
		return o.ConfigWithin
	}
	return min(o.ConfigWithin, o.EvacuateWithin)
}

// newSubscriptions returns the subscriptions to all topics. Operators' records must have
// reached all VMs within the time operator, and endpoints' records within the time drain.
func newSubscriptions(operator, drain time.Duration) map[string]*subscription {
	kept := sycfeed.DeletionDelay{AfterRestore: dropDelay, Revival: revivalDelay, KeepLost: true}
	return map[string]*subscription{
		TopicOperator: newSubscription(kept, operator, operatorPause),
		TopicEndpoints: newSubscription(sycfeed.DeletionDelay{
			AfterOutage: dropDelay, NewDeletion: scaled(drain, lateDropPart), AfterRestore: dropDelay, Revival: revivalDelay,
		}, drain, min(scaled(drain, endpointsPausePart), maxEndpointsPause)),
		TopicStatus: {Topic: sycfeed.New(kept), wait: relaxedWait, pause: relaxedPause, maxAge: relaxedMaxAge},
		TopicVMs: {
			Topic: sycfeed.New(sycfeed.DeletionDelay{AfterRestore: vmRestoreDelay, Revival: revivalDelay}),
			wait:  relaxedWait, pause: relaxedPause, maxAge: relaxedMaxAge,
		},
	}
}

// newSubscription returns the subscription to a topic whose records must have reached all VMs
// within a time. delay sets how long dropped records are kept after an outage of the log.
func newSubscription(delay sycfeed.DeletionDelay, within, pause time.Duration) *subscription {
	maxAge := min(scaled(within, maxAgePart), maxAgeLimit)
	return &subscription{Topic: sycfeed.New(delay), wait: maxAge, pause: pause, maxAge: maxAge}
}

// readWait returns how long a read waits for records, in a fleet whose VMs all exchange state or
// in another.
func (s *subscription) readWait(direct bool) time.Duration {
	margin := relayMargin
	if direct {
		margin = directMargin
	}
	return max(s.wait-s.pause-margin, minReadWait)
}

// scaled returns a duration multiplied by a factor.
func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// confirm records that the copy matches the log's state at a time. The caller calls it before
// it applies the records of that time.
func (s *subscription) confirm(now, at time.Duration) {
	if at <= s.confirmedAt {
		return
	}
	if now-s.confirmedAt > max(minOutage, s.maxAge) && s.confirmedAt > 0 {
		s.earliestChange, s.earliestUntil = s.confirmedAt, now+minOutage
		s.OutageEnded(now)
	} else if now > s.earliestUntil {
		s.earliestChange = now
	}
	s.confirmedAt = at
}

// changeTime returns the earliest time at which a change that is applied now can have been
// made. A VM that starts, or resumes after a pause, gets changes of unknown age.
func (s *subscription) changeTime(now time.Duration) time.Duration {
	if !s.loaded {
		return now - longAgo
	}
	return min(now, s.earliestChange)
}
