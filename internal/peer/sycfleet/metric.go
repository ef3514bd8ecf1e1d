package sycfleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

const (
	// metricPeriod is the time between two updates of the gauges.
	metricPeriod = time.Second
	// readingsPeriod is the time between two lines with the gauges' values: whoever has
	// only the lines of a VM that is gone reads them there.
	readingsPeriod = 5 * time.Second
	// configAge names the gauge of the time since the configuration in force was taken over.
	configAge = "config_age_seconds"
)

// weightsAge names the gauge of the time since a model's newest weights were known.
func weightsAge(model string) string { return fmt.Sprintf(`weights_age_seconds{model=%q}`, model) }

// measure updates the gauges of what this VM believes.
func (f *Fleet) measure(now time.Duration) {
	if now-f.measured < metricPeriod {
		return
	}
	f.measured = now
	readings := map[string]float64{}
	f.readBeliefs(now, readings)
	f.readEndpoints(now, readings)
	for name, value := range readings {
		metrics.GetOrCreateGauge("sycamorecart_"+name, nil).Set(value)
	}
	if now-f.told < readingsPeriod {
		return
	}
	f.told = now
	fields := logrus.Fields{}
	for name, value := range readings {
		fields[name] = value
	}
	f.log.WithFields(fields).Info("fleet: readings")
}

// readBeliefs reads what is known of the configuration, limits, VMs and duties.
func (f *Fleet) readBeliefs(now time.Duration, out map[string]float64) {
	if c := f.Config(); c != nil {
		out["config_version"] = float64(c.Version())
	}
	for name, d := range f.feeds {
		out[fmt.Sprintf(`feed_age_seconds{feed=%q}`, name)] = (now - d.fresh).Seconds()
		out[fmt.Sprintf(`feed_next_offset{feed=%q}`, name)] = float64(d.Next())
	}
	for model, version := range f.weights {
		out[fmt.Sprintf(`weights_version{model=%q}`, model)] = float64(version)
	}
	for name, since := range f.since {
		out[name] = (now - since).Seconds()
	}
	out["quota_customers_without"] = float64(f.quota.CountExhausted(now))
	out["members"] = float64(len(f.peers.vms) + 1)
	out["lease_held"] = 0
	if _, holds := f.lease.Holds(now); holds {
		out["lease_held"] = 1
	}
}

// readEndpoints reads the state of endpoints, the queues at them and the retries left.
func (f *Fleet) readEndpoints(now time.Duration, out map[string]float64) {
	for _, state := range []string{"healthy", "suspect", "out", "probing"} {
		out[fmt.Sprintf(`endpoints{state=%q}`, state)] = 0
	}
	out["endpoints_behind"] = 0
	queues := map[string]sycplace.Load{}
	for _, e := range f.placer.Endpoints() {
		out[fmt.Sprintf(`endpoints{state=%q}`, f.placer.State(e.ID))]++
		if f.behind(e) > 0 {
			out["endpoints_behind"]++
		}
		queue, load := queues[e.Service], f.placer.Load(now, e.ID)
		queue.Requests += load.Requests
		queue.Tokens += load.Tokens
		queues[e.Service] = queue
		out[fmt.Sprintf(`queue_slots{service=%q}`, e.Service)] += float64(e.Slots)
	}
	for service, queue := range queues {
		out[fmt.Sprintf(`queue_requests{service=%q}`, service)] = float64(queue.Requests)
		out[fmt.Sprintf(`queue_tokens{service=%q}`, service)] = float64(queue.Tokens)
		out[fmt.Sprintf(`retries_left{service=%q}`, service)] = f.retries.Get(now, service).Left(now)
	}
}

// countRetry counts how a retry was decided.
func countRetry(service string, allowed bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_retries_total{service=%q,allowed="%t"}`, service, allowed)).Inc()
}
