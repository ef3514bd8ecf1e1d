// Package sycengine implements a stand-in for a model engine, for tests and
// benchmarks. It simulates the timing of an engine with continuous batching and a
// cache of prompt blocks, the parts of a prompt whose KV cache is kept as a unit.
// It derives the generated text from hashes of the request, so that every response
// can be checked.
//
// An incarnation is the time from one start of the engine to its next crash. A
// sequence is one request in the engine's queue or batch.
package sycengine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/syccache"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// Engine serves the HTTP protocol of model engines on one address.
type Engine struct {
	options Options
	server  *sycserver.Server
	// client fetches weights and cached blocks.
	client *http.Client
	// tomb tracks the engine's goroutines.
	tomb tomb.Tomb

	// mu guards the fields below.
	mu sync.Mutex
	// rng makes the random choices of lost events and failing requests.
	rng *rand.Rand
	// instance is replaced when the engine crashes.
	instance *instance
	// faults are the simulated faults. They are kept over crashes.
	faults Faults
	// faultsSetAt is when SetFaults was last called.
	faultsSetAt time.Time
	// requests and orders are the request log and the order log, kept over crashes.
	requests []Request
	orders   []Order
}

// instance holds the state of one incarnation, which a crash discards. Its fields
// are guarded by Engine.mu.
type instance struct {
	// ctx ends when the engine crashes or closes.
	ctx context.Context
	// cancel ends ctx.
	cancel context.CancelFunc
	// incarnation is the random id of the incarnation.
	incarnation string
	// cache holds the prompt blocks that the engine has computed or imported.
	cache *syccache.Cache
	// events is the log of the cache's changes.
	events eventLog
	// streams maps stream ids to queued, running and recently ended sequences.
	streams map[string]*sequence
	// waiting is the queue, ordered by priority, then by arrival.
	waiting []*sequence
	// running is the batch, at most Options.MaxBatch sequences.
	running []*sequence
	// work wakes the idle batch. It has a buffer of one signal.
	work chan struct{}
	// loaded maps weights to stateLoading, stateReady or stateFailed.
	loaded map[weightsKey]string
	// adapters holds true for each loaded adapter.
	adapters map[adapterKey]bool
	// role is "prefill", "decode" or "both".
	role string
	// fence is the highest fencing number of the orders that this incarnation
	// accepted. A newer lease holder gives its orders a higher number.
	fence uint64
	// report is the last load report, refreshed every Options.LoadLag.
	report Load
}

// weightsKey identifies a version of a model's weights.
type weightsKey struct {
	model, weights string
}

// adapterKey identifies an adapter on a version of a model's weights.
type adapterKey struct {
	model, weights, adapter string
}

// New starts an engine with the given options.
func New(o Options) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		client:  &http.Client{Transport: &http.Transport{DialContext: o.Dial}},
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
	}
	e.instance = e.newInstance()
	if err := e.listen(); err != nil {
		return nil, eris.Wrap(err, "engine stand-in")
	}
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return nil
	})
	e.start(e.instance)
	return e, nil
}

// listen starts the engine's HTTP server.
func (e *Engine) listen() (err error) {
	if e.options.Listener != nil {
		e.server = sycserver.NewOn(e.options.Listener, e.routes())
		return nil
	}
	e.server, err = sycserver.New(e.options.Address, e.routes())
	return err
}

// newInstance returns the state of a freshly started engine, with a new incarnation
// id, an empty cache and the models of Options.Models loaded.
func (e *Engine) newInstance() *instance {
	ctx, cancel := context.WithCancel(e.tomb.Context(context.Background()))
	inst := &instance{
		ctx:         ctx,
		cancel:      cancel,
		incarnation: uuid.NewString(),
		cache:       syccache.New(e.options.CacheBlocks),
		streams:     map[string]*sequence{},
		work:        make(chan struct{}, 1),
		loaded:      map[weightsKey]string{},
		adapters:    map[adapterKey]bool{},
		role:        e.options.Role,
	}
	for model, weights := range e.options.Models {
		inst.loaded[weightsKey{model, weights}] = stateReady
	}
	inst.report = e.measure(inst)
	return inst
}

// start starts the goroutines that run an instance's batch and load reports.
func (e *Engine) start(inst *instance) {
	e.tomb.Go(func() error {
		e.runBatch(inst)
		return nil
	})
	e.tomb.Go(func() error {
		e.reportLoad(inst)
		return nil
	})
}

// URL returns the engine's base URL, without a trailing slash.
func (e *Engine) URL() string { return e.server.URL() }

// Address returns the engine's address, as host:port.
func (e *Engine) Address() string { return e.server.Address() }

// Watch starts to count how often the texts occur in the bytes received from
// clients.
func (e *Engine) Watch(texts ...string) { e.server.Watch(texts...) }

// Sightings returns how often texts given to Watch have been received.
func (e *Engine) Sightings() int { return e.server.Sightings() }

// Incarnation returns the id of the engine's current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.incarnation
}

// Crash simulates a crash of the engine's process. It resets all connections and
// discards the queue, the batch, the streams and the cache. The engine restarts on
// the same address after Options.RestartDelay. The request and order logs and the
// faults are kept.
func (e *Engine) Crash() {
	if !e.tomb.Alive() {
		return
	}
	e.server.Down()
	e.mu.Lock()
	e.instance.cancel()
	next := e.newInstance()
	e.instance = next
	e.mu.Unlock()
	e.tomb.Go(func() error {
		if sycpause.For(next.ctx, e.options.RestartDelay) {
			e.server.Up()
			e.start(next)
		}
		return nil
	})
}

// Close stops the engine and waits for its handlers and goroutines.
func (e *Engine) Close() error {
	err := e.server.Close()
	e.tomb.Kill(nil)
	if werr := e.tomb.Wait(); werr != nil {
		return werr
	}
	e.client.CloseIdleConnections()
	return err
}

// scaled divides a simulated duration by Options.Speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.Speed)
}
