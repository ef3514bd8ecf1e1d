package sycfleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// selectionsWithdrawn counts the selections that no longer held when the request was to be sent.
var selectionsWithdrawn = metrics.GetOrCreateCounter("sycamorecart_selections_withdrawn_total")

// Permits reports whether a request may still be sent to the target selected for it. It asks the
// loop only if something that concerns selections has changed since the selection.
func (f *Fleet) Permits(r *sycplace.Request, t *sycplace.Target) bool {
	if f.selector.Generation() == t.Generation {
		return true
	}
	permitted := false
	f.loop.Do(func(now time.Duration) { permitted = f.selector.Permits(now, r, t) })
	if !permitted {
		selectionsWithdrawn.Inc()
	}
	return permitted
}
