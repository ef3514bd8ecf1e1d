package sycchoose

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
)

var (
	// decisions counts all decisions on requests.
	decisions = metrics.NewCounter("sycamorecart_choose_decisions_total")
	// predictedTokens counts the prompt tokens that were expected in the cache of the
	// selected endpoint, importedTokens those that the endpoint was to import from another.
	predictedTokens = metrics.NewCounter("sycamorecart_choose_predicted_cached_tokens_total")
	importedTokens  = metrics.NewCounter("sycamorecart_choose_imported_tokens_total")
	// droppedFetches counts the store fetches that were dropped because the queue was full.
	droppedFetches = metrics.NewCounter("sycamorecart_choose_dropped_keeps_total")
	// queueWait measures the time that a request waited for its endpoint.
	queueWait = metrics.NewHistogram("sycamorecart_choose_queue_wait_seconds")
	// decisionTime measures the time that the loop takes to process a new request.
	decisionTime = metrics.NewHistogram("sycamorecart_choose_decision_seconds")
)

// gauges holds the values of the chooser's gauges, which the metrics package reads
// concurrently.
type gauges struct {
	// queued is the number of waiting requests.
	queued atomic.Int64
	// indexBlocks and indexBytes are the size of the index of cached blocks.
	indexBlocks atomic.Int64
	indexBytes  atomic.Int64
	// endpointsOut is the number of endpoints that are out of service.
	endpointsOut atomic.Int64
}

// processGauges holds the gauges of the process. All choosers of a process set them.
var processGauges = newGauges()

// newGauges registers the gauges under their names.
func newGauges() *gauges {
	g := &gauges{}
	register("sycamorecart_choose_queued_requests", &g.queued)
	register("sycamorecart_choose_index_blocks", &g.indexBlocks)
	register("sycamorecart_choose_index_bytes", &g.indexBytes)
	register("sycamorecart_choose_endpoints_out", &g.endpointsOut)
	return g
}

// register registers a gauge that shows a value.
func register(name string, value *atomic.Int64) {
	metrics.NewGauge(name, func() float64 { return float64(value.Load()) })
}

// set updates the gauges from the dispatcher's totals.
func (g *gauges) set(s sycdispatch.Stats) {
	g.queued.Store(int64(s.Queued))
	g.indexBlocks.Store(int64(s.IndexBlocks))
	g.indexBytes.Store(int64(s.IndexBytes))
	g.endpointsOut.Store(int64(s.EndpointsOut))
}

// count counts a decision and its outcome.
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
