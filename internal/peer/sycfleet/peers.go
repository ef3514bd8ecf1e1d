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
	// outboxLimit bounds the prompts that wait to be told to a VM.
	outboxLimit = 200
	// recordsPerAnswer bounds the records told in one answer.
	recordsPerAnswer = 200
	// registerAgain is the time between two writes of a VM's own record.
	registerAgain = 3 * time.Second
)

// vmRecord is a VM's own record in the shared log.
type vmRecord struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
}

// peerVM is another VM.
type peerVM struct {
	incarnation string
	heard       time.Duration
	leaving     bool
	outbox      []sycplace.SentPrompt
	// domain is where the VM runs, empty until it has told.
	domain string
	// caches is what it is to be told of engines' caches; wantsCaches is set while it has
	// just started and knows nothing of them.
	caches      []sycplace.CacheReport
	wantsCaches bool
	// listed reports whether the VM's record lies in the log.
	listed bool
	// next is how far the VM has followed each feed, once it has told.
	next map[string]int64
	told bool
}

// peers holds what is known of the other VMs.
type peers struct {
	self  string
	seeds []string
	vms   map[string]*peerVM
	// selfListed is the incarnation in this VM's own record.
	selfListed string
}

func newPeers(self string, seeds []string) *peers {
	return &peers{self: self, seeds: seeds, vms: map[string]*peerVM{}}
}

func (p *peers) get(now time.Duration, address string) *peerVM {
	vm := p.vms[address]
	if vm == nil {
		vm = &peerVM{heard: now, next: map[string]int64{}}
		p.vms[address] = vm
	}
	return vm
}

func (f *Fleet) vmChanged(now time.Duration, c sycfeed.Change) {
	var r vmRecord
	if !c.Dropped {
		if err := json.Unmarshal(c.Value, &r); err != nil {
			f.log.WithError(err).WithField("vm", c.Key).Warn("fleet: VM's record can't be read")
			return
		}
	}
	if c.Key == f.options.Address {
		f.peers.selfListed = r.Incarnation
		return
	}
	if c.Dropped {
		delete(f.peers.vms, c.Key)
	} else {
		f.peers.get(now, c.Key).listed = true
	}
	f.log.WithFields(logrus.Fields{"vm": c.Key, "dropped": c.Dropped, "vms": len(f.peers.vms) + 1}).Info("fleet: member changed")
	f.members(now)
}

// members tells the limits who shares them.
func (f *Fleet) members(now time.Duration) {
	var names []string
	for address, vm := range f.peers.vms {
		if !vm.leaving {
			names = append(names, address)
		}
	}
	f.quota.SetMembers(now, names)
	allowance := f.options.Retries
	allowance.Floor /= float64(len(names) + 1)
	f.retries.Allow(allowance)
}

// register writes this VM's own record if it is missing, and lets the holder of
// the duties drop those of VMs that are gone.
func (f *Fleet) register(now time.Duration) {
	if f.peers.selfListed != f.options.Incarnation && now-f.registered > registerAgain && !f.leaving.Load() {
		f.registered = now
		value, err := json.Marshal(vmRecord{
			Name:          f.options.Name,
			FailureDomain: f.options.FailureDomain,
			Incarnation:   f.options.Incarnation,
		})
		if err == nil {
			f.put(f.options.Address, value)
		}
	}
	if _, holds := f.lease.Holds(now); !holds {
		return
	}
	for address, vm := range f.peers.vms {
		if vm.listed && now-vm.heard > goneAfter {
			vm.heard = now
			f.put(address, nil)
		}
	}
}

func (f *Fleet) put(key string, value []byte) {
	f.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), readGrace)
		defer cancel()
		if err := f.options.Log.Put(ctx, TopicVMs, key, value); err != nil {
			f.log.WithError(err).WithField("vm", key).Warn("fleet: VM's record not written")
		}
		return nil
	})
}

// Peers implements sycgossip.Node.
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

// State implements sycgossip.Node.
func (f *Fleet) State(peer string) *sycgossippb.State {
	var out *sycgossippb.State
	f.loop.Do(func(now time.Duration) { out = f.state(now, peer) })
	return out
}

// Answer implements sycgossip.Node.
func (f *Fleet) Answer(in *sycgossippb.State) *sycgossippb.State { return f.State(in.Address) }

