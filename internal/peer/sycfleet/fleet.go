package sycfleet

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/decide/sycregistry"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
	"sycamorecart.example/sycamorecart/internal/decide/syctopology"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossip"
)

const (
	// tickPeriod is how often the loop checks for work that is due.
	tickPeriod = 100 * time.Millisecond
	// longAgo is the assumed age of changes that were made before this VM started.
	longAgo = time.Hour
	// startGrace is how long a VM that has started waits at most for another one's records before
	// it puts the configuration of a restored log in force.
	startGrace = 900 * time.Millisecond
	// maxVMSilence is how long a VM may send no state before the lease holder drops its
	// record.
	maxVMSilence = 20 * time.Second
)

// ErrTruncated means that the log no longer keeps the requested records.
var ErrTruncated = errors.New("records are no longer kept")

// Options configures a Fleet.
type Options struct {
	// Name is the VM's name.
	Name string
	// Incarnation identifies one start of the VM.
	Incarnation string
	// FailureDomain is the failure domain that the VM runs in.
	FailureDomain string
	// Address is the address at which other VMs reach this one.
	Address string
	// Listener accepts the connections of other VMs.
	Listener net.Listener
	// Capacity is what the VM can do compared with others, see syctopology.
	Capacity float64
	// Seeds are the addresses of VMs to contact while no other VM answers.
	Seeds []string
	// FirstStart is set when the whole deployment starts for the first time. Then customers'
	// token buckets start full, and this VM asks no other for reports of engines' caches.
	FirstStart bool
	// LeaseDuration is how long the lease lasts unless its holder renews it.
	LeaseDuration time.Duration
	// ConfigWithin is the time within which every VM applies a configuration in the log.
	// EvacuateWithin is the same for an evacuation, 0 if that has no bound of its own.
	// DrainWithin is the time within which all VMs stop sending requests to an endpoint
	// whose record in the log says that it leaves.
	ConfigWithin, EvacuateWithin, DrainWithin time.Duration
	// MaxTrialShare is the largest traffic share, 0 to 1, that the release of a rollout gets
	// before it is proved; see sycrelease.New.
	MaxTrialShare float64
	// Headroom sets how far customers may exceed their limits.
	Headroom sycquota.Headroom
	// Retries limits how often requests arrive at endpoints beyond their first attempts,
	// over all VMs.
	Retries sycattempt.Allowance
	// Selection configures how endpoints are selected.
	Selection sycplace.Settings
	// Log is the log that all VMs share.
	Log Log
	// Decoder decodes the log's records.
	Decoder Decoder
	// Engines calls engines.
	Engines Engines
}

