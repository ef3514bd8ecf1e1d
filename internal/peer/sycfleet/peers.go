package sycfleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// maxOutboxPrompts limits the sent prompts that are queued for one other VM. The oldest
	// are dropped.
	maxOutboxPrompts = 200
	// maxStateRecords limits the records of one topic in one state.
	maxStateRecords = 200
	// registerPause is the time between two attempts to write this VM's own record.
	registerPause = 3 * time.Second
)

// vmRecord is the record that a VM writes of itself to the log. Its key is the VM's address.
type vmRecord struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the VM runs in.
	FailureDomain string `json:"failure_domain"`
	// Incarnation identifies one start of the VM.
	Incarnation string `json:"incarnation"`
}

// peerVM is what this VM knows of another VM.
type peerVM struct {
	// incarnation identifies the VM's start that sent its last state.
	incarnation string
	// lastReport is when the VM's last state was received, or else when this VM first knew of
	// it.
	lastReport time.Duration
	// leaving is set if the VM has announced that it shuts down.
	leaving bool
	// outbox holds the prompts that the next state for the VM reports as sent to endpoints.
	outbox []sycplace.SentPrompt
	// domain is the VM's failure domain, empty until its first state.
	domain string
	// pendingReports holds the cache reports for the next state for the VM.
	pendingReports []sycplace.CacheReport
	// wantsCaches is set if the VM has just started and asks for the reports of all engines'
	// caches.
	wantsCaches bool
	// listed is set if the VM's record is in the log.
	listed bool
	// next holds, by topic, the offset after the last record that the VM has.
	next map[string]int64
	// reported is set once the VM has sent a state.
	reported bool
}

// peers holds the other VMs.
type peers struct {
	// self is this VM's address.
	self string
	// seeds are the addresses to contact while no other VM is known.
	seeds []string
	// vms holds the other VMs by address.
	vms map[string]*peerVM
	// selfListed is the incarnation in this VM's own record in the log.
	selfListed string
}

// newPeers returns a peers that holds no VM.
func newPeers(self string, seeds []string) *peers {
	return &peers{self: self, seeds: seeds, vms: map[string]*peerVM{}}
}

// getOrAdd returns the VM with an address, which it adds if it is new.
func (p *peers) getOrAdd(now time.Duration, address string) *peerVM {
	vm := p.vms[address]
	if vm == nil {
		vm = &peerVM{lastReport: now, next: map[string]int64{}}
		p.vms[address] = vm
	}
	return vm
}

// applyVMChange applies a new or dropped record of a VM.
func (f *Fleet) applyVMChange(now time.Duration, c sycfeed.Change) {
	var r vmRecord
	if !c.Deleted {
		if err := json.Unmarshal(c.Value, &r); err != nil {
			f.log.WithError(err).WithField("vm", c.Key).Warn("fleet: decoding a VM's record failed")
			return
		}
	}
	if c.Key == f.options.Address {
		f.peers.selfListed = r.Incarnation
		return
	}
	if c.Deleted {
		delete(f.peers.vms, c.Key)
	} else {
		f.peers.getOrAdd(now, c.Key).listed = true
	}
	f.log.WithFields(logrus.Fields{"vm": c.Key, "dropped": c.Deleted, "vms": len(f.peers.vms) + 1}).Info("fleet: member changed")
	f.updateMembers(now)
}

// updateMembers sets which VMs share the customers' limits and the retry budgets: this VM and
// all known VMs that aren't shutting down.
func (f *Fleet) updateMembers(now time.Duration) {
	var names []string
	for address, vm := range f.peers.vms {
		if !vm.leaving {
			names = append(names, address)
		}
	}
	f.quota.SetMembers(now, names)
	allowance := f.options.Retries
	allowance.Floor /= float64(len(names) + 1)
	f.retries.SetAllowance(allowance)
}

