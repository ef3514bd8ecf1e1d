package sycdeploy

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Balancer is a stand-in for the platform's load balancer. It checks the readiness
// of every router periodically and reports which routers may get new requests.
type Balancer struct {
	tomb tomb.Tomb

	mu sync.Mutex
	// ready maps a router's base URL for callers to the result of its last check.
	ready map[string]bool
}

// NewBalancer checks all routers of the deployment once before it returns, and then
// once every period until Close.
func NewBalancer(d *Deployment, period time.Duration) *Balancer {
	b := &Balancer{ready: map[string]bool{}}
	b.checkRouters(d)
	b.tomb.Go(func() error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.checkRouters(d)
			case <-b.tomb.Dying():
				return nil
			}
		}
	})
	return b
}

// checkTimeout limits one round of readiness checks, in which all routers are
// checked at the same time.
const checkTimeout = 500 * time.Millisecond

// checkRouters asks all routers concurrently and records which of them are ready.
func (b *Balancer) checkRouters(d *Deployment) {
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), checkTimeout)
	defer cancel()
	var checks sync.WaitGroup
	for _, r := range d.Routers() {
		checks.Go(func() {
			ready := r.ready(ctx)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.ready[r.URL()] = ready
		})
	}
	checks.Wait()
}

// Available reports whether the router with this base URL for callers passed its
// last readiness check. It's false for an unknown URL.
func (b *Balancer) Available(url string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[url]
}

// Close stops the checks and waits for the running round to end.
func (b *Balancer) Close() error {
	b.tomb.Kill(nil)
	return b.tomb.Wait()
}
