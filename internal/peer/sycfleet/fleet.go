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
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossip"
)

const (
	// gossipPeriod is the time between two exchanges of a pair of VMs.
	gossipPeriod = 150 * time.Millisecond
	// tickPeriod is how often due work is looked for.
	tickPeriod = 100 * time.Millisecond
	// longAgo is the age of what happened before a VM started.
	longAgo = time.Hour
	// goneAfter is how long a VM is unheard before its record is dropped.
	goneAfter = 20 * time.Second
)

// ErrTruncated means that a log no longer keeps the records asked for.
var ErrTruncated = errors.New("records are no longer kept")

// Options configures a Fleet.
type Options struct {
	// Name is the VM's name, Incarnation tells its starts apart.
	Name          string
	Incarnation   string
	FailureDomain string
	// Address is where other VMs reach this one.
	Address  string
	Listener net.Listener
	Seeds    []string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart    bool
	LeaseDuration time.Duration
	// ConfigWithin and DrainWithin bound how long after it lies in the log a configuration
	// is not in force, and a leaving endpoint gets requests.
	ConfigWithin, DrainWithin time.Duration
	// RolloutShare is the part of its service's requests that a release gets before
	// it has proved itself.
	RolloutShare float64
	// Headroom is what customers may use beyond their limits.
	Headroom sycquota.Headroom
	// Retries bounds the arrivals beyond the first of each request, over all VMs.
	Retries   sycattempt.Allowance
	Selection sycplace.Settings
	Log       Log
	Decoder   Decoder
	Engines   Engines
}

// Fleet is one VM's part in the fleet. The loop owns all fields below it.
type Fleet struct {
	tomb     tomb.Tomb
	options  Options
	log      *logrus.Entry
	loop     *sycloop.Loop
	mesh     *sycgossip.Mesh
	view     atomic.Pointer[view]
	leaving  atomic.Bool
	requests atomic.Uint64

	placer  *sycplace.Selector
	quota   *sycquota.Limiter
	retries *sycattempt.Budgets
	lease   *syclease.Lease
	feeds   map[string]*feed
	peers   *peers
	plan    *sycreload.Plan
	// orders counts the orders under way; it is added to on the loop only.
	orders  sync.WaitGroup
	weights map[string]int64
	// since is when this VM took over the configuration and each model's weights, by
	// the names of the gauges of their ages.
	since map[string]time.Duration
	loads *loads
	// caches is what this VM reads of engines' caches.
	caches *caches
	// rollouts holds the rollouts that operators asked for, by service.
	rollouts map[string]*rollout
	// statuses holds the newest states of rollouts that lie in the log, by service.
	statuses map[string]RolloutReport
	// measured is when the gauges were last updated, told when their values were last logged.
	measured, told time.Duration
	// registered is when this VM last wrote its own record.
	registered time.Duration
}

// New starts to follow the log and to talk to other VMs.
func New(o Options) (*Fleet, error) {
	loop := sycloop.NewOfMachine()
	f := &Fleet{
		options: o,
		log:     logrus.WithField("part", "fleet"),
		loop:    loop,
		placer:  sycplace.New(o.Selection),
		quota:   sycquota.New(o.FirstStart, o.Headroom),
		lease: syclease.New(syclease.Options{
			Self: o.Incarnation, Duration: o.LeaseDuration, Delay: askDelay(o.Incarnation), Forgets: true,
		}),
		feeds:    newFeeds(o.ConfigWithin, o.DrainWithin),
		plan:     sycreload.New(),
		weights:  map[string]int64{},
		since:    map[string]time.Duration{},
		loads:    newLoads(),
		caches:   &caches{reading: map[engineStart]bool{}, learned: o.FirstStart, started: loop.Now()},
		rollouts: map[string]*rollout{},
		statuses: map[string]RolloutReport{},
	}
	f.view.Store(&view{})
	f.peers = newPeers(o.Address, o.Seeds)
	f.retries = sycattempt.NewBudgets(o.Retries)
	mesh, err := sycgossip.New(sycgossip.Options{
		Listener: o.Listener,
		Self:     o.Address,
		Period:   gossipPeriod,
		Node:     f,
	})
	if err != nil {
		return nil, errors.Join(err, f.loop.Close())
	}
	f.mesh = mesh
	for _, name := range slices.Sorted(maps.Keys(f.feeds)) {
		f.tomb.Go(func() error { return f.follow(name) })
	}
	f.tomb.Go(f.followDuty)
	f.loop.Every(tickPeriod, f.tick)
	return f, nil
}

