package sycfleet

import (
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// maxEndpointOrders limits the endpoints of which the newest records are remembered, also after
// they are gone. The oldest are dropped.
const maxEndpointOrders = 4096

// endpointOrder is what orders an endpoint's records by their content.
type endpointOrder struct {
	// era is the log's era at the newest record.
	era int64
	// incarnation and sequence are those of the newest record. leaving is set if one of the
	// incarnation has said that the endpoint leaves, which it doesn't take back.
	incarnation, sequence int64
	leaving               bool
}

// isAfter reports whether a record of an endpoint is certainly older.
func (o endpointOrder) isAfter(e sycplace.Endpoint) bool {
	if o.incarnation == 0 || e.Incarnation == 0 || o.incarnation != e.Incarnation {
		return e.Incarnation > 0 && e.Incarnation < o.incarnation
	}
	return e.Sequence < o.sequence || o.leaving && !e.Leaving
}

// endpointOrders remembers the newest records of endpoints. Within an era of the log, their
// positions order them. A restored log may bring back older ones.
type endpointOrders struct {
	// byID holds the order of each endpoint, and ids the keys, the oldest first.
	byID map[string]endpointOrder
	ids  []string
}

// admit remembers an endpoint's record at a position, and reports whether it isn't older than the
// one before.
func (o *endpointOrders) admit(at sycfeed.Position, e sycplace.Endpoint) bool {
	old, known := o.byID[e.ID]
	same := known && old.incarnation == e.Incarnation
	if known && old.era != at.Era && old.isAfter(e) {
		return false
	}
	if !known {
		o.ids = append(o.ids, e.ID)
	}
	if len(o.ids) > maxEndpointOrders {
		delete(o.byID, o.ids[0])
		o.ids = o.ids[1:]
	}
	o.byID[e.ID] = endpointOrder{
		era: at.Era, incarnation: e.Incarnation, sequence: e.Sequence, leaving: e.Leaving || same && old.leaving,
	}
	return true
}

// orderContents lets records whose content has an order stay over older ones of a restored log.
func (f *Fleet) orderContents() {
	f.subscriptions[TopicEndpoints].OrderBy(f.isOutdatedEndpoint)
	f.subscriptions[TopicOperator].OrderBy(f.isOutdatedOperator)
}

// isOutdatedEndpoint reports whether a record of an endpoint is older than the one that is held.
func (f *Fleet) isOutdatedEndpoint(held, r sycfeed.Record) bool {
	old, err := f.options.Decoder.Endpoint(held.Key, held.Value)
	if err != nil {
		return false
	}
	e, err := f.options.Decoder.Endpoint(r.Key, r.Value)
	return err == nil && endpointOrder{incarnation: old.Incarnation, sequence: old.Sequence, leaving: old.Leaving}.isAfter(e)
}

// isOutdatedOperator reports whether an operator's record is of an older version than the one that is
// held.
func (f *Fleet) isOutdatedOperator(held, r sycfeed.Record) bool {
	old, isVersioned := f.operatorVersion(held)
	version, isAlso := f.operatorVersion(r)
	return isVersioned && isAlso && version < old
}

// operatorVersion returns the version of a configuration or of weights.
func (f *Fleet) operatorVersion(r sycfeed.Record) (int64, bool) {
	record, err := f.options.Decoder.Operator(r.Key, r.Value)
	if err != nil {
		return 0, false
	}
	switch r := record.(type) {
	case *sycsite.Config:
		return r.Version(), true
	case Weights:
		return r.Version, true
	}
	return 0, false
}

// admitEndpoint reports whether a record of an endpoint isn't older than the one before.
func (f *Fleet) admitEndpoint(c sycfeed.Change, e sycplace.Endpoint) bool {
	if f.endpointOrders.admit(c.Position, e) {
		return true
	}
	f.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "leaving": e.Leaving, "position": c.Position, "incarnation": e.Incarnation, "sequence": e.Sequence,
	}).Info("fleet: older record of an endpoint ignored")
	return false
}
