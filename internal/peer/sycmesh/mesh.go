// Package sycmesh connects this VM with the other VMs of the fleet. It registers this VM
// in the platform's list of VMs, reads the list, exchanges introductions and exchanges
// digests.
//
// An introduction is an RPC (Hello) by which VMs learn of each other and of the offsets
// that they have applied. A digest is an RPC (Share) by which a VM reports up to several
// times per second: the load of endpoints, the service (the work done for each customer),
// evidence (the counts that versions are judged by) and endpoints that it couldn't reach.
// The roster of package sycmember holds the other VMs and is used on the control loop only.
package sycmesh

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/port/syclist"
)

const (
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = time.Second
	// introductionPeriod is the time between checks for introductions that are due.
	introductionPeriod = 100 * time.Millisecond
	// digestPeriod is the time between two digests, unless one is urgent.
	digestPeriod = 250 * time.Millisecond
	// maxCalls limits the RPCs of one kind, introductions or digests, that run at the same
	// time.
	maxCalls = 32
	// stateLive and stateLeaving are the states of a VM in the platform's list: in service,
	// and about to stop.
	stateLive    = "live"
	stateLeaving = "leaving"
)

var log = syclogging.New("mesh")

// Digests fills and applies the digests that VMs send to each other.
type Digests interface {
	// Fill adds this VM's reports to a digest. SameDomain tells whether the digest is
	// for the VMs of this VM's failure domain or for those of the others. It isn't called
	// on the control loop.
	Fill(sameDomain bool, out *sycpeerpb.ShareRequest)
	// Apply applies a digest that another VM sent. It isn't called on the control loop.
	Apply(in *sycpeerpb.ShareRequest)
	// Urgent returns a channel that receives a value when a digest should be sent before
	// its period ends.
	Urgent() <-chan struct{}
}

// Options configure a Mesh.
type Options struct {
	// Loop is the control loop.
	Loop *sycloop.Loop
	// Client calls other VMs.
	Client *sycpeer.Client
	// List reads and writes the platform's list of VMs.
	List *syclist.Client
	// Self is this VM, as it introduces itself.
	Self sycmember.VM
	// Settings configure the roster if Roster is nil.
	Settings sycmember.Settings
	// Roster holds the other VMs. It may be shared with other packages on the control
	// loop. If it's nil, New makes one from Self and Settings.
	Roster *sycmember.Roster
	// Applied returns the offsets after the newest records of the config and the system
	// stream of the log whose state this VM acts on. It's called on the control loop.
	Applied func() (config, system uint64)
	// Changed is called on the control loop after the roster may have changed. It may be
	// nil.
	Changed func(now time.Duration)
	// Digests fills the digests that this VM sends and applies those that it receives.
	Digests Digests
}

// Mesh exchanges introductions and digests with the other VMs.
type Mesh struct {
	// options are the options that New received.
	options Options
	// tomb runs the mesh's goroutines.
	tomb tomb.Tomb
	// roster holds the other VMs; it's used on the control loop only.
	roster *sycmember.Roster
	// listTried is set once this VM has tried to read the list and to register in it. It
	// sends no introductions before.
	listTried atomic.Bool
	// leaving is closed by Leave. From then on this VM's list entry has stateLeaving.
	leaving chan struct{}

	// The goroutine that sends digests owns the fields below.

	// sequence is the number of the latest digest.
	sequence uint64
	// sentNear and sentFar tell whether the latest digest for this failure domain and for
	// the other ones held load, service or evidence.
	sentNear bool
	sentFar  bool
}

// New returns a mesh and starts its goroutines. Close stops them.
func New(o Options) *Mesh {
	if o.Roster == nil {
		o.Roster = sycmember.New(o.Self, o.Settings)
	}
	m := &Mesh{
		options: o,
		roster:  o.Roster,
		leaving: make(chan struct{}),
	}
	m.tomb.Go(func() error {
		m.every(listPeriod, nil, m.readList)
		return nil
	})
	m.tomb.Go(func() error {
		m.every(introductionPeriod, nil, m.introduce)
		return nil
	})
	m.tomb.Go(func() error {
		m.every(digestPeriod, o.Digests.Urgent(), m.sendDigests)
		return nil
	})
	return m
}

// every calls f at once, then after each period and when urgent receives a value, until
// the mesh closes.
func (m *Mesh) every(period time.Duration, urgent <-chan struct{}, f func(ctx context.Context)) {
	ctx := m.tomb.Context(context.Background())
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-urgent:
		}
	}
}

// Close stops the goroutines and waits for them.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Roster returns the roster of the other VMs; it may be used on the control loop only.
func (m *Mesh) Roster() *sycmember.Roster { return m.roster }

