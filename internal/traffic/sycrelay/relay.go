package sycrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// unknownRetry is when a caller may come back to a VM that knows no
	// configuration yet.
	unknownRetry = 300 * time.Millisecond
	// defaultTimeout bounds requests whose route and caller name no time.
	defaultTimeout = time.Minute
)

// Options configures a Relay.
type Options struct {
	Fleet  Fleet
	Codec  Codec
	Client *sycwire.Client
}

// Relay serves callers.
type Relay struct {
	fleet    Fleet
	codec    Codec
	client   *sycwire.Client
	log      *logrus.Entry
	draining atomic.Bool
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{fleet: o.Fleet, codec: o.Codec, client: o.Client, log: logrus.WithField("part", "relay")}
}

// Drain tells callers from now on to open their next connection elsewhere.
func (r *Relay) Drain() { r.draining.Store(true) }

// exchange is one caller's request under way.
type exchange struct {
	relay    *Relay
	writer   http.ResponseWriter
	call     *Call
	config   *sycsite.Config
	route    *sycsite.Route
	service  string
	customer string
	isolated bool
	priority int
	cost     float64
	body     []byte
	arrived  time.Time
	// until is when the request must have been answered.
	until time.Time
	ctx   context.Context
	// request is the placement of the present attempt.
	request *sycplace.Request
	// attempts counts the endpoints that the request was sent to.
	attempts int
	tried    []string
	// corrections counts the tries after a wrong belief about weights.
	corrections int
	// ran is true once an endpoint may have run the request.
	ran bool
	// started is true once bytes of an answer have gone to the caller.
	started bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	events    int
	firstByte time.Duration
	target    *sycplace.Target
	// failure is the last answer of an endpoint that says that it failed.
	failure *failure
	// note holds what decided a refusal.
	note logrus.Fields
}

// ServeHTTP answers a caller's request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{relay: r, writer: w, arrived: time.Now(), ctx: req.Context()}
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := r.codec.Parse(req)
	if err != nil {
		x.call = &Call{}
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	x.call = call
	if !x.admit() {
		return
	}
	if !x.readBody(req) {
		return
	}
	x.run()
}

// run sends the request to endpoints until one has answered or none may.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.ctx, x.until)
	defer cancel()
	x.place()
	verdict := x.relay.fleet.Admit(sycfleet.Admission{
		Customer: x.customer,
		Cost:     x.cost,
		Route:    x.route.Name,
		Request:  x.request,
	})
	switch {
	case verdict.LimitedFor > 0:
		x.note = logrus.Fields{
			"cost": x.cost, "rate": verdict.Limit.Rate, "burst": verdict.Limit.Burst, "level": int(verdict.Level),
			"retry_after": verdict.LimitedFor.String(),
		}
		x.refuse(http.StatusTooManyRequests, "limit", verdict.LimitedFor)
		return
	case verdict.Refusal != nil:
		x.note = logrus.Fields{"endpoints": verdict.Refusal.Endpoints, "retry_after": verdict.Refusal.After.String()}
		x.refuse(http.StatusServiceUnavailable, string(verdict.Refusal.Reason), verdict.Refusal.After)
		return
	}
	x.target = verdict.Target
	for {
		result := x.attempt(ctx)
		if result.done {
			return
		}
		x.relay.log.WithFields(logrus.Fields{
			"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "reason": result.reason, "arrived": result.arrived,
			"events": x.events, "attempt": x.attempts,
		}).Warn("relay: attempt failed")
		if !x.next(ctx, result) {
			x.giveUp(ctx, result)
			return
		}
	}
}
