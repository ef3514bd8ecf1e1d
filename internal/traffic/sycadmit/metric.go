package sycadmit

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

var (
	admitted      = metrics.GetOrCreateCounter("sycamorecart_limit_admitted_total")
	expiredGrants = metrics.GetOrCreateCounter("sycamorecart_limit_expired_grants_total")
	borrowed      = metrics.GetOrCreateCounter("sycamorecart_limit_borrowed_microtokens_total")
	lent          = metrics.GetOrCreateCounter("sycamorecart_limit_lent_microtokens_total")
	asksLent      = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="lent"}`)
	asksEmpty     = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="empty"}`)
	asksFailed    = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="failed"}`)
	pauses        = metrics.GetOrCreateCounter("sycamorecart_limit_stalls_total")
	takeovers     = metrics.GetOrCreateCounter("sycamorecart_limit_claims_total")
	waits         = metrics.GetOrCreateHistogram("sycamorecart_limit_wait_seconds")
)

// countRefusal counts a refused request by the cause of its rejection.
func countRefusal(cause syclimit.Cause) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_limit_refused_total{cause=%q}", cause)).Inc()
}
