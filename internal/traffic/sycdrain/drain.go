// Package sycdrain shuts down a VM's HTTP servers without interrupting requests. To
// drain a VM means to let its callers move to other VMs and its running requests end
// before the servers close.
package sycdrain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

// Drain counts the running requests and closes the servers once there are none.
//
// While the VM drains, every response has the header "Connection: close", so that
// callers open their next connection elsewhere. New requests are accepted until the
// settle time is over.
type Drain struct {
	// settle is how long new requests are accepted while the VM drains.
	settle time.Duration
	// draining is closed when draining begins.
	draining chan struct{}
	// once makes only the first Begin take effect.
	once sync.Once
	// active counts the running requests.
	active atomic.Int64
}

// New returns a Drain that accepts new requests for the settle time after draining has
// begun. The settle time should cover how long the load balancer takes to remove the
// VM from its list.
func New(settle time.Duration) *Drain {
	return &Drain{settle: settle, draining: make(chan struct{})}
}

// Handler wraps h to count its running requests and, while the VM drains, to add
// "Connection: close" to its responses.
func (d *Drain) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.active.Add(1)
		defer d.active.Add(-1)
		if d.Draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Begin starts draining. Only the first call has an effect.
func (d *Drain) Begin() {
	d.once.Do(func() {
		logrus.Infof("drain: begun with %d requests under way", d.Active())
		close(d.draining)
	})
}

// Draining reports whether draining has begun. A draining VM reports that it isn't
// ready, but still serves the requests that reach it.
func (d *Drain) Draining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// Active returns the number of running requests.
func (d *Drain) Active() int64 { return d.active.Load() }

// Shutdown drains the VM and closes the servers. It begins draining if that hasn't
// happened yet, accepts new requests for the settle time, and then waits for the
// running requests to end. If ctx ends first or a server fails to shut down, it closes
// the servers at once and returns an *InterruptedError if requests were still
// running.
func (d *Drain) Shutdown(ctx context.Context, servers ...*http.Server) error {
	d.Begin()
	if !sycpause.For(ctx, d.settle) {
		return d.closeNow(ctx, servers)
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(groupCtx) })
	}
	if err := group.Wait(); err != nil {
		return d.closeNow(ctx, servers)
	}
	logrus.Info("drain: all requests have ended")
	return nil
}

// closeNow closes the servers and all their connections. It returns an *InterruptedError
// if requests were still running.
func (d *Drain) closeNow(ctx context.Context, servers []*http.Server) error {
	running := d.Active()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Close())
	}
	if err := errors.Join(errs...); err != nil {
		return eris.Wrap(err, "drain: close")
	}
	if running == 0 {
		return nil
	}
	return &InterruptedError{Requests: running, Err: context.Cause(ctx)}
}

// InterruptedError reports that a shutdown interrupted running requests.
type InterruptedError struct {
	// Requests is the number of requests that were running.
	Requests int64
	// Err is why ctx ended: context.DeadlineExceeded if the drain's timeout was over,
	// and another error after a second signal.
	Err error
}

// Error returns how many requests were interrupted and why.
func (e *InterruptedError) Error() string {
	if errors.Is(e.Err, context.DeadlineExceeded) {
		return fmt.Sprintf("drain: cut %d requests when the drain's timeout was over", e.Requests)
	}
	return fmt.Sprintf("drain: cut %d requests at a second signal", e.Requests)
}

// Unwrap returns Err.
func (e *InterruptedError) Unwrap() error { return e.Err }