// Config is the configuration in force, nil before any is known.
func (f *Fleet) Config() *sycsite.Config { return f.view.Load().config }

// Ready reports whether this VM can serve.
func (f *Fleet) Ready() bool { return f.Config() != nil && !f.leaving.Load() }

// Leave gives up the VM's duties and tells the others that it goes.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.resign()
	f.mesh.Kick()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := f.options.Log.Put(ctx, TopicVMs, f.options.Address, nil); err != nil {
		f.log.WithError(err).Warn("fleet: own record not dropped")
	}
}

// Close ends all activity and waits for it.
func (f *Fleet) Close() error {
	// The loop goes first, since its tasks start goroutines of the tomb.
	err := f.loop.Close()
	f.tomb.Kill(nil)
	return errors.Join(err, f.mesh.Close(), f.tomb.Wait())
}

func (f *Fleet) tick(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(f.feeds)) {
		f.changed(now, name, f.feeds[name].Due(now))
	}
	f.placer.Tick(now)
	f.register(now)
	f.dutyTick(now)
	f.dealCaches(now)
	f.measure(now)
}

// changed takes in what has changed in a feed.
func (f *Fleet) changed(now time.Duration, name string, changes []sycfeed.Change) {
	for _, c := range changes {
		switch name {
		case TopicOperator:
			f.operatorChanged(now, c)
		case TopicEndpoints:
			f.endpointChanged(c)
		case TopicVMs:
			f.vmChanged(now, c)
		case TopicStatus:
			f.statusChanged(c)
		}
	}
}

func (f *Fleet) operatorChanged(now time.Duration, c sycfeed.Change) {
	if c.Dropped {
		return
	}
	record, err := f.options.Decoder.Operator(c.Key, c.Value)
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"key": c.Key, "offset": c.Offset}).Error("fleet: operator's record can't be read")
		return
	}
	switch r := record.(type) {
	case *sycsite.Config:
		f.configure(now, r)
	case Weights:
		f.log.WithFields(logrus.Fields{"model": r.Model, "version": r.Version}).Info("fleet: weights named")
		if r.Version > f.weights[r.Model] {
			f.weights[r.Model] = r.Version
			f.since[weightsAge(r.Model)] = now
		}
		f.placer.AnnounceWeights(f.feeds[TopicOperator].happened(now), r.Model, r.Version)
	case Rollout:
		f.rolloutAsked(now, r, c.Offset)
	}
}

func (f *Fleet) configure(now time.Duration, c *sycsite.Config) {
	if old := f.Config(); old != nil && old.Version() >= c.Version() {
		return
	}
	f.view.Store(&view{config: c})
	f.since[configAge] = now
	var limits []sycquota.Limit
	for _, customer := range c.Customers() {
		limits = append(limits, sycquota.Limit{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst})
	}
	f.quota.Configure(now, limits)
	for _, s := range c.Services() {
		if s.Engine {
			f.placer.SetCacheTokens(s.Name, s.CacheTokens)
		}
	}
	f.log.WithField("version", c.Version()).Info("fleet: configuration applied")
}

func (f *Fleet) endpointChanged(c sycfeed.Change) {
	if c.Dropped {
		if _, known := f.placer.Endpoint(c.Key); known {
			f.log.WithField("endpoint", c.Key).Info("fleet: endpoint gone")
		}
		f.placer.Drop(c.Key)
		return
	}
	e, err := f.options.Decoder.Endpoint(c.Key, c.Value)
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"endpoint": c.Key, "offset": c.Offset}).Warn("fleet: endpoint's record can't be read")
		f.placer.Drop(c.Key)
		return
	}
	old, known := f.placer.Endpoint(c.Key)
	f.placer.Put(e)
	if !known || old.Leaving != e.Leaving || old.Incarnation != e.Incarnation || !maps.Equal(old.Weights, e.Weights) {
		f.log.WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "address": e.Address, "leaving": e.Leaving,
			"release": e.Release, "weights": e.Weights, "offset": c.Offset,
		}).Info("fleet: endpoint changed")
	}
}
