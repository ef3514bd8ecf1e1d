package sycfleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// registerPause is the time between two attempts to write this VM's own record.
	registerPause = 3 * time.Second
	// maxRetired limits the former processes that are remembered of a VM.
	maxRetired = 4
)

// process is the number of a process, a start of a VM.
type process uint64

// processOf returns the number of the process with an incarnation.
func processOf(incarnation string) process { return process(xxhash.Sum64String(incarnation)) }

// short returns the half of the number by which messages name processes where a mistake does
// little harm.
func (p process) short() uint32 { return uint32(p) }

// vmRecord is the record that a VM writes of itself to the log. Its key is the VM's address.
type vmRecord struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the VM runs in.
	FailureDomain string `json:"failure_domain"`
	// Incarnation identifies one start of the VM.
	Incarnation string `json:"incarnation"`
	// Capacity is what the VM can do compared with others.
	Capacity float64 `json:"capacity,omitempty"`
}

// peerVM is what this VM knows of another VM.
type peerVM struct {
	// incarnation identifies the VM's present process, empty until it is known.
	incarnation string
	// retired holds the numbers of former processes, the latest last.
	retired []process
	// domain is the VM's failure domain, empty until it is known.
	domain string
	// capacity is what the VM can do compared with others, 0 if unknown.
	capacity float64
	// leaving is set if the VM has announced that it shuts down, and relay if it has
	// announced that it exchanges state with all relays itself.
	leaving, relay bool
	// listed is set if the VM's record is in the log.
	listed bool
	// heardAt is the latest time at which the VM is known to have run, or else when this VM
	// first knew of it.
	heardAt time.Duration
	// heard is set once the VM was heard of, directly or through others.
	heard bool
	// heardFrom is the address of the VM that has told the newest heardAt.
	heardFrom string
	// dropAskedAt is when this VM last asked the log to drop the VM's record, 0 if never.
	dropAskedAt time.Duration
}

// peers holds the other VMs.
type peers struct {
	// self is this VM's address.
	self string
	// seeds are the addresses to contact while no other VM answers.
	seeds []string
	// vms holds the other VMs by address.
	vms map[string]*peerVM
	// addresses holds the address of each present process, and shortAddresses the same by
	// the short number.
	addresses      map[process]string
	shortAddresses map[uint32]string
	// links holds the exchanges with other VMs by address.
	links map[string]*link
	// selfListed is the incarnation in this VM's own record in the log.
	selfListed string
	// stateAt is when the last state of another VM was received, and rejoinedAt when one was
	// after none had been for longCut, 0 if never.
	stateAt, rejoinedAt time.Duration
}

// newPeers returns a peers that holds no VM.
func newPeers(self string, seeds []string) *peers {
	return &peers{
		self: self, seeds: seeds,
		vms:            map[string]*peerVM{},
		addresses:      map[process]string{},
		shortAddresses: map[uint32]string{},
		links:          map[string]*link{},
	}
}

// observeState records that a state of another VM is received.
func (p *peers) observeState(now time.Duration) {
	if p.stateAt > 0 && now-p.stateAt > longCut {
		p.rejoinedAt = now
	}
	p.stateAt = now
}

// hasRejoined reports whether this VM could reach no other VM for longCut until lately.
func (p *peers) hasRejoined(now time.Duration) bool {
	return p.rejoinedAt > 0 && now-p.rejoinedAt < longCut
}

// runs reports whether a VM is heard and doesn't shut down. A VM that this one has just come
// to know counts as heard.
func (vm *peerVM) runs(now time.Duration) bool {
	return !vm.leaving && now-vm.heardAt < aliveWithin
}

// leaves reports whether a VM is heard and shuts down.
func (vm *peerVM) leaves(now time.Duration) bool {
	return vm.leaving && vm.heard && now-vm.heardAt < aliveWithin
}

// isFormer reports whether a process is a former one of the VM at an address.
func (p *peers) isFormer(address string, number process) bool {
	vm := p.vms[address]
	return vm != nil && slices.Contains(vm.retired, number) && processOf(vm.incarnation) != number
}

// learnMember updates what is known of a VM. Direct is set if the VM has said so itself just
// now. Other news of a former process changes nothing.
func (f *Fleet) learnMember(now time.Duration, m *sycgossippb.Member, direct bool) {
	if m.Address == "" || m.Address == f.options.Address || m.Incarnation == "" {
		return
	}
	vm, known := f.peers.vms[m.Address]
	if !known {
		vm = &peerVM{heardAt: now}
		f.peers.vms[m.Address] = vm
	}
	p := processOf(m.Incarnation)
	if vm.incarnation != m.Incarnation {
		if !direct && slices.Contains(vm.retired, p) {
			return
		}
		f.retireProcess(m.Address, vm)
		vm.incarnation, vm.heard, vm.heardAt = m.Incarnation, false, now
		f.peers.addresses[p], f.peers.shortAddresses[p.short()] = m.Address, m.Address
	}
	changed := !known || vm.leaving != m.Leaving
	if vm.relay && !m.Relay {
		f.forgetGroup(m.Address, p)
	}
	vm.domain, vm.capacity, vm.leaving, vm.relay = m.FailureDomain, m.Capacity, m.Leaving, m.Relay
	if changed {
		f.log.WithFields(logrus.Fields{"vm": m.Address, "leaving": m.Leaving, "vms": len(f.peers.vms) + 1}).Info("fleet: member changed")
		f.updateMembers(now)
	}
}

