package sycfleet

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycregistry"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// applyEndpointChange applies a new or dropped record of an endpoint. A record that names no endpoint takes the one
// that its key named before out of use, and changes nothing for any other.
func (f *Fleet) applyEndpointChange(now time.Duration, c sycfeed.Change) {
	defer f.noteEnd(now, c.Key)()
	defer f.logSuccessions()
	if c.Deleted {
		f.registry.Drop(c.Key)
		f.dropEndpoint(c.Key)
		return
	}
	e, err := f.options.Decoder.Endpoint(c.Key, c.Value)
	if err != nil {
		f.registry.Drop(c.Key)
		f.passOver(c.Key, reasonOf(err), logrus.Fields{"error": err.Error(), "position": c.Position})
		f.dropEndpoint(c.Key)
		return
	}
	if !f.admitEndpoint(c, e) {
		return
	}
	if !f.registry.Admit(e) {
		if f.registry.Configured() {
			f.passOverUnnamed(e, logrus.Fields{"position": c.Position})
		}
		f.dropEndpoint(c.Key)
		return
	}
	f.putEndpoint(now, e, logrus.Fields{"position": c.Position})
}

// putEndpoint puts an endpoint by its record into use. The fields say what the record has come with.
func (f *Fleet) putEndpoint(now time.Duration, e sycplace.Endpoint, fields logrus.Fields) {
	old, known := f.selector.Endpoint(e.ID)
	e = f.selector.Put(e)
	isNew := !known || old.Incarnation != e.Incarnation || old.Address != e.Address
	if isNew {
		f.resetPeerLoads(e.ID)
	}
	f.selector.ObserveCold(now, e.ID, isNew)
	f.logColdChanges(now)
	if !known || old.Leaving != e.Leaving || old.Incarnation != e.Incarnation || !maps.Equal(old.Weights, e.Weights) {
		f.log.WithFields(fields).WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "address": e.Address, "leaving": e.Leaving,
			"release": e.Release, "weights": e.Weights,
		}).Info("fleet: endpoint changed")
	}
}

// dropEndpoint takes an endpoint out of use.
func (f *Fleet) dropEndpoint(id string) {
	if _, known := f.selector.Endpoint(id); known {
		f.log.WithField("endpoint", id).Info("fleet: endpoint dropped")
	}
	f.selector.Drop(id)
	f.dropIdleLoads(id)
	f.dropLimits(id)
}

// reasonOf returns the reason of an error of Decoder.Endpoint.
func reasonOf(err error) sycregistry.Reason {
	var record *sycregistry.RecordError
	if errors.As(err, &record) {
		return record.Reason
	}
	return sycregistry.Unreadable
}

// passOver counts a record that names no endpoint, and logs it unless the key's last one was passed over for the same
// reason.
func (f *Fleet) passOver(key string, reason sycregistry.Reason, fields logrus.Fields) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_records_passed_over_total{reason=%q}`, reason)).Inc()
	if !f.registry.PassOver(key, reason) {
		return
	}
	f.log.WithFields(fields).WithFields(logrus.Fields{"endpoint": key, "reason": string(reason)}).Warn("fleet: endpoint's record passed over")
}

// passOverUnnamed is passOver for a record whose service no known configuration names.
func (f *Fleet) passOverUnnamed(e sycplace.Endpoint, fields logrus.Fields) {
	fields["service"], fields["address"], fields["incarnation"] = e.Service, e.Address, e.Incarnation
	f.passOver(e.ID, sycregistry.UnnamedService, fields)
}

// nameServices puts the endpoints of the services that the newest configuration names into use, and takes the others out.
func (f *Fleet) nameServices(now time.Duration, c *sycsite.Config) {
	named, unnamed := f.registry.SetServices(c.ServiceNames(), f.selector.Endpoints())
	for _, e := range unnamed {
		f.passOverUnnamed(e, logrus.Fields{"config": c.Version()})
		f.dropEndpoint(e.ID)
	}
	for _, e := range named {
		f.putEndpoint(now, e, logrus.Fields{"config": c.Version()})
	}
	f.logSuccessions()
}

// logSuccessions logs and counts which endpoints have ended or go on after all, since others are or aren't at their
// address.
func (f *Fleet) logSuccessions() {
	for _, s := range f.selector.TakeSuccessions() {
		metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_successions_total{change=%q}`, s.Change)).Inc()
		f.log.WithFields(logrus.Fields{
			"endpoint": s.Former.ID, "service": s.Former.Service, "incarnation": s.Former.Incarnation, "address": s.Former.Address,
			"later": s.Later.ID, "later_service": s.Later.Service, "later_incarnation": s.Later.Incarnation, "change": string(s.Change),
		}).Info("fleet: endpoint's successor changed")
	}
}