// Fleet runs this VM as a member of the fleet, the VMs of one deployment. Only tasks of the
// loop use the fields from selector on.
type Fleet struct {
	// tomb runs the goroutines that Close stops.
	tomb    tomb.Tomb
	options Options
	log     *logrus.Entry
	// loop runs the tasks that use the state below, one at a time.
	loop *sycloop.Loop
	// mesh exchanges states with the other VMs. Its goroutines start before it is set.
	mesh atomic.Pointer[sycgossip.Mesh]
	// view holds the state that requests read without a task of the loop.
	view atomic.Pointer[view]
	// leaving is set once this VM shuts down.
	leaving atomic.Bool
	// lastID is the last ID that NewID has returned.
	lastID atomic.Uint64

	// selector selects the endpoints of requests.
	selector *sycplace.Selector
	// quota limits customers' requests.
	quota *sycquota.Limiter
	// limited is set while an endpoint has a limit. All goroutines read it. LimitVMs holds the VMs that
	// share the limits.
	limited  atomic.Bool
	limitVMs []sycthrottle.VM
	// retries holds the retry budgets of services.
	retries *sycattempt.Budgets
	// lease is the lease of the duties: to order engines and to decide rollouts.
	lease *syclease.Lease
	// subscriptions holds the subscriptions to the log's topics, by topic.
	subscriptions map[string]*subscription
	// peers holds what is known of the other VMs.
	peers *peers
	// topology says which VMs are relays, and partners lists the VMs that this one exchanges
	// state with on its own account.
	topology *syctopology.Topology
	partners []string
	// direct is set if all VMs exchange state with each other. All goroutines read it.
	direct atomic.Bool
	// probed counts the calls to VMs that aren't heard.
	probed int
	// changes holds the changes that VMs pass on to each other.
	changes *changes
	// loads holds the loads that VMs tell each other.
	loads *groupLoads
	// plan decides when which engine loads new weights, while this VM holds the lease.
	plan *sycreload.Plan
	// orders counts the orders in flight. Only tasks of the loop add to it.
	orders sync.WaitGroup
	// weights holds the version of the newest weights that operators requested, by model.
	weights map[string]int64
	// updatedAt is when this VM applied the configuration and each model's newest weights,
	// by the names of the gauges of their ages.
	updatedAt map[string]time.Duration
	// observed holds service times, cordons and the lease holder's last state.
	observed *observations
	// cacheReads records which engines' caches this VM reads.
	cacheReads *cacheReads
	// rollouts holds the rollouts that operators requested, by service.
	rollouts map[string]*rollout
	// statuses holds the newest states of rollouts in the log, by service.
	statuses map[string]publishedStatus
	// measuredAt is when the gauges were last updated, and loggedAt when their values were
	// last logged.
	measuredAt, loggedAt time.Duration
	// registry decides which records of endpoints are in use.
	registry *sycregistry.Registry
	// endpointOrders remembers the newest records of endpoints.
	endpointOrders *endpointOrders
	// suspects tracks the blocks of prompts that may end endpoints.
	suspects *suspects
	// registeredAt is when this VM last wrote its own record.
	registeredAt time.Duration
	// startedAt is when this VM started.
	startedAt time.Duration
	// evacuationsEnded holds the failure domains of which this VM knows that their last evacuation has ended.
	evacuationsEnded map[string]bool
	// heldConfig is the newest configuration that isn't in force yet, nil if there is none.
	heldConfig *sycsite.Config
	// era is the highest era of the log that this VM has learned of.
	era int64
}

// New starts a Fleet, which follows the log and exchanges states with other VMs until Close.
func New(o Options) (*Fleet, error) {
	f := newFleet(o, sycloop.NewBootTime())
	o.Engines.OnNotice(f.ApplyNotice)
	o.Log.OnEra(f.observeEra)
	mesh, err := sycgossip.New(sycgossip.Options{
		Listener: o.Listener,
		Self:     o.Address,
		Node:     f,
	})
	if err != nil {
		return nil, errors.Join(err, f.loop.Close())
	}
	f.mesh.Store(mesh)
	for _, name := range slices.Sorted(maps.Keys(f.subscriptions)) {
		f.tomb.Go(func() error { return f.follow(name) })
	}
	f.tomb.Go(f.followDuty)
	f.loop.Every(tickPeriod, f.tick)
	return f, nil
}

// newFleet returns a Fleet whose goroutines don't run yet.
func newFleet(o Options, loop *sycloop.Loop) *Fleet {
	f := &Fleet{
		options:  o,
		log:      logrus.WithField("part", "fleet"),
		loop:     loop,
		selector: sycplace.New(selection(o)),
		quota:    sycquota.New(o.FirstStart, o.Headroom),
		retries:  sycattempt.NewBudgets(o.Retries),
		lease: syclease.New(syclease.Options{
			Self: o.Incarnation, Duration: o.LeaseDuration, Delay: takeoverDelay(o.Incarnation), LimitedRetention: true,
		}),
		subscriptions:    newSubscriptions(operatorWithin(o), o.DrainWithin),
		peers:            newPeers(o.Address, o.Seeds),
		changes:          newChanges(processOf(o.Incarnation)),
		loads:            newGroupLoads(),
		plan:             sycreload.New(),
		weights:          map[string]int64{},
		updatedAt:        map[string]time.Duration{},
		observed:         newObservations(),
		cacheReads:       &cacheReads{reading: map[engineStart]bool{}, synced: o.FirstStart, startedAt: loop.Now()},
		rollouts:         map[string]*rollout{},
		statuses:         map[string]publishedStatus{},
		suspects:         newSuspects(o.Incarnation),
		evacuationsEnded: map[string]bool{},
		registry:         sycregistry.New(),
		endpointOrders:   &endpointOrders{byID: map[string]endpointOrder{}},
	}
	f.orderContents()
	f.startedAt = loop.Now()
	if !o.FirstStart {
		for _, s := range f.subscriptions {
			s.Ask(f.startedAt)
		}
	}
	f.view.Store(newView(0, nil))
	f.topology = syctopology.New([]syctopology.VM{f.self()})
	f.direct.Store(true)
	return f
}