// Leave announces to the platform and to the other VMs that this VM is about to stop. It
// must be called at most once.
func (m *Mesh) Leave(ctx context.Context) error {
	close(m.leaving)
	m.options.Loop.Do(func(time.Duration) { m.roster.Leave() })
	return m.options.List.Put(ctx, m.entry())
}

// entry returns this VM's entry for the platform's list.
func (m *Mesh) entry() syclist.VM {
	entry := syclist.VM{
		ID:            m.options.Self.Address,
		Address:       m.options.Self.Address,
		FailureDomain: m.options.Self.FailureDomain,
		State:         stateLive,
	}
	select {
	case <-m.leaving:
		entry.State = stateLeaving
	default:
	}
	return entry
}

// readList reads the platform's list and applies it to the roster. It registers this VM if
// the list doesn't hold its current entry.
func (m *Mesh) readList(ctx context.Context) {
	defer m.listTried.Store(true)
	var start time.Duration
	m.options.Loop.Do(func(now time.Duration) { start = now })
	list, err := m.options.List.List(ctx)
	if err != nil {
		log.Debugf("reading the platform's list failed: %v", err)
		return
	}
	own := m.entry()
	listed := false
	vms := make([]sycmember.VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		listed = listed || vm == own
		vms = append(vms, sycmember.VM{
			Address:       vm.Address,
			FailureDomain: vm.FailureDomain,
			Leaving:       vm.State == stateLeaving,
		})
	}
	if !listed {
		m.register(ctx, own)
	}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.ApplyList(start, vms)
		m.notify(now)
	})
}

// register writes this VM's entry to the platform's list.
func (m *Mesh) register(ctx context.Context, entry syclist.VM) {
	if err := m.options.List.Put(ctx, entry); err != nil {
		log.Debugf("registering this VM in the platform's list failed: %v", err)
	}
}

// notify calls Options.Changed. It runs on the control loop.
func (m *Mesh) notify(now time.Duration) {
	if m.options.Changed != nil {
		m.options.Changed(now)
	}
}

// introduce sends the introductions that are due and applies the replies. It does nothing
// until this VM has tried to register in the list.
func (m *Mesh) introduce(ctx context.Context) {
	if !m.listTried.Load() {
		return
	}
	var due []string
	var sent time.Duration
	var request *sycpeerpb.HelloRequest
	m.options.Loop.Do(func(now time.Duration) {
		sent = now
		due = m.roster.Due(now)
		config, system := m.options.Applied()
		request = &sycpeerpb.HelloRequest{From: encode(m.roster.Self()), ConfigNext: config, SystemNext: system}
	})
	m.callEach(due, func(address string) {
		reply, err := m.options.Client.Hello(ctx, address, request)
		if err != nil {
			log.Debugf("VM %s does not answer: %v", address, err)
			return
		}
		m.applyReply(sent, reply)
	})
}

// callEach calls the function for every address, at most maxCalls at the same time, and
// waits for all calls.
func (m *Mesh) callEach(addresses []string, call func(address string)) {
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for _, address := range addresses {
		group.Go(func() error {
			call(address)
			return nil
		})
	}
	group.Wait()
}

// applyReply applies the reply to an introduction to the roster. Sent is when the
// introduction was sent, on the loop's clock.
func (m *Mesh) applyReply(sent time.Duration, reply *sycpeerpb.HelloReply) {
	report := sycmember.Report{
		VM:         decode(reply.GetVm()),
		ConfigNext: reply.GetConfigNext(),
		SystemNext: reply.GetSystemNext(),
	}
	for _, k := range reply.GetKnown() {
		report.Known = append(report.Known, decode(k))
	}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.ApplyReport(now, sent, report)
		m.notify(now)
	})
}

// Hello serves another VM's introduction. The reply holds this VM, its applied offsets and
// VMs that it knows.
func (m *Mesh) Hello(_ context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	reply := &sycpeerpb.HelloReply{}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.ReceiveIntroduction(now, decode(in.GetFrom()))
		m.notify(now)
		reply.Vm = encode(m.roster.Self())
		reply.ConfigNext, reply.SystemNext = m.options.Applied()
		for _, vm := range m.roster.Known() {
			reply.Known = append(reply.Known, encode(vm))
		}
	})
	return reply, nil
}

// encode converts a VM for an RPC.
func encode(vm sycmember.VM) *sycpeerpb.Vm {
	return &sycpeerpb.Vm{
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Incarnation:   vm.Incarnation,
		Leaving:       vm.Leaving,
	}
}

// decode converts a VM of an RPC.
func decode(vm *sycpeerpb.Vm) sycmember.VM {
	return sycmember.VM{
		Address:       vm.GetAddress(),
		FailureDomain: vm.GetFailureDomain(),
		Incarnation:   vm.GetIncarnation(),
		Leaving:       vm.GetLeaving(),
	}
}
