package sycfleet

import (
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
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
	if known && old.era != at.Era && old.incarnation > 0 && e.Incarnation > 0 {
		if e.Incarnation < old.incarnation || same && (e.Sequence < old.sequence || old.leaving && !e.Leaving) {
			return false
		}
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
