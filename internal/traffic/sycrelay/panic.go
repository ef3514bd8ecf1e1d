package sycrelay

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycending"
)

// place names the goroutine of a call in which a panic was recovered.
type place string

// Places of panics. The goroutines of placeTimeout and placeStandby only look for another endpoint, so that
// the call continues without them. Panics in the fleet's control loop are not recovered: its state may be
// inconsistent then, and the process ends.
const (
	placeRequest place = "request"
	placeTimeout place = "timeout"
	placeStandby place = "standby"
)

// reasonPanic is the reason of an attempt that ended by a panic.
const reasonPanic = "panic"

// PanicError means that a panic was recovered while an attempt ran.
type PanicError struct {
	// Value is the panic's.
	Value any
}

// Error returns the panic's value.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// slot is an attempt's place at its endpoint, from the selection until the attempt is finished at the fleet.
type slot struct {
	// sent is set right before the request's first byte is sent.
	sent atomic.Bool
}

// recoverPanic ends a call under which a panic occurred. The caller gets status 500, or, if an answer has
// begun, is aborted. ServeHTTP defers it.
func (x *exchange) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	if x.ending == "" || value != http.ErrAbortHandler {
		x.reportPanic(placeRequest, value)
	}
	if x.ending != "" {
		closeConnection()
	}
	if x.mayHaveRun() {
		x.ran = true
	}
	x.releaseSlot()
	if !x.ran {
		x.refund()
	}
	if x.answering {
		x.abort(panicReason(value), "", 0)
	}
	x.ending = sycending.Panic
	clear(x.writer.Header())
	if x.relay.draining.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	x.fail(http.StatusInternalServerError, reasonPanic)
}

// panicReason returns the reason of a connection that is closed after a panic with a value.
func panicReason(value any) sycending.Reason {
	if value == http.ErrAbortHandler {
		return sycending.Internal
	}
	return sycending.Panic
}

// mayHaveRun reports whether an endpoint may have run the request or may run it.
func (x *exchange) mayHaveRun() bool { return x.ran || x.slot != nil && x.slot.sent.Load() }

// releaseSlot finishes the present attempt at the fleet if a panic has left it unfinished. It doesn't count
// for or against the endpoint.
func (x *exchange) releaseSlot() {
	if x.slot != nil {
		x.finishAttempt(sycplace.Cancelled, time.Now())
	}
}

// refund cancels the charge of a call that no endpoint has run.
func (x *exchange) refund() {
	if x.charged {
		x.charged = false
		x.relay.fleet.Refund(x.customer, x.cost)
	}
}

// catchPanic recovers a panic in a goroutine of the call without which the call continues.
func (x *exchange) catchPanic(p place) {
	if value := recover(); value != nil {
		x.reportPanic(p, value)
	}
}

// reportPanic logs and counts a panic. It must be called by the deferred function that has recovered it, so that
// the stack is that of the panic.
func (x *exchange) reportPanic(p place, value any) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_call_panics_total{place=%q}`, p)).Inc()
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "place": string(p), "panic": fmt.Sprint(value), "stack": string(debug.Stack()),
	}).Error("relay: panic under a request")
}
