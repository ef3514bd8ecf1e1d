// Package sycversion carries out rollouts: it records how versions fare,
// publishes the share of traffic of each, and, on the VM that holds the lease,
// gives engines their orders and records each rollout's progress.
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
	// LeaseName is the lease of the VM that leads rollouts.
	LeaseName = "rollout"
	// DefaultLease is how long the leader's lease lasts without renewal.
	DefaultLease = 12 * time.Second
	// TickPeriod is the time between judgements and between a leader's rounds.
	TickPeriod = 250 * time.Millisecond
	// failureGap is the least time between judgements, and between digests, that
	// failures bring about.
	failureGap = 50 * time.Millisecond
)

var log = syclogging.New("rollout")

// Store is the VM's access to the folded streams.
type Store interface {
	Config() *sycconfig.State
	System() *sycconfig.State
	Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error)
}

// Options configure a Manager.
type Options struct {
	Loop  *sycloop.Loop
	Store Store
	// Address and Incarnation identify this VM as a holder of the lease.
	Address     string
	Incarnation string
	// Dial opens connections to engines; nil dials from any address.
	Dial sycdial.Func
	// Lease is how long the lease lasts.
	Lease time.Duration
	// Wall is the wall clock that deadlines are compared with.
	Wall func() time.Time
	// Urgent asks for a digest before its time; it may be nil.
	Urgent func()
}

// Defaults fills the fields that are zero.
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

// Manager owns the VM's part in rollouts.
type Manager struct {
	tomb    tomb.Tomb
	options Options
	engines *sycorder.Client
	// view is what traffic goroutines read.
	view atomic.Pointer[view]
	// attempts numbers the attempts in the ledger.
	attempts atomic.Uint64

	// The fields below belong to the control loop.
	ledger *sycrollout.Ledger
	lease  *syclease.Lease
	vetoes map[sycrollout.Subject]string
	stages map[string]*stage
	loads  map[loadKey]loadTime
	shared shared
	// judged is when versions were last judged, hurried when a digest was last asked for.
	judged, hurried time.Duration
	// beats shows by how much this VM is held up; it runs each beatEvery, next at beatDue,
	// which is 0 when that isn't known.
	beats              *sycloop.Task
	beatEvery, beatDue time.Duration
}

// view is an immutable snapshot for traffic goroutines and status.
type view struct {
	shares map[string][]sycwork.VersionShare
	// judged holds the generations of versions whose requests are recorded.
	judged   map[string]uint64
	rollouts []Status
	leading  bool
}

// New starts the VM's part in rollouts.
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
		shared:  shared{sent: map[sycrollout.Cell]told{}},

		beatEvery: idleBeat,
	}
	m.view.Store(&view{})
	m.beats = o.Loop.NewTask(idleBeat, m.beat)
	m.beats.Start()
	o.Loop.Every(TickPeriod, m.judge)
	// Rounds wait for engines, which may be silent; the lease must not run out meanwhile.
	m.every(TickPeriod, m.keepLease)
	m.every(TickPeriod, m.lead)
	return m
}

// every calls the function at a period, in a goroutine of its own, until Close.
func (m *Manager) every(period time.Duration, f func(context.Context)) {
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

// Close stops leading and waits.
func (m *Manager) Close() error {
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.engines.Close()
	return err
}

// Refresh works the shares out anew; it is called on the control loop when a
// folded state has changed.
func (m *Manager) Refresh(now time.Duration) {
	m.judge(now)
}

// Versions returns the shares of a model's versions.
func (m *Manager) Versions(model string) []sycwork.VersionShare {
	return m.view.Load().shares[model]
}
