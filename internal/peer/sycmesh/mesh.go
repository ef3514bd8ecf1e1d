// Package sycmesh keeps a VM in touch with the others: it reads the platform's
// list, exchanges introductions and passes digests on. What is known of the
// others is kept by package sycmember, on the control loop.
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
	// listPeriod is the time between readings of the platform's list.
	listPeriod = time.Second
	// helloPeriod is the time between looks at which introductions are due.
	helloPeriod = 100 * time.Millisecond
	// sharePeriod is the time between digests.
	sharePeriod = 250 * time.Millisecond
	// callsAtOnce bounds the calls of one kind that run together.
	callsAtOnce = 32
	// stateLive and stateLeaving are the states of entries in the platform's list.
	stateLive    = "live"
	stateLeaving = "leaving"
)

var log = syclogging.New("mesh")

// Digests is what VMs tell each other in digests.
type Digests interface {
	// Fill fills in what this VM tells a VM; same tells whether that VM is
	// in the same failure domain. It is not called on the control loop.
	Fill(same bool, out *sycpeerpb.ShareRequest)
	// Apply takes what a VM told.
	Apply(in *sycpeerpb.ShareRequest)
	// Urgent yields when a digest should go out before its time.
	Urgent() <-chan struct{}
}

// Options configure a Mesh.
type Options struct {
	Loop     *sycloop.Loop
	Client   *sycpeer.Client
	List     *syclist.Client
	Self     sycmember.VM
	Settings sycmember.Settings
	// Roster is shared with other parts on the control loop; nil makes one from
	// Self and Settings.
	Roster *sycmember.Roster
	// Applied returns the offsets after the newest records on whose state this
	// VM acts; it is called on the control loop.
	Applied func() (config, system uint64)
	// Changed is called on the control loop after news of other VMs; it may be nil.
	Changed func(now time.Duration)
	Digests Digests
}

// Mesh keeps a VM in touch with the others.
type Mesh struct {
	options Options
	tomb    tomb.Tomb
	// roster belongs to the control loop.
	roster *sycmember.Roster
	// listTried is set once this VM has tried to register in the list, which
	// comes before its introductions.
	listTried atomic.Bool
	// leaving is closed when the VM is about to stop.
	leaving chan struct{}
	// sequence, toldNear and toldFar belong to the goroutine of the digests; the
	// last two tell whether the newest digest said anything.
	sequence uint64
	toldNear bool
	toldFar  bool
}

// New starts to keep in touch.
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
		m.every(helloPeriod, nil, m.introduce)
		return nil
	})
	m.tomb.Go(func() error {
		m.every(sharePeriod, o.Digests.Urgent(), m.share)
		return nil
	})
	return m
}

// every calls f at once and then at the period, and when urgent yields.
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

// Close stops keeping in touch and waits.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Roster is what is known of the other VMs; it may be used on the control loop only.
func (m *Mesh) Roster() *sycmember.Roster { return m.roster }

// Leave tells the platform and the other VMs that this VM is leaving.
func (m *Mesh) Leave(ctx context.Context) error {
	close(m.leaving)
	m.options.Loop.Do(func(time.Duration) { m.roster.Leave() })
	return m.options.List.Put(ctx, m.entry())
}

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

// readList registers this VM where the list does not show it as it is, and
// takes the reading in.
func (m *Mesh) readList(ctx context.Context) {
	defer m.listTried.Store(true)
	var began time.Duration
	m.options.Loop.Do(func(now time.Duration) { began = now })
	list, err := m.options.List.List(ctx)
	if err != nil {
		log.Debugf("the list could not be read: %v", err)
		return
	}
	own := m.entry()
	shown := false
	vms := make([]sycmember.VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		shown = shown || vm == own
		vms = append(vms, sycmember.VM{
			Address:       vm.Address,
			FailureDomain: vm.FailureDomain,
			Leaving:       vm.State == stateLeaving,
		})
	}
	if !shown {
		m.register(ctx, own)
	}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.Listed(began, vms)
		m.changed(now)
	})
}

func (m *Mesh) register(ctx context.Context, entry syclist.VM) {
	if err := m.options.List.Put(ctx, entry); err != nil {
		log.Debugf("this VM could not be listed: %v", err)
	}
}

func (m *Mesh) changed(now time.Duration) {
	if m.options.Changed != nil {
		m.options.Changed(now)
	}
}

// introduce sends the introductions that are due.
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
	m.fan(due, func(address string) {
		reply, err := m.options.Client.Hello(ctx, address, request)
		if err != nil {
			log.Debugf("VM %s does not answer: %v", address, err)
			return
		}
		m.answered(sent, reply)
	})
}

func (m *Mesh) fan(addresses []string, call func(address string)) {
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for _, address := range addresses {
		group.Go(func() error {
			call(address)
			return nil
		})
	}
	group.Wait()
}

func (m *Mesh) answered(sent time.Duration, reply *sycpeerpb.HelloReply) {
	report := sycmember.Report{
		VM:         decode(reply.GetVm()),
		ConfigNext: reply.GetConfigNext(),
		SystemNext: reply.GetSystemNext(),
	}
	for _, k := range reply.GetKnown() {
		report.Known = append(report.Known, decode(k))
	}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.Answered(now, sent, report)
		m.changed(now)
	})
}

// Hello answers an introduction.
func (m *Mesh) Hello(_ context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	reply := &sycpeerpb.HelloReply{}
	m.options.Loop.Do(func(now time.Duration) {
		m.roster.Seen(now, decode(in.GetFrom()))
		m.changed(now)
		reply.Vm = encode(m.roster.Self())
		reply.ConfigNext, reply.SystemNext = m.options.Applied()
		for _, vm := range m.roster.Known() {
			reply.Known = append(reply.Known, encode(vm))
		}
	})
	return reply, nil
}

func encode(vm sycmember.VM) *sycpeerpb.Vm {
	return &sycpeerpb.Vm{
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Incarnation:   vm.Incarnation,
		Leaving:       vm.Leaving,
	}
}

func decode(vm *sycpeerpb.Vm) sycmember.VM {
	return sycmember.VM{
		Address:       vm.GetAddress(),
		FailureDomain: vm.GetFailureDomain(),
		Incarnation:   vm.GetIncarnation(),
		Leaving:       vm.GetLeaving(),
	}
}
