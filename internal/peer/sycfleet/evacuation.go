package sycfleet

import (
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

// applyEvacuation begins or ends the evacuation of a failure domain, as its record is written or removed.
func (f *Fleet) applyEvacuation(now time.Duration, failureDomain string, c sycfeed.Change) {
	switch {
	case c.Deleted:
		f.evacuationsEnded[failureDomain] = true
	case c.Inferred && f.evacuationsEnded[failureDomain]:
		// A restored log that lacks the removal of the record has it again.
		return
	default:
		delete(f.evacuationsEnded, failureDomain)
	}
	f.setEvacuated(now, failureDomain, !c.Deleted, c.Position)
}

// applyUncertainEvacuation evacuates a failure domain by a record that a restored log may hold from before what this
// VM knows, unless this VM knows that the record was removed.
func (f *Fleet) applyUncertainEvacuation(now time.Duration, failureDomain string, r sycfeed.Record) {
	if len(r.Value) > 0 && !f.evacuationsEnded[failureDomain] {
		f.setEvacuated(now, failureDomain, true, r.Position)
	}
}

// setEvacuated begins or ends the evacuation of a failure domain by the record at a position.
func (f *Fleet) setEvacuated(now time.Duration, failureDomain string, evacuated bool, at sycfeed.Position) {
	if !f.selector.SetEvacuated(now, failureDomain, evacuated) {
		return
	}
	line := f.log.WithFields(logrus.Fields{
		"domain": failureDomain, "position": at, "age": (now - f.subscriptions[TopicOperator].changeTime(now)).String(),
	})
	if evacuated {
		line.Info("fleet: failure domain evacuated")
		return
	}
	line.Info("fleet: evacuation ended")
}
