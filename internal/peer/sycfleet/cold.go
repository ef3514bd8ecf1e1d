package sycfleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// logColdChanges logs and counts the endpoints that have become cold or warm.
func (f *Fleet) logColdChanges(now time.Duration) {
	for _, c := range f.selector.TakeColdChanges(now) {
		line := f.log.WithField("endpoint", c.Endpoint)
		if !c.Cold {
			line.Info("fleet: endpoint warm")
			continue
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoints_cooled_total{reason=%q}`, c.Reason)).Inc()
		line.WithFields(logrus.Fields{"for": c.For.String(), "reason": string(c.Reason), "rate": c.Rate}).Info("fleet: endpoint cold")
	}
}
