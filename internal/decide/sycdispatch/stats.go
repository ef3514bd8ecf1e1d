package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

// Stats holds totals of a Dispatcher's state for metrics.
type Stats struct {
	// Queued is the number of waiting requests.
	Queued int
	// IndexBlocks is the number of cached blocks recorded for all endpoints.
	IndexBlocks int
	// IndexBytes is the memory that these records take, in bytes.
	IndexBytes int
	// EndpointsOut is the number of endpoints that are out of service.
	EndpointsOut int
}

// EndpointStatus is the state of an endpoint as shown to operators.
type EndpointStatus struct {
	// Name is the endpoint's name.
	Name string
	// Health is the state of the endpoint's health on this VM.
	Health sychealth.State
	// Reason is why the endpoint's health is in this state.
	Reason string
	// InFlight is the number of this VM's requests at the endpoint.
	InFlight int
	// Load estimates the number of all VMs' requests at the endpoint.
	Load int
	// Prefill estimates the time that the endpoint needs for the prompt tokens it
	// still has to compute.
	Prefill time.Duration
	// TokensPerSecond is the estimated prefill speed.
	TokensPerSecond float64
	// Blocks is the number of blocks that the endpoint is believed to have cached.
	Blocks int
	// Synced is true if a complete list of blocks was received from the engine and
	// no cache event was missed since, see sycprefix.Cache.Synced.
	Synced bool
}

// Stats returns the current totals.
func (d *Dispatcher[P]) Stats() Stats {
	var s Stats
	for _, p := range d.pools {
		s.Queued += p.queue.Len()
	}
	for _, e := range d.byName {
		s.IndexBlocks += e.cache.Len()
		s.IndexBytes += e.cache.Bytes()
		if e.health.State() == sychealth.Out {
			s.EndpointsOut++
		}
	}
	return s
}

// Endpoints returns the status of all endpoints, sorted by name.
func (d *Dispatcher[P]) Endpoints(now time.Duration) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(d.byName))
	for _, e := range d.byName {
		l := e.totalLoad(now)
		speed := e.speed.Estimate()
		list = append(list, EndpointStatus{
			Name:            e.record.Name(),
			Health:          e.health.State(),
			Reason:          e.health.Reason(),
			InFlight:        len(e.attempts),
			Load:            l.requests,
			Prefill:         speed.Prefill(float64(l.prefillTokens)),
			TokensPerSecond: speed.Tokens(time.Second),
			Blocks:          e.cache.Len(),
			Synced:          e.cache.Synced(),
		})
	}
	return list
}
