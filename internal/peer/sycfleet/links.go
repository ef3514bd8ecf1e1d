package sycfleet

import (
	"cmp"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/syctopology"
)

const (
	// directPeriod is the time between two exchanges of a pair of VMs in a fleet whose VMs
	// all exchange state with each other. relayPeriod is the same in other fleets, where
	// news take up to maxHops exchanges.
	directPeriod = 150 * time.Millisecond
	relayPeriod  = 100 * time.Millisecond
	// maxHops is the largest number of exchanges until news have reached every VM.
	maxHops = 3
	// linkSilence is how long a VM that is called may send no state before another relay is
	// called instead, and before the VM with the higher address calls, too.
	linkSilence = 400 * time.Millisecond
	// minLinkPause is the time until a VM that didn't answer is called again. It doubles each
	// time, up to maxLinkPause. Until it answers it counts as unreachable.
	minLinkPause = time.Second
	maxLinkPause = 2 * time.Second
	// probesPerPeriod is how many of the VMs that aren't heard a relay calls in a period, in
	// turn, to find those that can be reached again.
	probesPerPeriod = 2
	// maxRecalls is how many of the VMs that didn't answer a VM calls again in a period.
	maxRecalls = 4
	// aliveWithin is how long after it was last heard of a VM counts as running.
	aliveWithin = 1200 * time.Millisecond
	// linkLifetime is how long an exchange is remembered after it was last used or tried.
	linkLifetime = 10 * time.Second
)

// link is the state of the exchange with another VM.
type link struct {
	// incarnation identifies the process that the state below is of, empty before its first
	// state.
	incarnation string
	// relay is set if the process exchanges state with all relays itself. It is assumed of a
	// VM that hasn't sent a state yet, so that only this VM's own changes are sent to it.
	relay bool
	// received is the number of the process's latest change that this VM has.
	received int64
	// acknowledged is the number of this VM's latest change that the process has.
	acknowledged int64
	// next holds, by topic, the position from which on the process wants records.
	next map[string]sycfeed.Position
	// receivedAt is when its last state was received, and sentAt when the last state for it
	// was built.
	receivedAt, sentAt time.Duration
	// answeredAt is when it last answered a call, and callingSince when this VM began to call
	// it without an answer since, 0 if it doesn't call.
	answeredAt, callingSince time.Duration
	// unreachable is set if it didn't answer. It is then called again at callAt, linkPause
	// after the last call.
	unreachable       bool
	callAt, linkPause time.Duration
	// sentLoads holds this VM's own loads in the last state for it, by endpoint.
	sentLoads map[string]sycplace.Load
	// wantsCaches is set if it has just started and asks for the reports of engines' caches
	// after the engine cachesAfter, and wantsLevels if it asks for the levels of limits.
	wantsCaches bool
	cachesAfter string
	wantsLevels bool
}

// link returns the state of the exchange with the VM at an address, at first an empty one.
func (p *peers) link(address string) *link {
	l := p.links[address]
	if l == nil {
		l = &link{relay: true, next: map[string]sycfeed.Position{}}
		p.links[address] = l
	}
	return l
}

// isRelayLink reports whether state from the VM at an address came from a relay, which passes
// it on to all other relays itself. It is assumed of VMs that are gone.
func (p *peers) isRelayLink(address string) bool {
	l := p.links[address]
	return l == nil || l.relay
}

// reset forgets the exchange with a former process.
func (l *link) reset(incarnation string) {
	*l = link{
		incarnation: incarnation, relay: true, next: map[string]sycfeed.Position{},
		receivedAt: l.receivedAt, sentAt: l.sentAt, answeredAt: l.answeredAt, callingSince: l.callingSince,
	}
}

// self returns this VM for the topology.
func (f *Fleet) self() syctopology.VM {
	return syctopology.VM{Address: f.options.Address, FailureDomain: f.options.FailureDomain, Capacity: f.options.Capacity}
}

// updateTopology decides anew which VMs are relays, and with which VMs this one exchanges
// state on its own account. Relays that don't answer this VM are replaced.
func (f *Fleet) updateTopology(now time.Duration) {
	self := f.self()
	var vms []syctopology.VM
	if !f.leaving.Load() {
		vms = append(vms, self)
	}
	for address, vm := range f.peers.vms {
		if vm.runs(now) && vm.domain != "" && !f.isUnreachable(address) {
			vms = append(vms, syctopology.VM{Address: address, FailureDomain: vm.domain, Capacity: vm.capacity})
		}
	}
	wasRelay := f.isRelay()
	f.topology = syctopology.New(vms)
	f.partners = f.topology.Partners(self)
	if f.isRelay() != wasRelay {
		f.forgetOthersLoads()
	}
	if direct := f.topology.IsDirect(); direct != f.direct.Load() {
		f.direct.Store(direct)
		f.quota.SetRelayDelay(relayDelay(direct))
		f.configureLimits(now)
	}
	for address, l := range f.peers.links {
		if now-max(l.receivedAt, l.sentAt, l.callingSince, l.callAt) > linkLifetime {
			delete(f.peers.links, address)
		}
	}
}

// relayDelay returns how long news of a VM are under way beyond one exchange.
func relayDelay(direct bool) time.Duration {
	if direct {
		return 0
	}
	return (maxHops - 1) * relayPeriod
}

// isUnreachable reports whether the VM at an address didn't answer this VM's last calls.
func (f *Fleet) isUnreachable(address string) bool {
	l := f.peers.links[address]
	return l != nil && l.unreachable
}

