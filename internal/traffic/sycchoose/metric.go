package sycchoose

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
)

var (
	decisions       = metrics.NewCounter("sycamorecart_choose_decisions_total")
	predictedTokens = metrics.NewCounter("sycamorecart_choose_predicted_cached_tokens_total")
	importedTokens  = metrics.NewCounter("sycamorecart_choose_imported_tokens_total")
	droppedKeeps    = metrics.NewCounter("sycamorecart_choose_dropped_keeps_total")
	queueWait       = metrics.NewHistogram("sycamorecart_choose_queue_wait_seconds")
	decisionTime    = metrics.NewHistogram("sycamorecart_choose_decision_seconds")
)

// gauges are read by the metrics package from any goroutine.
type gauges struct {
	queued  atomic.Int64
	entries atomic.Int64
	bytes   atomic.Int64
	out     atomic.Int64
}

// shown holds the values of the process's chooser.
var shown = newGauges()

func newGauges() *gauges {
	g := &gauges{}
	register("sycamorecart_choose_queued_requests", &g.queued)
	register("sycamorecart_choose_index_blocks", &g.entries)
	register("sycamorecart_choose_index_bytes", &g.bytes)
	register("sycamorecart_choose_endpoints_out", &g.out)
	return g
}

func register(name string, value *atomic.Int64) {
	metrics.NewGauge(name, func() float64 { return float64(value.Load()) })
}

func (g *gauges) set(s sycdispatch.Stats) {
	g.queued.Store(int64(s.Queued))
	g.entries.Store(int64(s.IndexBlocks))
	g.bytes.Store(int64(s.IndexBytes))
	g.out.Store(int64(s.EndpointsOut))
}

func count(d sycdispatch.Decision) {
	decisions.Inc()
	switch {
	case d.Refusal != nil:
		metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_choose_refusals_total{reason=%q}", d.Refusal.Reason)).Inc()
	case d.Target != nil:
		predictedTokens.Add(d.CachedTokens)
		importedTokens.Add(d.ImportedTokens)
		queueWait.Update(d.Waited.Seconds())
	}
}