// register writes this VM's own record if the record in the log isn't of this incarnation, at
// most once per registerPause and not while the VM leaves. If this VM holds the lease, it also
// drops the records of VMs that have been silent for maxVMSilence.
func (f *Fleet) register(now time.Duration) {
	if f.peers.selfListed != f.options.Incarnation && now-f.registeredAt > registerPause && !f.leaving.Load() {
		f.registeredAt = now
		value, err := json.Marshal(vmRecord{
			Name:          f.options.Name,
			FailureDomain: f.options.FailureDomain,
			Incarnation:   f.options.Incarnation,
		})
		if err == nil {
			f.putVM(f.options.Address, value)
		}
	}
	if _, holds := f.lease.Holds(now); !holds {
		return
	}
	for address, vm := range f.peers.vms {
		if vm.listed && now-vm.lastReport > maxVMSilence {
			// Delays another drop of the same record.
			vm.lastReport = now
			f.putVM(address, nil)
		}
	}
}

// putVM writes a VM's record to the log in the background. An empty value drops it.
func (f *Fleet) putVM(key string, value []byte) {
	f.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
		defer cancel()
		if err := f.options.Log.Put(ctx, TopicVMs, key, value); err != nil {
			f.log.WithError(err).WithField("vm", key).Warn("fleet: writing a VM's record failed")
		}
		return nil
	})
}

// Peers returns the addresses of the VMs to exchange states with. It implements
// sycgossip.Node.
func (f *Fleet) Peers() []string {
	var out []string
	f.loop.Do(func(time.Duration) {
		out = slices.Collect(maps.Keys(f.peers.vms))
		if len(out) == 0 {
			out = append(out, f.peers.seeds...)
		}
	})
	return out
}

// State returns this VM's state for a peer. It implements sycgossip.Node.
func (f *Fleet) State(peer string) *sycgossippb.State {
	var out *sycgossippb.State
	f.loop.Do(func(now time.Duration) { out = f.buildState(now, peer) })
	return out
}

// Answer returns this VM's state for the VM that sent one. It implements sycgossip.Node.
func (f *Fleet) Answer(in *sycgossippb.State) *sycgossippb.State { return f.State(in.Address) }