// expireChanges forgets changes that are no longer told, and the loads of VMs that aren't heard.
func (f *Fleet) expireChanges(now time.Duration) {
	f.changes.Expire(now)
	for address := range f.loads.members {
		if now-f.peers.link(address).receivedAt > aliveWithin {
			f.forgetLoads(address)
		}
	}
	for address := range f.loads.groups {
		vm := f.peers.vms[address]
		heard := vm != nil && vm.runs(now)
		if heard != f.loads.muted[address] {
			continue
		}
		f.loads.muted[address] = !heard
		f.selector.DropPeer(address)
		for _, load := range f.loads.heard(address) {
			f.selector.SetPeerLoad(address, load)
		}
	}
}

// forgetLoads forgets the loads of a VM that sends them to this one, so that it sends them anew
// when it is back.
func (f *Fleet) forgetLoads(address string) {
	l := f.peers.link(address)
	f.dropLoadChanges(processOf(l.incarnation))
	l.received = 0
	f.loads.dropMember(address)
	f.selector.DropPeer(address)
}

// resetPeerLoads applies the loads that other VMs told of an endpoint before this VM had its record.
func (f *Fleet) resetPeerLoads(endpoint string) {
	for address, loads := range f.loads.members {
		if load, ok := loads[endpoint]; ok {
			f.selector.SetPeerLoad(address, load)
		}
	}
	for address, loads := range f.loads.groups {
		if load, ok := loads[endpoint]; ok && !f.loads.muted[address] {
			f.selector.SetPeerLoad(address, load)
		}
	}
}

// forgetOthersLoads forgets the loads of VMs that are no relays, which this VM adds to its own only
// as a relay. They send them anew.
func (f *Fleet) forgetOthersLoads() {
	for address := range f.loads.members {
		f.forgetLoads(address)
	}
	for address := range f.loads.groups {
		if !f.peers.isRelayLink(address) {
			f.loads.dropGroup(address)
			f.forgetLoads(address)
		}
	}
}

// isRelay reports whether this VM exchanges state with all relays itself.
func (f *Fleet) isRelay() bool { return f.topology.IsRelay(f.options.Address) }

// Period returns the time between two exchanges with a peer. It implements sycgossip.Node.
func (f *Fleet) Period() time.Duration {
	if f.direct.Load() {
		return directPeriod
	}
	return relayPeriod
}

// Peers returns the addresses of the VMs that this VM calls now, or of all partners. It
// implements sycgossip.Node.
func (f *Fleet) Peers(all bool) []string {
	var out []string
	f.loop.DoControl(func(now time.Duration) {
		f.updateTopology(now)
		out = f.callees(now, all)
	})
	return out
}

// callees returns the addresses that this VM calls now. These are its partners. Of two relays only
// the one with the lower address calls, unless that one is silent or all is set. Unless all is set,
// a relay also calls some VMs that aren't heard. While no partner sends states, the seeds are
// called, too.
func (f *Fleet) callees(now time.Duration, all bool) []string {
	var out []string
	answered := false
	for _, address := range f.partners {
		l := f.peers.link(address)
		silent := now-l.receivedAt > linkSilence
		answered = answered || !silent
		if !all && f.isRelay() && f.options.Address > address && !silent {
			continue
		}
		f.observeCall(now, l)
		out = append(out, address)
	}
	if !all {
		out = append(out, f.unreachable(now)...)
	}
	if !all && f.isRelay() {
		out = append(out, f.probes(now)...)
	}
	if answered {
		return out
	}
	for _, seed := range f.peers.seeds {
		if !slices.Contains(out, seed) && seed != f.options.Address {
			out = append(out, seed)
		}
	}
	return out
}

// unreachable returns the VMs that didn't answer and are to be called again, those first that have waited
// longest for it.
func (f *Fleet) unreachable(now time.Duration) []string {
	var out []string
	for address, l := range f.peers.links {
		if vm := f.peers.vms[address]; vm != nil && !vm.leaving && l.unreachable && now >= l.callAt {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.peers.links[a].callAt, f.peers.links[b].callAt), cmp.Compare(a, b))
	})
	out = out[:min(len(out), maxRecalls)]
	for _, address := range out {
		l := f.peers.links[address]
		l.linkPause = min(2*l.linkPause, maxLinkPause)
		l.callAt = now + l.linkPause
	}
	return out
}

// probes returns the VMs that aren't heard and whose turn it is to be called.
func (f *Fleet) probes(now time.Duration) []string {
	var silent []string
	for address, vm := range f.peers.vms {
		if !vm.leaving && !vm.runs(now) {
			silent = append(silent, address)
		}
	}
	slices.Sort(silent)
	var out []string
	for range min(probesPerPeriod, len(silent)) {
		f.probed++
		out = append(out, silent[f.probed%len(silent)])
	}
	return out
}

// Answered records that a VM has answered a call. It implements sycgossip.Node.
func (f *Fleet) Answered(peer string) {
	f.loop.DoControl(func(now time.Duration) { f.observeAnswer(now, peer) })
}

// observeAnswer records that a VM has answered a call.
func (f *Fleet) observeAnswer(now time.Duration, peer string) {
	l := f.peers.link(peer)
	l.answeredAt, l.unreachable, l.linkPause = now, false, 0
}

// observeCall records that this VM calls a VM. One that hasn't answered for linkSilence counts
// as unreachable until it answers.
func (f *Fleet) observeCall(now time.Duration, l *link) {
	switch {
	case l.callingSince == 0 || l.answeredAt >= l.callingSince:
		l.callingSince = now
	case now-l.callingSince > linkSilence:
		l.unreachable, l.linkPause = true, minLinkPause
		l.callingSince, l.callAt = 0, now+l.linkPause
	}
}
