package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

// Stats sums up a dispatcher's state for metrics.
type Stats struct {
	Queued       int
	IndexBlocks  int
	IndexBytes   int
	EndpointsOut int
}

// EndpointStatus is what operators see of an endpoint.
type EndpointStatus struct {
	Name     string
	Health   sychealth.State
	Reason   string
	InFlight int
	// Load is the estimate of all VMs' requests.
	Load int
	// Prefill is the estimated time of the prefill under way.
	Prefill time.Duration
	// TokensPerSecond is the measured rate of the prefill.
	TokensPerSecond float64
	Blocks          int
	Synced          bool
}

// Stats returns the present sums.
func (d *Dispatcher[P]) Stats() Stats {
	var s Stats
	for _, p := range d.pools {
		s.Queued += p.queue.Len()
	}
	for _, e := range d.order {
		s.IndexBlocks += e.cache.Len()
		s.IndexBytes += e.cache.Bytes()
		if e.health.State() == sychealth.Out {
			s.EndpointsOut++
		}
	}
	return s
}

// Endpoints returns the status of all endpoints, by name.
func (d *Dispatcher[P]) Endpoints(now time.Duration) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(d.order))
	for _, e := range d.order {
		l := e.load(now)
		speed := e.speed.Estimate()
		list = append(list, EndpointStatus{
			Name:            e.record.Name(),
			Health:          e.health.State(),
			Reason:          e.health.Reason(),
			InFlight:        len(e.attempts),
			Load:            l.requests,
			Prefill:         speed.Prefill(float64(l.prefill)),
			TokensPerSecond: speed.Tokens(time.Second),
			Blocks:          e.cache.Len(),
			Synced:          e.cache.Synced(),
		})
	}
	return list
}