// selection returns the settings by which this VM selects endpoints.
func selection(o Options) sycplace.Settings {
	o.Selection.Address = o.Address
	return o.Selection
}

// observeEra records the era of an answer of the log.
func (f *Fleet) observeEra(era int64) {
	f.loop.PostControl(func(now time.Duration) { f.noteEra(now, era) })
}

// noteEra records an era of the log that this VM has learned of. A VM that has read the log in an
// earlier one logs that it has been restored.
func (f *Fleet) noteEra(now time.Duration, era int64) {
	f.endDuties(now, era)
	if era <= f.era {
		return
	}
	before := f.era
	f.era = era
	for _, s := range f.subscriptions {
		if s.loaded {
			f.log.WithFields(logrus.Fields{"era": era, "before": before}).Info("fleet: log restored")
			return
		}
	}
}

// kick starts an exchange with all partners at once.
func (f *Fleet) kick() {
	if mesh := f.mesh.Load(); mesh != nil {
		mesh.Kick()
	}
}

// Config returns the configuration in force, nil before this VM has received one.
func (f *Fleet) Config() *sycsite.Config { return f.view.Load().config }

// ConfigAge returns how long ago the configuration in force came into force on this VM, 0 if there is none.
func (f *Fleet) ConfigAge() time.Duration {
	v := f.view.Load()
	if v.config == nil {
		return 0
	}
	return f.loop.Now() - v.since
}

// WatchConfig returns the configuration in force, nil before this VM has received one, and a channel that
// is closed once another one is in force.
func (f *Fleet) WatchConfig() (*sycsite.Config, <-chan struct{}) {
	v := f.view.Load()
	return v.config, v.replaced
}

// Ready reports whether this VM can serve: it has a configuration and isn't shutting down.
func (f *Fleet) Ready() bool { return f.Config() != nil && !f.leaving.Load() }

// Leave releases the lease, announces to the other VMs that this one shuts down, and drops its
// record in the log.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.releaseLease()
	f.kick()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := f.options.Log.Put(ctx, TopicVMs, f.options.Address, nil); err != nil {
		f.log.WithError(err).Warn("fleet: dropping the own record failed")
	}
}

// Close stops all goroutines and waits until they have ended.
func (f *Fleet) Close() error {
	// The loop closes first, since its tasks start goroutines of the tomb.
	err := f.loop.Close()
	f.tomb.Kill(nil)
	return errors.Join(err, f.mesh.Load().Close(), f.tomb.Wait())
}

// tick does the periodic work that is due.
func (f *Fleet) tick(now time.Duration) {
	f.observed.observeTick(now)
	for _, name := range slices.Sorted(maps.Keys(f.subscriptions)) {
		f.applyChanges(now, name, f.subscriptions[name].ApplyDelayed(now))
	}
	f.releaseConfig(now)
	f.selector.Tick(now)
	f.updateLimits(now)
	f.logColdChanges(now)
	f.updateSpill(now)
	f.register(now)
	f.expireChanges(now)
	f.dutyTick(now)
	f.assignCacheReads(now)
	f.publishSuspects(now)
	f.updateGauges(now)
}