// feedState returns a feed's position and the records that a VM lacks as far as
// it has told.
func (f *Fleet) feedState(now time.Duration, name string, vm *peerVM) *sycgossippb.Feed {
	d := f.feeds[name]
	out := &sycgossippb.Feed{Name: name, Next: d.Next(), AgeMilliseconds: (now - d.fresh).Milliseconds()}
	if vm == nil || !vm.told || vm.next[name] >= d.Next() {
		return out
	}
	records := d.Since(vm.next[name])
	if len(records) > recordsPerAnswer {
		records = records[:recordsPerAnswer]
		out.Next = records[len(records)-1].Offset + 1
	}
	for _, r := range records {
		out.Records = append(out.Records, &sycgossippb.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

func (f *Fleet) state(now time.Duration, peer string) *sycgossippb.State {
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
	for _, l := range f.placer.OwnLoads() {
		out.Loads = append(out.Loads, &sycgossippb.Load{Endpoint: l.Endpoint, Requests: int64(l.Requests), Fixed: int64(l.NonResumable), Tokens: int64(l.Tokens)})
	}
	if vm := f.peers.vms[peer]; vm != nil {
		for _, s := range vm.outbox {
			out.Sent = append(out.Sent, encodeSent(s))
		}
		vm.outbox = nil
	}
	for _, name := range []string{TopicOperator, TopicEndpoints, TopicVMs, TopicStatus} {
		out.Feeds = append(out.Feeds, f.feedState(now, name, f.peers.vms[peer]))
	}
	f.addDuty(now, out)
	f.addRollouts(now, out)
	f.addCaches(peer, out)
	return out
}

// collectSent hands the prompts sent since the last time to all outboxes.
func (f *Fleet) collectSent() {
	sent := f.placer.TakeSentPrompts()
	if len(sent) == 0 {
		return
	}
	for _, vm := range f.peers.vms {
		vm.outbox = append(vm.outbox, sent...)
		if over := len(vm.outbox) - outboxLimit; over > 0 {
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

// Heard implements sycgossip.Node.
func (f *Fleet) Heard(in *sycgossippb.State) {
	f.loop.Do(func(now time.Duration) { f.heard(now, in) })
}

func (f *Fleet) heard(now time.Duration, in *sycgossippb.State) {
	if in.Address == "" || in.Address == f.options.Address {
		return
	}
	_, known := f.peers.vms[in.Address]
	vm := f.peers.get(now, in.Address)
	changed := !known || vm.leaving != in.Leaving
	vm.heard, vm.leaving, vm.incarnation = now, in.Leaving, in.Incarnation
	if f.feeds[TopicVMs].fresh == 0 {
		for _, address := range in.Known {
			if address != f.options.Address && f.peers.vms[address] == nil {
				f.peers.get(now, address)
				changed = true
			}
		}
	}
	if changed {
		f.members(now)
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
	placed := make([]sycplace.Load, 0, len(in.Loads))
	for _, l := range in.Loads {
		placed = append(placed, sycplace.Load{Endpoint: l.Endpoint, Requests: int(l.Requests), NonResumable: int(l.Fixed), Tokens: int(l.Tokens)})
	}
	f.placer.ApplyPeerReport(now, in.Address, placed, sent)
	f.heardDuty(now, in)
	f.heardCaches(now, vm, in)
	for _, feed := range in.Feeds {
		vm.next[feed.Name] = feed.Next
		f.heardRecords(now, feed)
	}
	vm.told = true
	f.heardRollouts(now, in)
}

// heardRecords takes in what another VM knows of a feed.
func (f *Fleet) heardRecords(now time.Duration, in *sycgossippb.Feed) {
	own := f.feeds[in.Name]
	if own == nil {
		return
	}
	// A state is as fresh as the sender's only if no record of it is missing.
	if in.Next >= own.Next() && (len(in.Records) > 0 || in.Next == own.Next()) {
		own.refreshed(now, now-time.Duration(in.AgeMilliseconds)*time.Millisecond)
	}
	if len(in.Records) == 0 {
		return
	}
	records := make([]sycfeed.Record, 0, len(in.Records))
	for _, r := range in.Records {
		records = append(records, sycfeed.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	f.changed(now, in.Name, own.Apply(now, records, in.Next))
	own.started = true
}