// topicState returns the offset and the age of this VM's copy of a topic, and the records that
// another VM lacks by its last state.
func (f *Fleet) topicState(now time.Duration, name string, vm *peerVM) *sycgossippb.Feed {
	s := f.subscriptions[name]
	out := &sycgossippb.Feed{Name: name, Next: s.Next(), AgeMilliseconds: (now - s.confirmedAt).Milliseconds()}
	if vm == nil || !vm.reported || vm.next[name] >= s.Next() {
		return out
	}
	records := s.Since(vm.next[name])
	if len(records) > maxStateRecords {
		records = records[:maxStateRecords]
		out.Next = records[len(records)-1].Offset + 1
	}
	for _, r := range records {
		out.Records = append(out.Records, &sycgossippb.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

// buildState returns this VM's state for a peer: usage of limits, loads, sent prompts, records
// of topics, the lease, rollouts and cache reports.
func (f *Fleet) buildState(now time.Duration, peer string) *sycgossippb.State {
	f.collectSent()
	out := &sycgossippb.State{
		Address:       f.options.Address,
		FailureDomain: f.options.FailureDomain,
		Incarnation:   f.options.Incarnation,
		Leaving:       f.leaving.Load(),
		Known:         slices.Collect(maps.Keys(f.peers.vms)),
	}
	for _, u := range f.quota.Report(now) {
		out.Usage = append(out.Usage, &sycgossippb.Usage{Customer: u.Customer, Spent: u.Spent, Level: u.Level})
	}
	for _, l := range f.selector.OwnLoads() {
		out.Loads = append(out.Loads, &sycgossippb.Load{Endpoint: l.Endpoint, Requests: int64(l.Requests), Fixed: int64(l.NonResumable), Tokens: int64(l.Tokens)})
	}
	if vm := f.peers.vms[peer]; vm != nil {
		for _, s := range vm.outbox {
			out.Sent = append(out.Sent, encodeSent(s))
		}
		vm.outbox = nil
	}
	for _, name := range []string{TopicOperator, TopicEndpoints, TopicVMs, TopicStatus} {
		out.Feeds = append(out.Feeds, f.topicState(now, name, f.peers.vms[peer]))
	}
	f.addDuty(now, out)
	f.addRollouts(now, out)
	f.addCacheReports(peer, out)
	return out
}

// collectSent moves the prompts sent since the last call to the outboxes of all peers.
func (f *Fleet) collectSent() {
	sent := f.selector.TakeSentPrompts()
	if len(sent) == 0 {
		return
	}
	for _, vm := range f.peers.vms {
		vm.outbox = append(vm.outbox, sent...)
		if over := len(vm.outbox) - maxOutboxPrompts; over > 0 {
			vm.outbox = slices.Delete(vm.outbox, 0, over)
		}
	}
}

func encodeSent(s sycplace.SentPrompt) *sycgossippb.Sent {
	out := &sycgossippb.Sent{Endpoint: s.Endpoint}
	for _, p := range s.Blocks {
		out.Hashes = append(out.Hashes, p.Hash)
		out.Tokens = append(out.Tokens, int64(p.Tokens))
	}
	return out
}

func decodeSent(s *sycgossippb.Sent) sycplace.SentPrompt {
	out := sycplace.SentPrompt{Endpoint: s.Endpoint}
	for i, h := range s.Hashes {
		if i < len(s.Tokens) {
			out.Blocks = append(out.Blocks, sycplace.Block{Hash: h, Tokens: int(s.Tokens[i])})
		}
	}
	return out
}

// Receive applies the state that another VM has sent. It implements sycgossip.Node.
func (f *Fleet) Receive(in *sycgossippb.State) {
	f.loop.Do(func(now time.Duration) { f.receiveState(now, in) })
}

// receiveState applies another VM's state.
func (f *Fleet) receiveState(now time.Duration, in *sycgossippb.State) {
	if in.Address == "" || in.Address == f.options.Address {
		return
	}
	_, known := f.peers.vms[in.Address]
	vm := f.peers.getOrAdd(now, in.Address)
	changed := !known || vm.leaving != in.Leaving
	vm.lastReport, vm.leaving, vm.incarnation = now, in.Leaving, in.Incarnation
	if f.subscriptions[TopicVMs].confirmedAt == 0 {
		for _, address := range in.Known {
			if address != f.options.Address && f.peers.vms[address] == nil {
				f.peers.getOrAdd(now, address)
				changed = true
			}
		}
	}
	if changed {
		f.updateMembers(now)
	}
	usage := make([]sycquota.Usage, 0, len(in.Usage))
	for _, u := range in.Usage {
		usage = append(usage, sycquota.Usage{Customer: u.Customer, Spent: u.Spent, Level: u.Level})
	}
	f.quota.Receive(now, in.Address, in.Incarnation, usage)
	var sent []sycplace.SentPrompt
	for _, s := range in.Sent {
		sent = append(sent, decodeSent(s))
	}
	loads := make([]sycplace.Load, 0, len(in.Loads))
	for _, l := range in.Loads {
		loads = append(loads, sycplace.Load{Endpoint: l.Endpoint, Requests: int(l.Requests), NonResumable: int(l.Fixed), Tokens: int(l.Tokens)})
	}
	f.selector.ApplyPeerReport(now, in.Address, loads, sent)
	f.receiveDuty(now, in)
	f.receiveCacheReports(now, vm, in)
	for _, topic := range in.Feeds {
		vm.next[topic.Name] = topic.Next
		f.receiveTopic(now, topic)
	}
	vm.reported = true
	f.receiveRollouts(now, in)
}

// receiveTopic applies another VM's records of a topic.
func (f *Fleet) receiveTopic(now time.Duration, in *sycgossippb.Feed) {
	s := f.subscriptions[in.Name]
	if s == nil {
		return
	}
	// The copy is as recent as the sender's only if it lacks none of the sender's records.
	if in.Next >= s.Next() && (len(in.Records) > 0 || in.Next == s.Next()) {
		s.confirm(now, now-time.Duration(in.AgeMilliseconds)*time.Millisecond)
	}
	if len(in.Records) == 0 {
		return
	}
	records := make([]sycfeed.Record, 0, len(in.Records))
	for _, r := range in.Records {
		records = append(records, sycfeed.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	f.applyChanges(now, in.Name, s.Apply(now, records, in.Next))
	s.loaded = true
}
