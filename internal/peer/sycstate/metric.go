package sycstate

import (
	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
)

// Metrics of the applied records by result, the snapshots, and the reads of the log and of
// peers.
var (
	acceptedRecords    = metrics.NewCounter(`sycamorecart_state_records_total{result="accepted"}`)
	rejectedRecords    = metrics.NewCounter(`sycamorecart_state_records_total{result="refused"}`)
	appendedSnapshots  = metrics.NewCounter(`sycamorecart_state_snapshots_appended_total`)
	installedSnapshots = metrics.NewCounter(`sycamorecart_state_snapshots_installed_total`)
	logReads           = metrics.NewCounter(`sycamorecart_state_log_reads_total`)
	peerReads          = metrics.NewCounter(`sycamorecart_state_peer_reads_total`)
	logReadErrors      = metrics.NewCounter(`sycamorecart_state_log_read_errors_total`)
)

// countResults counts the accepted and the rejected records and logs the rejected ones.
func countResults(results []sycconfig.Result) {
	for _, result := range results {
		if result.Accepted() {
			acceptedRecords.Inc()
			continue
		}
		rejectedRecords.Inc()
		log.Debugf("rejected the record at %d: %s", result.Offset(), result.Reason())
	}
}
