// Package sycdeploy runs a whole deployment on loopback for tests and benchmarks.
//
// The platform, the engines, the services and the KV store are stand-ins: simulations
// that run in this process. The routers run as processes of the router program or as
// VMs in this process. Proxies between them add the network's delays and inject faults.
//
// A worker is an endpoint of the booking service. A rate slot is a fraction of every
// customer's rate that one VM at a time may grant.
package sycdeploy

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// Names that every deployment uses in its configuration.
const (
	// Model is the only model, which every engine serves.
	Model = "chat"
	// Weights are the weights that every engine has loaded at the start.
	Weights = "w1"
	// Service is the only service, which books slots of a rota.
	Service = "rota"
	// BookPath is the URL path that callers post a booking to.
	BookPath = "/rota/book"
)

// Options configures a deployment.
type Options struct {
	// Workload gives the failure domains with their numbers of VMs and engines, the
	// number of workers, the customers, and the network's delays.
	Workload sycload.Workload
	// Binary is the path of the router program. If it's empty, the routers run as VMs
	// in this process.
	Binary string
	// Settings overrides settings of every router. The keys have the form
	// "section.key".
	Settings map[string]string
	// Platform configures the platform's stand-in.
	Platform sycplatform.Options
	// Engine configures every engine. Models, Platform and Seed are replaced.
	Engine sycengine.Options
	// Seed makes the random choices of the proxies and engines repeatable. It's also
	// part of the customers' secrets.
	Seed uint64
	// WarmUp is how long New waits after all routers are ready, so that the customers'
	// token buckets can fill up to their bursts.
	WarmUp time.Duration
	// Output receives the routers' logs; nil discards them.
	Output io.Writer
}

// Engine is an engine's stand-in: an endpoint that simulates running models.
type Engine struct {
	*sycengine.Engine
	// name is the name of the engine's endpoint record in the configuration.
	name string
	// domain is the name of the engine's failure domain.
	domain string
	// proxy carries the connections of the routers to the engine.
	proxy *sycfault.Proxy
}

// Name returns the name of the engine's endpoint record in the configuration.
func (e *Engine) Name() string { return e.name }

// FailureDomain returns the name of the engine's failure domain.
func (e *Engine) FailureDomain() string { return e.domain }

// Worker is the stand-in for one endpoint of the booking service.
type Worker struct {
	*sycservice.Service
	// name is the name of the worker's endpoint record in the configuration.
	name string
	// domain is the name of the worker's failure domain.
	domain string
	// proxy carries the connections of the routers to the worker.
	proxy *sycfault.Proxy
}

// Name returns the name of the worker's endpoint record in the configuration.
func (w *Worker) Name() string { return w.name }

// FailureDomain returns the name of the worker's failure domain.
func (w *Worker) FailureDomain() string { return w.domain }

// Deployment is a set of running routers with the platform, engines, services and KV
// store that they use.
type Deployment struct {
	options Options
	// folder is a temporary folder with the routers' settings files.
	folder string
	// network is the first three numbers of the routers' IPv4 addresses, such as
	// "127.16.1".
	network  string
	platform *sycplatform.Platform
	// platformProxy carries the connections of the routers to the platform.
	platformProxy *sycfault.Proxy
	engines       []*Engine
	// workers are the endpoints of the booking service.
	workers []*Worker
	// store is the KV store, which engines copy cached prompt blocks from.
	store *syckvstore.Store
	// keys maps a customer's name to the secret of its API key.
	keys map[string]string
	// publishCount counts the published operations; their ids are made of it.
	publishCount atomic.Int64
	// hostCount counts the IP addresses given to routers.
	hostCount atomic.Int64

	// mu guards routers, which the proxies' goroutines read, and closers.
	mu      sync.Mutex
	routers []*Router
	// closers are the functions that Close calls, in reverse order.
	closers []func() error
}

// New starts a deployment, publishes its configuration, waits until every router
// is ready, and then waits for the warm-up.
func New(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{options: o, network: newNetwork(), keys: map[string]string{}}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// start starts the parts of the deployment in the order of their dependencies.
func (d *Deployment) start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "sycdeploy")
	if err != nil {
		return eris.Wrap(err, "deployment")
	}
	d.folder = folder
	d.onClose(func() error { return os.RemoveAll(folder) })
	if err := d.startStandIns(); err != nil {
		return err
	}
	if err := d.prepareRouters(); err != nil {
		return err
	}
	if _, err := d.Publish(ctx, d.initialRecords()...); err != nil {
		return err
	}
	for _, r := range d.Routers() {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := d.AwaitReady(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(d.options.WarmUp):
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "warm-up")
	}
}

// onClose has Close call f, before the functions that were registered earlier.
func (d *Deployment) onClose(f func() error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

// takeClosers returns the functions registered by onClose and unregisters them, so
// that a second Close doesn't call them again.
func (d *Deployment) takeClosers() []func() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	closers := d.closers
	d.closers = nil
	return closers
}

// Close kills the routers, stops the stand-ins and waits until all have ended. What
// was started last is stopped first.
func (d *Deployment) Close() error {
	var errs []error
	for _, stop := range slices.Backward(d.takeClosers()) {
		errs = append(errs, stop())
	}
	return errors.Join(errs...)
}

// Platform returns the platform's stand-in.
func (d *Deployment) Platform() *sycplatform.Platform { return d.platform }

// Engines returns the engines of all failure domains.
func (d *Deployment) Engines() []*Engine { return d.engines }

// Workers returns the endpoints of the booking service.
func (d *Deployment) Workers() []*Worker { return d.workers }

// Routers returns the routers of all failure domains, also those that aren't running.
func (d *Deployment) Routers() []*Router {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers
}

// Keys maps each customer's name to the secret of its API key.
func (d *Deployment) Keys() map[string]string { return d.keys }

// URLs returns the routers' base URLs for callers.
func (d *Deployment) URLs() []string {
	urls := make([]string, 0, len(d.Routers()))
	for _, r := range d.Routers() {
		urls = append(urls, r.URL())
	}
	return urls
}

// BookedSlots lists the slots of all bookings that the workers made. A slot that was
// booked twice is listed twice.
func (d *Deployment) BookedSlots() []string {
	var slots []string
	for _, w := range d.workers {
		for _, b := range w.Bookings() {
			slots = append(slots, b.Slot)
		}
	}
	return slots
}

// AwaitReady waits until every running router that isn't paused is ready.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	return d.awaitRouters(ctx, (*Router).AwaitReady)
}

// AwaitApplied waits until every running router that isn't paused has applied all
// configuration records before the offset next.
func (d *Deployment) AwaitApplied(ctx context.Context, next uint64) error {
	return d.awaitRouters(ctx, func(r *Router, ctx context.Context) error {
		return r.pollUntil(ctx, func() bool {
			status, ok := r.Status(ctx)
			return ok && status.ConfigOffset() >= next
		})
	})
}

// awaitRouters calls wait for each running router that isn't paused, one after another.
func (d *Deployment) awaitRouters(ctx context.Context, wait func(*Router, context.Context) error) error {
	for _, r := range d.Routers() {
		if !r.Running() || r.Paused() {
			continue
		}
		if err := wait(r, ctx); err != nil {
			return err
		}
	}
	return nil
}

// path returns the path of a file in the deployment's temporary folder.
func (d *Deployment) path(name string) string { return filepath.Join(d.folder, name) }
