package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// maxStateRecords limits the records of one topic in one state, but for those of a snapshot.
	maxStateRecords = 200
	// maxHeardAge is the greatest age at which a VM tells that it has heard of another.
	maxHeardAge = 3 * time.Second
)

// State returns this VM's state for a peer. It implements sycgossip.Node.
func (f *Fleet) State(peer string) *sycgossippb.State {
	var out *sycgossippb.State
	f.loop.DoControl(func(now time.Duration) { out = f.buildState(now, peer) })
	return out
}

// Answer returns this VM's state for the VM that sent one. It implements sycgossip.Node.
func (f *Fleet) Answer(in *sycgossippb.State) *sycgossippb.State { return f.State(in.Address) }

// buildState returns this VM's state for a peer: the changes and the records of topics that it
// doesn't have, the VMs that were heard from, and what the peer has asked for. A peer that hasn't sent a state
// lately only gets this VM's own changes.
func (f *Fleet) buildState(now time.Duration, peer string) *sycgossippb.State {
	f.publish(now)
	l := f.peers.link(peer)
	l.sentAt = now
	out := &sycgossippb.State{
		Address:       f.options.Address,
		FailureDomain: f.options.FailureDomain,
		Incarnation:   f.options.Incarnation,
		Leaving:       f.leaving.Load(),
		Capacity:      f.options.Capacity,
		Relay:         f.isRelay(),
		Received:      l.received,
		ReceivedFrom:  l.incarnation,
		WantsLevels:   !f.quota.Synced(),
		Era:           f.lease.Next().Era,
	}
	if now-l.receivedAt > aliveWithin {
		// The peer may not answer, like many others at that time, so it is sent little until it has.
		f.encodeOwnChanges(now, out)
		l.sentLoads = f.loads.own
		return out
	}
	f.encodeChanges(now, peer, l, out)
	f.addHeard(now, peer, l, out)
	for _, name := range []string{TopicOperator, TopicEndpoints, TopicVMs, TopicStatus} {
		out.Feeds = append(out.Feeds, f.topicState(now, name, peer, l))
	}
	if l.wantsLevels {
		for _, level := range f.quota.Levels(now) {
			out.Levels = append(out.Levels, &sycgossippb.Level{Customer: level.Customer, Level: level.Left})
		}
	}
	f.addRollouts(out)
	f.addCaches(peer, l, out)
	l.sentLoads = f.loads.own
	return out
}

// topicState returns the position and the age of this VM's copy of a topic, and the records that
// another VM lacks by its last state.
func (f *Fleet) topicState(now time.Duration, name, peer string, l *link) *sycgossippb.Feed {
	s := f.subscriptions[name]
	out := &sycgossippb.Feed{Name: name, AgeMilliseconds: (now - s.confirmedAt).Milliseconds()}
	page := sycfeed.Page{Next: s.Told()}
	if from, reported := l.next[name]; reported {
		page = s.Page(from, maxStateRecords)
		out.Since, out.Complete, out.Snapshot = encodePosition(from), page.Complete, page.Snapshot
	}
	out.Era, out.Next = page.Next.Era, page.Next.Offset
	if s.Asks(now) {
		out.Wanted = encodePosition(s.Wanted(now, peer))
	}
	for _, r := range page.Records {
		out.Records = append(out.Records, &sycgossippb.Record{
			Era: r.Position.Era, Offset: r.Position.Offset, Key: r.Key, Value: r.Value, Inferred: r.Inferred,
		})
	}
	return out
}

// encodePosition returns the message of a position.
func encodePosition(p sycfeed.Position) *sycgossippb.Position {
	return &sycgossippb.Position{Era: p.Era, Offset: p.Offset}
}

// decodePosition returns the position of a message.
func decodePosition(p *sycgossippb.Position) sycfeed.Position {
	return sycfeed.Position{Era: p.GetEra(), Offset: p.GetOffset()}
}

// wantedBy returns the position from which on the sender of a feed wants records.
func wantedBy(in *sycgossippb.Feed) sycfeed.Position {
	if in.Wanted != nil {
		return decodePosition(in.Wanted)
	}
	return sycfeed.Position{Era: in.Era, Offset: in.Next}
}

// addHeard adds to a state the processes that this VM has heard of, except those that the
// receiver hears of from other relays.
func (f *Fleet) addHeard(now time.Duration, peer string, l *link, out *sycgossippb.State) {
	for address, vm := range f.peers.vms {
		if !vm.heard || address == peer || now-vm.heardAt > maxHeardAge || l.relay && f.peers.isRelayLink(vm.heardFrom) {
			continue
		}
		out.Heard = append(out.Heard, processOf(vm.incarnation).short())
		out.HeardMilliseconds = append(out.HeardMilliseconds, uint32((now - vm.heardAt).Milliseconds()))
	}
}

// Receive applies the state that another VM has sent. It implements sycgossip.Node.
func (f *Fleet) Receive(in *sycgossippb.State) {
	f.loop.DoControl(func(now time.Duration) { f.receiveState(now, in) })
}

