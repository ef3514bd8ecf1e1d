package sycfleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

// faultLifetime is how long a fault of an endpoint is told.
const faultLifetime = time.Second

// publishFaults tells the other VMs at once of endpoints that take no requests.
func (f *Fleet) publishFaults(now time.Duration) {
	f.logSuccessions()
	faults := f.selector.TakeFaults()
	for _, fault := range faults {
		metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_faults_total{source="attempt",moved="%t"}`, fault.Moved)).Inc()
		message := &sycgossippb.EndpointFault{Endpoint: fault.Endpoint, Born: fault.Incarnation, Moved: fault.Moved, Version: f.changes.version()}
		f.changes.SetOwn(changeKey{process: f.changes.process, kind: faultChange, name: fault.Endpoint}, message, now+faultLifetime)
		f.log.WithFields(logrus.Fields{
			"endpoint": fault.Endpoint, "incarnation": fault.Incarnation, "moved": fault.Moved,
		}).Info("fleet: endpoint takes no requests")
	}
	if len(faults) > 0 {
		f.kick()
	}
}

// receiveFaults applies what another VM's process has found of endpoints.
func (f *Fleet) receiveFaults(now time.Duration, source, address string, p process, in []*sycgossippb.EndpointFault) {
	for _, m := range in {
		if !f.applyChange(source, p, faultChange, m.Endpoint, m.Version, m, now+faultLifetime) {
			continue
		}
		if !f.selector.ReceiveFault(now, sycplace.Fault{Endpoint: m.Endpoint, Incarnation: m.Born, Moved: m.Moved}) {
			continue
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_faults_total{source="vm",moved="%t"}`, m.Moved)).Inc()
		f.log.WithFields(logrus.Fields{
			"endpoint": m.Endpoint, "incarnation": m.Born, "moved": m.Moved, "vm": address,
		}).Debug("fleet: another VM found that an endpoint takes no requests")
	}
}