// forgetGroup forgets the loads of the group of a VM that is no relay any more.
func (f *Fleet) forgetGroup(address string, p process) {
	f.loads.dropGroup(address)
	f.selector.DropPeer(address)
	f.dropLoadChanges(p)
}

// retireProcess forgets all that came from the present process of a VM.
func (f *Fleet) retireProcess(address string, vm *peerVM) {
	if vm.incarnation == "" {
		return
	}
	p := processOf(vm.incarnation)
	vm.retired = append(vm.retired, p)
	vm.retired = vm.retired[max(len(vm.retired)-maxRetired, 0):]
	delete(f.peers.addresses, p)
	delete(f.peers.shortAddresses, p.short())
	f.dropChanges(p)
	f.loads.dropMember(address)
	f.loads.dropGroup(address)
	f.selector.DropPeer(address)
	vm.incarnation = ""
}

// dropVM forgets a VM.
func (f *Fleet) dropVM(now time.Duration, address string) {
	vm := f.peers.vms[address]
	if vm == nil {
		return
	}
	f.retireProcess(address, vm)
	delete(f.peers.vms, address)
	delete(f.peers.links, address)
	f.log.WithFields(logrus.Fields{"vm": address, "dropped": true, "vms": len(f.peers.vms) + 1}).Info("fleet: member changed")
	f.updateMembers(now)
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
	// A VM that is heard tells its present process itself, and the change may be older.
	vm := f.peers.vms[c.Key]
	heard := vm != nil && vm.heard && vm.runs(now)
	switch {
	case c.Deleted && (heard || vm != nil && vm.leaves(now)):
		vm.listed = false
		return
	case c.Deleted:
		f.dropVM(now, c.Key)
		return
	case !heard:
		f.learnMember(now, &sycgossippb.Member{Address: c.Key, FailureDomain: r.FailureDomain, Incarnation: r.Incarnation, Capacity: r.Capacity}, false)
	}
	if vm := f.peers.vms[c.Key]; vm != nil {
		vm.listed = true
	}
}

// updateMembers sets which VMs share the customers' limits and the retry budgets: this VM and
// all known VMs that aren't shutting down.
func (f *Fleet) updateMembers(now time.Duration) {
	var names, leaving []string
	for address, vm := range f.peers.vms {
		if vm.leaving {
			leaving = append(leaving, address)
		} else {
			names = append(names, address)
		}
	}
	f.quota.SetMembers(now, names, leaving...)
	allowance := f.options.Retries
	allowance.Floor /= float64(len(names) + 1)
	f.retries.SetAllowance(allowance)
}

// spreadRegistration lets this VM, if it has registered, write its own record again at the earliest after
// a part of registerPause, which is fixed by the hash of its incarnation. So VMs don't all write at the
// same time when a restored log lacks their records.
func (f *Fleet) spreadRegistration(now time.Duration) {
	if f.peers.selfListed != f.options.Incarnation {
		return
	}
	part := time.Duration(xxhash.Sum64String(f.options.Incarnation) % uint64(registerPause))
	f.registeredAt = now + part - registerPause
}

// isRegistered reports whether the log holds this VM's own record.
func (f *Fleet) isRegistered() bool {
	return f.peers.selfListed == f.options.Incarnation && !f.subscriptions[TopicVMs].Lacks(f.options.Address)
}

// register writes this VM's own record if the record in the log isn't of this incarnation, at
// most once per registerPause and not while the VM leaves. It forgets VMs that have been silent
// for maxVMSilence and aren't in the log. If this VM holds the lease, it drops the records of
// the others that are silent for so long.
func (f *Fleet) register(now time.Duration) {
	if !f.isRegistered() && now-f.registeredAt > registerPause && !f.leaving.Load() {
		f.registeredAt = now
		value, err := json.Marshal(vmRecord{
			Name:          f.options.Name,
			FailureDomain: f.options.FailureDomain,
			Incarnation:   f.options.Incarnation,
			Capacity:      f.options.Capacity,
		})
		if err == nil {
			f.putVM(f.options.Address, value)
		}
	}
	_, holds := f.lease.Holds(now)
	for address, vm := range f.peers.vms {
		switch silent := now-vm.heardAt > maxVMSilence; {
		case silent && !vm.listed:
			f.dropVM(now, address)
		case silent && holds && now-max(vm.heardAt, vm.dropAskedAt) > maxVMSilence:
			vm.dropAskedAt = now
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
