package sycfleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossip"
)

const (
	// metricPeriod is the time between two updates of the gauges.
	metricPeriod = time.Second
	// readingsPeriod is the time between two log lines with the gauges' values. They keep
	// the last values of a VM that no longer runs.
	readingsPeriod = 5 * time.Second
	// configAge is the name of the gauge of the time since the configuration in force was
	// applied.
	configAge = "config_age_seconds"
)

// weightsAge returns the name of the gauge of the time since a model's newest weights were
// announced to this VM.
func weightsAge(model string) string { return fmt.Sprintf(`weights_age_seconds{model=%q}`, model) }

// updateGauges updates the gauges of this VM's state and logs their values, if that's due.
func (f *Fleet) updateGauges(now time.Duration) {
	if now-f.measuredAt < metricPeriod {
		return
	}
	f.measuredAt = now
	readings := map[string]float64{}
	f.measureState(now, readings)
	f.measureEndpoints(now, readings)
	for name, value := range readings {
		metrics.GetOrCreateGauge("sycamorecart_"+name, nil).Set(value)
	}
	if now-f.loggedAt < readingsPeriod {
		return
	}
	f.loggedAt = now
	fields := logrus.Fields{}
	for name, value := range readings {
		fields[name] = value
	}
	f.log.WithFields(fields).Info("fleet: readings")
}

// measureState adds the values of the configuration, the subscriptions, the weights, the
// limits, the number of VMs, the lease, the loop's delay, the exchanges with other VMs and the
// loads of weights.
func (f *Fleet) measureState(now time.Duration, out map[string]float64) {
	if c := f.Config(); c != nil {
		out["config_version"] = float64(c.Version())
	}
	out["log_era"] = float64(f.era)
	for name, s := range f.subscriptions {
		out[fmt.Sprintf(`feed_age_seconds{feed=%q}`, name)] = (now - s.confirmedAt).Seconds()
		out[fmt.Sprintf(`feed_next_offset{feed=%q}`, name)] = float64(s.Next().Offset)
		out[fmt.Sprintf(`feed_lost_records{feed=%q}`, name)] = float64(s.Lost())
	}
	for model, version := range f.weights {
		out[fmt.Sprintf(`weights_version{model=%q}`, model)] = float64(version)
	}
	for name, at := range f.updatedAt {
		out[name] = (now - at).Seconds()
	}
	out["quota_customers_without"] = float64(f.quota.CountExhausted(now))
	out["members"] = float64(len(f.peers.vms) + 1)
	f.suspects.measure(out)
	out["lease_held"] = 0
	if _, holds := f.lease.Holds(now); holds {
		out["lease_held"] = 1
	}
	out["loop_delay_seconds"] = f.observed.takeLoopDelay().Seconds()
	traffic, control := f.loop.Waiting()
	out[`loop_waiting{queue="traffic"}`], out[`loop_waiting{queue="control"}`] = float64(traffic), float64(control)
	out["peers_heard"], out["peers_direct"] = float64(f.countHeard(now)), float64(len(f.partners))
	out["relay"] = 0
	if f.isRelay() {
		out["relay"] = 1
	}
	done, failed := sycgossip.Calls()
	out["gossip_calls_done"], out["gossip_calls_failed"] = float64(done), float64(failed)
	out["engines_cordoned"], out["engines_loading"] = float64(f.plan.CordonedCount()), float64(f.plan.LoadingCount())
}

// countHeard returns how many other VMs are heard, directly or through others.
func (f *Fleet) countHeard(now time.Duration) int {
	heard := 0
	for _, vm := range f.peers.vms {
		if vm.heard && vm.runs(now) {
			heard++
		}
	}
	return heard
}

// measureEndpoints adds the states of endpoints, the load of each service's endpoints and its
// remaining retries.
func (f *Fleet) measureEndpoints(now time.Duration, out map[string]float64) {
	for _, state := range []string{"healthy", "suspect", "out", "probing"} {
		out[fmt.Sprintf(`endpoints{state=%q}`, state)] = 0
	}
	out["endpoints_behind"], out["endpoints_limited"] = 0, float64(f.selector.CountLimited())
	out["endpoints_cold"] = float64(f.selector.CountCold())
	out["endpoint_records_unnamed"] = float64(f.registry.AsideCount())
	out["failure_domains_evacuated"] = float64(f.selector.CountEvacuated())
	f.measureSpill(out)
	queues := map[string]sycplace.Load{}
	for _, e := range f.selector.Endpoints() {
		out[fmt.Sprintf(`endpoints{state=%q}`, f.selector.State(e.ID))]++
		if f.versionsBehind(e) > 0 {
			out["endpoints_behind"]++
		}
		queue, load := queues[e.Service], f.selector.Load(e.ID)
		queue.Requests += load.Requests
		queue.Tokens += load.Tokens
		queues[e.Service] = queue
		out[fmt.Sprintf(`queue_slots{service=%q}`, e.Service)] += float64(e.Slots)
	}
	for service, c := range f.selector.Capacities(now) {
		out[fmt.Sprintf(`engine_tokens_per_second{service=%q}`, service)] = c.TokensPerSecond
		out[fmt.Sprintf(`engine_unexplained_wait_seconds{service=%q}`, service)] = c.Wait.Seconds()
		contended := 0.0
		if c.Contended {
			contended = 1
		}
		out[fmt.Sprintf(`service_contended{service=%q}`, service)] = contended
	}
	for service, queue := range queues {
		out[fmt.Sprintf(`queue_requests{service=%q}`, service)] = float64(queue.Requests)
		out[fmt.Sprintf(`queue_tokens{service=%q}`, service)] = float64(queue.Tokens)
		out[fmt.Sprintf(`retries_left{service=%q}`, service)] = f.retries.Get(now, service).Left(now)
	}
}

// countRetry counts a retry that the budget allowed or refused.
func countRetry(service string, allowed bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_retries_total{service=%q,allowed="%t"}`, service, allowed)).Inc()
}
