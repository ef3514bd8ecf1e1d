package sycrelay

import (
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycoverload"
)

// gate rejects new requests while the VM lacks the processor time for those it has accepted.
// It doesn't use the fleet's loop, whose delay it measures. Its methods are safe for
// concurrent use.
type gate struct {
	log *logrus.Entry
	// start is when the gate's time is 0.
	start time.Time
	// mu guards guard.
	mu    sync.Mutex
	guard *sycoverload.Guard
}

// newGate returns the gate of a VM that isn't overloaded.
func newGate(log *logrus.Entry) *gate {
	return &gate{log: log, start: time.Now(), guard: sycoverload.New()}
}

// now returns the gate's time.
func (g *gate) now() time.Duration { return time.Since(g.start) }

// decide decides whether a new request is accepted. It returns what the decision is based on
// too.
func (g *gate) decide(r sycoverload.Request) (sycoverload.Decision, sycoverload.State) {
	decision, before, state := g.ask(r)
	if state != before {
		g.report(state, before.Share > 0)
	}
	return decision, state
}

// ask returns the guard's decision and its states before and after it.
func (g *gate) ask(r sycoverload.Request) (decision sycoverload.Decision, before, after sycoverload.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.guard.State()
	decision = g.guard.Decide(g.now(), r)
	return decision, before, g.guard.State()
}

// report updates the gauges, and logs if the VM has become overloaded or no longer is.
func (g *gate) report(s sycoverload.State, wasOverloaded bool) {
	metrics.GetOrCreateGauge("sycamorecart_overload_delay_seconds", nil).Set(s.Delay.Seconds())
	metrics.GetOrCreateGauge("sycamorecart_overload_rejected_share", nil).Set(s.Share)
	if overloaded := s.Share > 0; overloaded != wasOverloaded {
		g.log.WithFields(logrus.Fields{
			"overloaded": overloaded, "delay": s.Delay.String(), "tolerated": s.Tolerated.String(), "share": s.Share,
		}).Warn("relay: overload changes")
	}
}

// beginSelection records that a request begins to wait for its selection. The caller calls the
// returned function when it has it.
func (g *gate) beginSelection() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := g.now()
	g.guard.BeginSelection(began)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.guard.EndSelection(g.now(), began)
	}
}

// awaitTurn lets all work that is ready go before a new call, such as answers that are to be
// passed on. It records how long that took.
func (x *exchange) awaitTurn() {
	runtime.Gosched()
	x.turnWait = time.Since(x.arrived)
}

// checkOverload rejects the call and returns false if the VM hasn't the processor time for it.
func (x *exchange) checkOverload() bool {
	decision, state := x.relay.gate.decide(sycoverload.Request{
		Priority:  x.priority,
		Waited:    x.turnWait,
		Objective: x.route.Objective,
		Remaining: time.Until(x.deadline),
	})
	if decision.Reason == "" {
		return true
	}
	x.refusalFields = logrus.Fields{
		"priority": x.priority, "waited": x.turnWait.String(), "expected": decision.Expected.String(),
		"delay": state.Delay.String(), "tolerated": state.Tolerated.String(), "share": state.Share,
		"objective": x.route.Objective.String(), "retry_after": decision.After.String(),
	}
	x.refuse(http.StatusServiceUnavailable, string(decision.Reason), decision.After)
	return false
}
