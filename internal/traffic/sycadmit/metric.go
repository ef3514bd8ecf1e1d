package sycadmit

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

var (
	// admitted counts the requests that got a permit in time.
	admitted = metrics.GetOrCreateCounter("sycamorecart_limit_admitted_total")
	// expiredGrants counts the permits that were used later than Settings.GrantTerm.
	expiredGrants = metrics.GetOrCreateCounter("sycamorecart_limit_expired_grants_total")
	// borrowed and lent count the permits in loans from and to other VMs, in millionths.
	borrowed = metrics.GetOrCreateCounter("sycamorecart_limit_borrowed_microtokens_total")
	lent     = metrics.GetOrCreateCounter("sycamorecart_limit_lent_microtokens_total")
	// asksLent, asksEmpty and asksFailed count this VM's requests for loans that got permits,
	// that got none, and that got no valid reply.
	asksLent   = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="lent"}`)
	asksEmpty  = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="empty"}`)
	asksFailed = metrics.GetOrCreateCounter(`sycamorecart_limit_asks_total{result="failed"}`)
	// pauses counts the process pauses that stopped this VM's rate slots.
	pauses = metrics.GetOrCreateCounter("sycamorecart_limit_stalls_total")
	// takeovers counts the takeovers that this VM proposed, accepted or not.
	takeovers = metrics.GetOrCreateCounter("sycamorecart_limit_claims_total")
	// waits measures the time that requests waited for a permit.
	waits = metrics.GetOrCreateHistogram("sycamorecart_limit_wait_seconds")
)

// countRefusal counts a refused request by the cause of its rejection.
func countRefusal(cause syclimit.Cause) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_limit_refused_total{cause=%q}", cause)).Inc()
}
