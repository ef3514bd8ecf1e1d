package sycfleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metricPeriod is the time between two updates of the gauges.
const metricPeriod = time.Second

// measure updates the gauges of what this VM believes.
func (f *Fleet) measure(now time.Duration) {
	if now-f.measured < metricPeriod {
		return
	}
	f.measured = now
	if c := f.Config(); c != nil {
		gauge("sycamorecart_config_version").Set(float64(c.Version()))
	}
	for name, d := range f.feeds {
		gauge(fmt.Sprintf(`sycamorecart_feed_age_seconds{feed=%q}`, name)).Set((now - d.fresh).Seconds())
		gauge(fmt.Sprintf(`sycamorecart_feed_next_offset{feed=%q}`, name)).Set(float64(d.Next()))
	}
	for model, version := range f.weights {
		gauge(fmt.Sprintf(`sycamorecart_weights_version{model=%q}`, model)).Set(float64(version))
	}
	states := map[string]int{}
	behind := 0
	for _, e := range f.placer.Endpoints() {
		states[f.placer.State(e.ID)]++
		if f.behind(e) > 0 {
			behind++
		}
	}
	for _, state := range []string{"healthy", "suspect", "out", "probing"} {
		gauge(fmt.Sprintf(`sycamorecart_endpoints{state=%q}`, state)).Set(float64(states[state]))
	}
	gauge("sycamorecart_endpoints_behind").Set(float64(behind))
	gauge("sycamorecart_members").Set(float64(len(f.peers.vms) + 1))
	held := 0.0
	if _, holds := f.lease.Holds(now); holds {
		held = 1
	}
	gauge("sycamorecart_lease_held").Set(held)
}

func gauge(name string) *metrics.Gauge { return metrics.GetOrCreateGauge(name, nil) }

// countRetry counts how a retry was decided.
func countRetry(service string, allowed bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_retries_total{service=%q,allowed="%t"}`, service, allowed)).Inc()
}
