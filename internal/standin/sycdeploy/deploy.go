// Package sycdeploy runs a whole deployment on loopback for tests and
// benchmarks: stand-ins in this process, and routers as processes of a given
// binary or in this process too, with proxies between them for delays and faults.
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

// Names of a deployment's objects.
const (
	Model    = "chat"
	Weights  = "w1"
	Service  = "rota"
	BookPath = "/rota/book"
)

// Options says what to run.
type Options struct {
	Workload sycload.Workload
	// Binary is the router program; without one the routers run in this process.
	Binary string
	// Settings replaces settings of the routers, by "section.key".
	Settings map[string]string
	// Platform and Engine are templates for the stand-ins.
	Platform sycplatform.Options
	Engine   sycengine.Options
	Seed     uint64
	// WarmUp is how long the routers run before New returns, so that customers'
	// bursts have accrued.
	WarmUp time.Duration
	// Output receives the routers' logs; nil discards them.
	Output io.Writer
}

// Engine is a model worker of a deployment.
type Engine struct {
	*sycengine.Engine
	name   string
	domain string
	proxy  *sycfault.Proxy
}

// Name is the name of the engine's record.
func (e *Engine) Name() string { return e.name }

// FailureDomain is where the engine runs.
func (e *Engine) FailureDomain() string { return e.domain }

// Worker is an application worker of a deployment.
type Worker struct {
	*sycservice.Service
	name   string
	domain string
	proxy  *sycfault.Proxy
}

// Name is the name of the worker's record.
func (w *Worker) Name() string { return w.name }

// FailureDomain is where the worker runs.
func (w *Worker) FailureDomain() string { return w.domain }

// Deployment is a running deployment.
type Deployment struct {
	options Options
	folder  string
	// network is the part that the routers' IP numbers share.
	network  string
	platform *sycplatform.Platform
	// front is the proxy that routers reach the platform through.
	front   *sycfault.Proxy
	engines []*Engine
	workers []*Worker
	store   *syckvstore.Store
	// keys has the secret of each customer's key.
	keys map[string]string
	// published counts the records, for their ids.
	published atomic.Int64
	// hosts counts the IP numbers given to routers.
	hosts atomic.Int64

	// mu guards routers, which the proxies' goroutines read, and closers.
	mu      sync.Mutex
	routers []*Router
	closers []func() error
}

// New starts a deployment, publishes its records and waits until every router
// is ready.
func New(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{options: o, network: newNetwork(), keys: map[string]string{}}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

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
	if err := d.planRouters(); err != nil {
		return err
	}
	if _, err := d.Publish(ctx, d.records()...); err != nil {
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

func (d *Deployment) onClose(f func() error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

func (d *Deployment) takeClosers() []func() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	closers := d.closers
	d.closers = nil
	return closers
}

// Close ends the routers and stand-ins, the last started first, and waits.
func (d *Deployment) Close() error {
	var errs []error
	for _, stop := range slices.Backward(d.takeClosers()) {
		errs = append(errs, stop())
	}
	return errors.Join(errs...)
}

// Platform is the platform's stand-in.
func (d *Deployment) Platform() *sycplatform.Platform { return d.platform }

// Engines lists the model workers.
func (d *Deployment) Engines() []*Engine { return d.engines }

// Workers lists the application workers.
func (d *Deployment) Workers() []*Worker { return d.workers }

// Routers lists the routers.
func (d *Deployment) Routers() []*Router {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers
}

// Keys gives the secret of each customer's key.
func (d *Deployment) Keys() map[string]string { return d.keys }

// URLs lists the routers' base URLs for callers.
func (d *Deployment) URLs() []string {
	urls := make([]string, 0, len(d.Routers()))
	for _, r := range d.Routers() {
		urls = append(urls, r.URL())
	}
	return urls
}

// BookedSlots lists the slots that the application workers booked.
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
	return d.await(ctx, (*Router).AwaitReady)
}

// AwaitApplied waits until every running router that isn't paused has applied
// the configuration up to an offset.
func (d *Deployment) AwaitApplied(ctx context.Context, next uint64) error {
	return d.await(ctx, func(r *Router, ctx context.Context) error {
		return r.poll(ctx, func() bool {
			status, ok := r.Status(ctx)
			return ok && status.ConfigOffset() >= next
		})
	})
}

func (d *Deployment) await(ctx context.Context, wait func(*Router, context.Context) error) error {
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

func (d *Deployment) file(name string) string { return filepath.Join(d.folder, name) }
