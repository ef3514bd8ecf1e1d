// Package sycengine stands in for a model engine. Time passes as in a real one
// that batches continuously and caches prompt blocks; the text is derived from
// hashes, so that every answer can be checked.
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

// Engine serves the engines' protocol on one address.
type Engine struct {
	options Options
	server  *sycserver.Server
	client  *http.Client
	tomb    tomb.Tomb

	mu  sync.Mutex
	rng *rand.Rand
	// life is replaced when the engine crashes.
	life *life
	// faults and the logs outlive crashes.
	faults     Faults
	faultsFrom time.Time
	requests   []Request
	orders     []Order
}

// life is what an engine loses in a crash. Its fields are guarded by Engine.mu.
type life struct {
	ctx         context.Context
	end         context.CancelFunc
	incarnation string
	cache       *syccache.Cache
	events      eventLog
	streams     map[string]*sequence
	// waiting is ordered by priority, then by arrival.
	waiting []*sequence
	// running has at most Options.MaxBatch sequences.
	running []*sequence
	// work has a token while the batch may have something to do.
	work chan struct{}
	// loaded and adapters hold the state of weights and adapters.
	loaded   map[weightsKey]string
	adapters map[adapterKey]bool
	role     string
	// fence is the highest fencing number seen.
	fence  uint64
	report Load
}

type weightsKey struct {
	model, weights string
}

type adapterKey struct {
	model, weights, adapter string
}

// New starts an engine.
func New(o Options) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		client:  &http.Client{Transport: &http.Transport{}},
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
	}
	e.life = e.newLife()
	server, err := sycserver.New(o.Address, e.routes())
	if err != nil {
		return nil, eris.Wrap(err, "engine stand-in")
	}
	e.server = server
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return nil
	})
	e.start(e.life)
	return e, nil
}

func (e *Engine) newLife() *life {
	ctx, end := context.WithCancel(e.tomb.Context(context.Background()))
	l := &life{
		ctx:         ctx,
		end:         end,
		incarnation: uuid.NewString(),
		cache:       syccache.New(e.options.CacheBlocks),
		streams:     map[string]*sequence{},
		work:        make(chan struct{}, 1),
		loaded:      map[weightsKey]string{},
		adapters:    map[adapterKey]bool{},
		role:        e.options.Role,
	}
	for model, weights := range e.options.Models {
		l.loaded[weightsKey{model, weights}] = stateReady
	}
	l.report = e.measure(l)
	return l
}

// start runs the goroutines of a life.
func (e *Engine) start(l *life) {
	e.tomb.Go(func() error {
		e.runBatch(l)
		return nil
	})
	e.tomb.Go(func() error {
		e.reportLoad(l)
		return nil
	})
}

// URL is the engine's base URL, without a trailing slash.
func (e *Engine) URL() string { return e.server.URL() }

// Address is the engine's address, as host:port.
func (e *Engine) Address() string { return e.server.Address() }

// Watch counts from now on how often the texts come in.
func (e *Engine) Watch(texts ...string) { e.server.Watch(texts...) }

// Sightings is how often watched texts have come in.
func (e *Engine) Sightings() int { return e.server.Sightings() }

// Incarnation identifies the engine's present life.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.incarnation
}

// Crash drops all connections and everything that the engine holds. It comes
// back on the same address after Options.RestartDelay, empty.
func (e *Engine) Crash() {
	if !e.tomb.Alive() {
		return
	}
	e.server.Down()
	e.mu.Lock()
	e.life.end()
	next := e.newLife()
	e.life = next
	e.mu.Unlock()
	e.tomb.Go(func() error {
		if sycpause.For(next.ctx, e.options.RestartDelay) {
			e.server.Up()
			e.start(next)
		}
		return nil
	})
}

// Close stops the engine and waits for its goroutines.
func (e *Engine) Close() error {
	err := e.server.Close()
	e.tomb.Kill(nil)
	if werr := e.tomb.Wait(); werr != nil {
		return werr
	}
	e.client.CloseIdleConnections()
	return err
}

// scaled divides a duration of the model of time by the engine's speed.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.Speed)
}
