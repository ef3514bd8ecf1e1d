package sycdeploy

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Balancer stands in for the platform's balancer: it asks the routers whether
// they are ready and tells which may get new requests.
type Balancer struct {
	tomb tomb.Tomb

	mu sync.Mutex
	// ready has the answer of each router's last check, by its URL for callers.
	ready map[string]bool
}

// NewBalancer checks the routers at the given period.
func NewBalancer(d *Deployment, period time.Duration) *Balancer {
	b := &Balancer{ready: map[string]bool{}}
	b.check(d)
	b.tomb.Go(func() error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.check(d)
			case <-b.tomb.Dying():
				return nil
			}
		}
	})
	return b
}

// checkTimeout bounds one health check.
const checkTimeout = 500 * time.Millisecond

func (b *Balancer) check(d *Deployment) {
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

// Available reports whether a router passed its last check.
func (b *Balancer) Available(url string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[url]
}

// Close ends the checks and waits for them.
func (b *Balancer) Close() error {
	b.tomb.Kill(nil)
	return b.tomb.Wait()
}
