// Package sycversion carries out rollouts of model versions, with the decisions of package
// sycrollout. A version is a set of weights, with or without an adapter, that serves a model.
// The versions under rollout are each rollout's candidate, which is the new version, and its
// predecessor.
//
// Every VM records the results of attempts by the versions under rollout as evidence. It
// sends that evidence to its peers in digests, which are messages that VMs exchange
// periodically, and sets the traffic share of each version. If the evidence shows a fault,
// the VM vetoes the candidate, which then gets no more requests from any VM.
//
// One VM is the leader, by a lease that it renews in the log. It also sends engines their
// orders to load and unload weights, and appends each rollout's progress to the log. Each
// order has a fencing number, which is the log offset of the leader's lease. Engines that
// check it reject orders with a lower number than one that they have received.
//
// In a re-evaluation, a version that already had all requests is compared side by side with
// its predecessor again. In probation, which follows the last stage of a rollout, the
// predecessor stays loaded, so that the version can still be rolled back.
package sycversion

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/traffic/sycorder"
)

const (
	// LeaseName is the name of the lease whose holder leads rollouts.
	LeaseName = "rollout"
	// DefaultLease is the default time for which the lease lasts without renewal.
	DefaultLease = 12 * time.Second
	// TickPeriod is the time between regular judgements, in which a VM compares the
	// versions, between a leader's rounds, and between checks of whether the lease is due.
	TickPeriod = 250 * time.Millisecond
	// urgentInterval is the shortest time between a judgement and an urgent one, and
	// between two requests for an urgent digest. New failures, for example, cause both.
	urgentInterval = 50 * time.Millisecond
)

// log is the logger of this package. Its lines have the prefix of the part "rollout".
var log = syclogging.New("rollout")

// Store gives access to the VM's copies of the config and system streams of the log, and
// appends to these streams.
type Store interface {
	// Config returns the state of the config stream, which has the records of operators,
	// such as versions and endpoints.
	Config() *sycconfig.State
	// System returns the state of the system stream, which has the records of VMs, such
	// as leases and the progress of rollouts.
	System() *sycconfig.State
	// Propose appends an operation to a stream and returns whether it was accepted. It
	// waits until the operation has been applied.
	Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error)
}

// Options configure a Manager.
type Options struct {
	// Loop is the VM's control loop, on which this package's decisions run.
	Loop *sycloop.Loop
	// Store reads the streams and appends to them.
	Store Store
	// Address is this VM's peer address. Together with Incarnation it identifies the
	// holder of the lease.
	Address string
	// Incarnation is unique to this process of the VM.
	Incarnation string
	// Dial opens connections to engines. If it is nil, they are opened from any local
	// address.
	Dial sycdial.Func
	// Lease is the time for which the lease lasts without renewal. The default is
	// DefaultLease.
	Lease time.Duration
	// Wall returns the wall-clock time, with which the deadlines of rollouts are
	// compared. The default is time.Now.
	Wall func() time.Time
	// Urgent makes the VM send its digest to its peers at once. By default it does
	// nothing.
	Urgent func()
}

// Defaults sets the optional fields that are zero.
func (o *Options) Defaults() {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Urgent == nil {
		o.Urgent = func() {}
	}
}

// Manager carries out this VM's part in rollouts.
type Manager struct {
	// tomb stops the goroutines that renew the lease and run the leader's rounds.
	tomb tomb.Tomb
	// options holds the options with their defaults set.
	options Options
	// engines reads load reports of engines and sends them orders.
	engines *sycorder.Client
	// view is the newest snapshot for goroutines outside the control loop.
	view atomic.Pointer[view]
	// attempts is the number of attempts so far, from which each gets its id in the ledger.
	attempts atomic.Uint64

	// The fields below may only be used on the control loop.

	// ledger counts the results of attempts by versions under rollout.
	ledger *sycrollout.Ledger
	// lease tracks the lease of the leader.
	lease *syclease.Lease
	// vetoes holds the reason of each veto. A veto means that a version gets no more
	// requests, because of a fault that this VM or a peer has found.
	vetoes map[sycrollout.Subject]string
	// stages holds the present stage of each model's rollout, by the model's name.
	stages map[string]*stage
	// loads holds the load time of each engine and set of weights that this VM, as the
	// leader, has ordered to load.
	loads map[loadKey]loadTime
	// outgoing is the evidence that this VM sends to its peers.
	outgoing outgoingEvidence
	// judgedAt is when judge was last called.
	judgedAt time.Duration
	// digestRequestedAt is when an urgent digest was last requested.
	digestRequestedAt time.Duration
	// pauseCheck runs checkPause every checkPeriod.
	pauseCheck *sycloop.Task
	// checkPeriod is the present time between two pause checks.
	checkPeriod time.Duration
	// nextCheck is when the next pause check is due. It is 0 if that isn't known.
	nextCheck time.Duration
}

// view is an immutable snapshot of the rollouts for request goroutines and the status page.
type view struct {
	// shares holds the traffic shares of each model's versions, by the model's name.
	shares map[string][]sycwork.VersionShare
	// generations holds the generations of the versions under rollout, whose attempts are
	// recorded, by the version's name. A generation counts the accepted operations on a
	// version's record, so that a replaced version isn't taken for the old one.
	generations map[string]uint64
	// rollouts holds the status of each rollout.
	rollouts []Status
	// leading is set if this VM holds the lease.
	leading bool
}

// New returns a running Manager.
func New(o Options) *Manager {
	o.Defaults()
	m := &Manager{
		options: o,
		engines: sycorder.NewClient(o.Dial),
		ledger:  sycrollout.NewLedger(),
		lease:   syclease.New(syclease.Options{Self: holderName(o.Address, o.Incarnation), Duration: o.Lease}),
		vetoes:  map[sycrollout.Subject]string{},
		stages:  map[string]*stage{},
		loads:   map[loadKey]loadTime{},

		outgoing:    outgoingEvidence{sent: map[sycrollout.Cell]sentCounts{}},
		checkPeriod: idleCheckPeriod,
	}
	m.view.Store(&view{})
	m.pauseCheck = o.Loop.NewTask(idleCheckPeriod, m.checkPause)
	m.pauseCheck.Start()
	o.Loop.Every(TickPeriod, m.judge)
	// The lease is renewed in a goroutine of its own: a round waits for engines, which may
	// not respond, and the lease must not expire meanwhile.
	m.runEvery(TickPeriod, m.keepLease)
	m.runEvery(TickPeriod, m.runRound)
	return m
}

// runEvery calls f periodically in a new goroutine until Close. Calls don't overlap.
func (m *Manager) runEvery(period time.Duration, f func(context.Context)) {
	m.tomb.Go(func() error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-m.tomb.Dying():
				return nil
			case <-ticker.C:
				f(m.tomb.Context(context.Background()))
			}
		}
	})
}

// Close stops the Manager's goroutines and waits for them. The lease isn't released.
func (m *Manager) Close() error {
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.engines.Close()
	return err
}

// Refresh judges the versions and updates their traffic shares. It must be called on the
// control loop when a stream's state has changed.
func (m *Manager) Refresh(now time.Duration) {
	m.judge(now)
}

// Versions returns the traffic shares of a model's versions.
func (m *Manager) Versions(model string) []sycwork.VersionShare {
	return m.view.Load().shares[model]
}
