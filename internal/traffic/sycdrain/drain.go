// Package sycdrain ends a VM's service to callers without cutting a request.
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

// Drain follows the requests under way and closes the servers once there are none.
//
// While it drains, every answer tells its connection to close, so that callers
// leave by themselves; new requests are accepted until the settle time is over.
type Drain struct {
	settle time.Duration
	begun  chan struct{}
	once   sync.Once
	active atomic.Int64
}

// New returns a drain that accepts requests for the settle time after its
// beginning. The settle time covers the lag of the balancer's list.
func New(settle time.Duration) *Drain {
	return &Drain{settle: settle, begun: make(chan struct{})}
}

// Handler counts the requests that h serves.
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

// Begin starts draining; calls after the first do nothing.
func (d *Drain) Begin() {
	d.once.Do(func() {
		logrus.Infof("drain: begun with %d requests under way", d.Active())
		close(d.begun)
	})
}

// Draining reports whether draining has begun. A draining VM is not ready, yet
// serves what still comes.
func (d *Drain) Draining() bool {
	select {
	case <-d.begun:
		return true
	default:
		return false
	}
}

// Active is the number of requests under way.
func (d *Drain) Active() int64 { return d.active.Load() }

// Shutdown drains the servers: it begins if that has not happened, accepts
// requests for the settle time, and then waits for the requests under way. It
// returns early, cutting what is left, only when the context ends.
func (d *Drain) Shutdown(ctx context.Context, servers ...*http.Server) error {
	d.Begin()
	if !sycpause.For(ctx, d.settle) {
		return d.cut(ctx, servers)
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(groupCtx) })
	}
	if err := group.Wait(); err != nil {
		return d.cut(ctx, servers)
	}
	logrus.Info("drain: all requests have ended")
	return nil
}

func (d *Drain) cut(ctx context.Context, servers []*http.Server) error {
	left := d.Active()
	var faults []error
	for _, s := range servers {
		faults = append(faults, s.Close())
	}
	if err := errors.Join(faults...); err != nil {
		return eris.Wrap(err, "drain: close")
	}
	if left == 0 {
		return nil
	}
	return &CutError{Requests: left, Err: context.Cause(ctx)}
}

// CutError is a shutdown that had to cut requests.
type CutError struct {
	// Requests is the number of requests that were under way.
	Requests int64
	Err      error
}

// Error says how many requests were cut and why.
func (e *CutError) Error() string {
	if errors.Is(e.Err, context.DeadlineExceeded) {
		return fmt.Sprintf("drain: cut %d requests when the drain's timeout was over", e.Requests)
	}
	return fmt.Sprintf("drain: cut %d requests at a second signal", e.Requests)
}

// Unwrap returns the reason for which the context ended.
func (e *CutError) Unwrap() error { return e.Err }