// receiveState applies another VM's state.
func (f *Fleet) receiveState(now time.Duration, in *sycgossippb.State) {
	if in.Address == "" || in.Address == f.options.Address || in.Incarnation == "" {
		return
	}
	f.learnMember(now, &sycgossippb.Member{
		Address: in.Address, FailureDomain: in.FailureDomain, Incarnation: in.Incarnation, Leaving: in.Leaving, Capacity: in.Capacity, Relay: in.Relay,
	}, true)
	f.peers.observeState(now)
	f.noteEra(now, in.Era)
	l := f.peers.link(in.Address)
	f.updateLink(now, l, in)
	if len(in.Levels) > 0 {
		levels := make([]sycquota.Level, 0, len(in.Levels))
		for _, level := range in.Levels {
			levels = append(levels, sycquota.Level{Customer: level.Customer, Left: level.Level})
		}
		f.quota.Sync(now, levels)
	}
	for _, o := range in.Origins {
		f.receiveOrigin(now, in.Address, o)
	}
	if in.Since <= l.received {
		l.received = max(l.received, in.Newest)
	}
	f.receiveHeard(now, in)
	f.subtractOwnLoads(in.Address, l)
	f.receiveCaches(now, in)
	for _, topic := range in.Feeds {
		l.next[topic.Name] = wantedBy(topic)
		f.receiveTopic(now, in.Address, topic)
	}
	f.receiveRollouts(in)
}

// updateLink updates the exchange with the sender of a state.
func (f *Fleet) updateLink(now time.Duration, l *link, in *sycgossippb.State) {
	if l.incarnation != in.Incarnation {
		l.reset(in.Incarnation)
	}
	l.receivedAt = now
	if l.relay != in.Relay {
		// What the sender needs and what its loads mean depends on what it is.
		l.relay, l.acknowledged = in.Relay, 0
		f.loads.dropMember(in.Address)
		f.loads.dropGroup(in.Address)
		f.selector.DropPeer(in.Address)
		l.received = 0
		f.dropLoadChanges(processOf(in.Incarnation))
	} else {
		l.acknowledged = 0
		if in.ReceivedFrom == f.options.Incarnation {
			l.acknowledged = in.Received
		}
	}
	l.wantsLevels, l.wantsCaches, l.cachesAfter = in.WantsLevels, in.WantsCaches, in.CachesAfter
}

// subtractOwnLoads takes this VM's own loads out of the sums of the relay that has just
// answered, if this VM sends its loads there. The sums include the last that were sent.
func (f *Fleet) subtractOwnLoads(address string, l *link) {
	if f.isRelay() || !l.relay || l.sentLoads == nil {
		return
	}
	for _, load := range withoutOwn(f.loads.groups[address], l.sentLoads) {
		f.selector.SetPeerLoad(address, load)
	}
}

// receiveHeard applies whom another VM has heard of. What the VMs heard of have admitted until
// then came with the same state or before.
func (f *Fleet) receiveHeard(now time.Duration, in *sycgossippb.State) {
	f.observeHeard(now, now, in.Address, in.Address)
	for i, short := range in.Heard {
		address, known := f.peers.shortAddresses[short]
		if !known || i >= len(in.HeardMilliseconds) {
			continue
		}
		f.observeHeard(now, now-time.Duration(in.HeardMilliseconds[i])*time.Millisecond, address, in.Address)
	}
}

// observeHeard records that a VM ran at a time, as another VM tells.
func (f *Fleet) observeHeard(now, at time.Duration, address, from string) {
	vm := f.peers.vms[address]
	if vm == nil || vm.heard && at <= vm.heardAt {
		return
	}
	vm.heardAt, vm.heard, vm.heardFrom = at, true, from
	f.quota.Heard(now, at, address, vm.incarnation)
	f.selector.HeardVM(now, at, address, vm.incarnation)
}

// receiveTopic applies another VM's records of a topic.
func (f *Fleet) receiveTopic(now time.Duration, from string, in *sycgossippb.Feed) {
	s := f.subscriptions[in.Name]
	if s == nil {
		return
	}
	page := decodePage(in)
	isAnswer := in.Since != nil
	if isAnswer && !page.Snapshot && s.Next().Before(decodePosition(in.Since)) {
		// It is for a former process at this VM's address, which had the records before: this one lacks them.
		f.noteEra(now, page.Next.Era)
		return
	}
	// The copy is as recent as the sender's only if it lacks none of the sender's records.
	isNewer := s.Next().Before(page.Next) &&
		(len(page.Records) > 0 || isAnswer && page.Complete && !s.Next().Before(decodePosition(in.Since)))
	if page.Next == s.Next() || isNewer {
		s.confirm(now, now-time.Duration(in.AgeMilliseconds)*time.Millisecond)
	}
	f.noteEra(now, page.Next.Era)
	if s.Next().Era < page.Next.Era && f.peers.hasRejoined(now) {
		s.late = true
	}
	var changes []sycfeed.Change
	if len(page.Records) > 0 || isNewer {
		changes = s.ApplyPage(now, page)
		s.loaded = true
	}
	if isAnswer && in.Wanted == nil {
		changes = append(changes, s.Answered(now, from, decodePosition(in.Since), page)...)
	}
	f.applyChanges(now, in.Name, changes)
	f.releaseConfig(now)
	f.announce(in.Name, len(changes))
}

// decodePage returns the page of a message.
func decodePage(in *sycgossippb.Feed) sycfeed.Page {
	out := sycfeed.Page{Next: sycfeed.Position{Era: in.Era, Offset: in.Next}, Complete: in.Complete, Snapshot: in.Snapshot}
	for _, r := range in.Records {
		out.Records = append(out.Records, sycfeed.Record{
			Position: sycfeed.Position{Era: r.Era, Offset: r.Offset}, Key: r.Key, Value: r.Value, Inferred: r.Inferred,
		})
	}
	return out
}

// announce starts an exchange at once if a topic that must be in force everywhere soon has
// changed.
func (f *Fleet) announce(topic string, changes int) {
	if changes > 0 && topic == TopicOperator {
		f.kick()
	}
}
