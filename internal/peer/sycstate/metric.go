package sycstate

import (
	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
)

var (
	accepted  = metrics.NewCounter(`sycamorecart_state_records_total{result="accepted"}`)
	refused   = metrics.NewCounter(`sycamorecart_state_records_total{result="refused"}`)
	snapshots = metrics.NewCounter(`sycamorecart_state_snapshots_appended_total`)
	installs  = metrics.NewCounter(`sycamorecart_state_snapshots_installed_total`)
	logReads  = metrics.NewCounter(`sycamorecart_state_log_reads_total`)
	peerReads = metrics.NewCounter(`sycamorecart_state_peer_reads_total`)
	logFaults = metrics.NewCounter(`sycamorecart_state_log_read_errors_total`)
)

func count(results []sycconfig.Result) {
	for _, result := range results {
		if result.Accepted() {
			accepted.Inc()
			continue
		}
		refused.Inc()
		log.Debugf("refused the record at %d: %s", result.Offset(), result.Reason())
	}
}
