package sycrelay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
	"sycamorecart.example/sycamorecart/internal/traffic/sycending"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// noConfigRetryAfter is the time after which a caller may try again at a VM that has no
	// configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// defaultTimeout is the time limit of calls whose caller states none. A route's timeout
	// can only shorten a call's time limit.
	defaultTimeout = time.Minute
)

// Options configures a Relay.
type Options struct {
	// Fleet selects endpoints and enforces limits.
	Fleet Fleet
	// Codec translates the protocols of callers and endpoints.
	Codec Codec
	// Client sends requests to endpoints.
	Client *sycwire.Client
	// Budget bounds the memory of bodies and answers in transit.
	Budget *sycbudget.Budget
}

// Relay is an http.Handler that serves callers by proxying their requests to endpoints.
type Relay struct {
	fleet  Fleet
	codec  Codec
	client *sycwire.Client
	budget *sycbudget.Budget
	log    *logrus.Entry
	// ages estimates the ages of requests of callers that come back.
	ages *ages
	// gate rejects calls while the VM is overloaded.
	gate *gate
	// draining is set while callers are asked to close their connections.
	draining atomic.Bool
}

// New returns a relay with the given options.
func New(o Options) *Relay {
	log := logrus.WithField("part", "relay")
	return &Relay{fleet: o.Fleet, codec: o.Codec, client: o.Client, budget: o.Budget, log: log, ages: newAges(), gate: newGate(log)}
}

// Drain makes every answer from now on ask the caller to close its connection.
func (r *Relay) Drain() { r.draining.Store(true) }

// exchange is the processing of one call.
type exchange struct {
	relay *Relay
	// writer writes the answer to the caller.
	writer http.ResponseWriter
	call   *Call
	// config is the configuration that was in force when the call arrived.
	config *sycsite.Config
	// route is the route that matches the call, nil if there is none.
	route *sycsite.Route
	// service is the name of the service that the route selected.
	service string
	// customer is the customer's name, empty if the call needs no key.
	customer string
	// isolated is set if the customer shares cached blocks with no other.
	isolated bool
	// priority is the urgency that endpoints receive, limited to lowestPriority; 0 is the
	// most urgent. It is the customer's if the customer has one, else the route's.
	priority int
	// cost is what the customer is charged: 1, or a number of tokens if the customer's limit
	// is in tokens. The tokens are those of the prompt and of the longest answer or, if the
	// call doesn't state them, the customer's default. It is 0 if the call needs no key.
	cost float64
	// unread is the body of the caller's request until readBody reads it, nil if net/http discards it
	// by itself or the caller waits for an answer before it sends it.
	unread io.Reader
	// remote is the caller's address with its port.
	remote string
	// transfer holds the memory of body, answers that of the answers that are buffered. They are nil if there is
	// none.
	transfer, answers *sycbudget.Transfer
	// body is the call's body, which every attempt sends.
	body []byte
	// arrived is when the call arrived.
	arrived time.Time
	// turnWait is how long the call waited for the processor when it had arrived.
	turnWait time.Duration
	// age is how long before this call arrived the caller seems to have sent the request for the first time, 0 if it is new.
	age time.Duration
	// deadline is when the call must have been answered.
	deadline time.Time
	// ctx is the context of the caller's request.
	ctx context.Context
	// request holds the criteria for the endpoint of the present attempt.
	request *sycplace.Request
	// attempts counts the attempts that reached an endpoint or are in flight, without the
	// uncounted ones.
	attempts int
	// tried lists the IDs of the endpoints tried so far, which aren't selected again. An
	// endpoint that the call is repeated at for other weights is removed from it.
	tried []string
	// uncounted is how many attempts weren't counted, without those of withdrawn, whose selection no longer
	// held.
	uncounted, withdrawn int
	// rejections is how many attempts weren't counted since they were rejected, see result.rejected, since the last pause.
	rejections int
	// returns tracks the waits for an endpoint that goes on with the stream.
	returns returns
	// ran is set once an endpoint may have run the request.
	ran bool
	// answering is set once bytes of an answer have gone to the caller.
	answering bool
	// bytes counts the bytes of answers' bodies that were written to the caller's connection.
	bytes int64
	// ending is why the call ends without a whole answer, empty unless it is aborted or has panicked.
	ending sycending.Reason
	// charged is set while the customer is charged for the call.
	charged bool
	// slot is the present attempt's place at its endpoint, nil if no attempt is unfinished at the fleet.
	slot *slot
	// heard is when the present attempt's endpoint last sent something: the answer's header or an
	// event. Before that it is when the attempt started.
	heard time.Time
	// lastEvent is the ID of the last event of a stream that the caller has received.
	lastEvent string
	// eventCount counts the events passed on to the caller.
	eventCount int
	// firstByte is the time from the call's arrival until the answer's header is sent to
	// the caller. An answer that isn't a stream has been buffered by then.
	firstByte time.Duration
	// timeout is the timeout of the present attempt, nil before the first.
	timeout *answerTimeout
	// target is the endpoint of the present attempt.
	target *sycplace.Target
	// failure is the last server error that an endpoint answered with and that was buffered as
	// a whole.
	failure *failure
	// verdict says why the prompt isn't sent again, nil if that isn't the reason.
	verdict *sycsuspect.Verdict
	// refusalFields holds log fields with the reason of a refusal.
	refusalFields logrus.Fields
}

// ServeHTTP processes a caller's request. It implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{relay: r, writer: w, arrived: time.Now(), ctx: req.Context(), call: &Call{}, remote: req.RemoteAddr}
	defer x.closeTransfers()
	defer x.recoverPanic()
	if req.Header.Get("Expect") == "" && (req.ContentLength < 0 || req.ContentLength > serverDiscards) {
		x.unread = req.Body
	}
	x.awaitTurn()
	x.config = r.fleet.Config()
	call, err := r.codec.Parse(req)
	if err == nil {
		x.call = call
		sycending.Of(x.ctx).Identify(call.ID)
	}
	if x.headerTooLarge(req) {
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	if !x.admit() || !x.checkOverload() || !x.readBody(req) {
		return
	}
	x.run()
}

// selectFirst charges the customer and selects the endpoint of the first attempt.
func (x *exchange) selectFirst() sycfleet.AdmissionResult {
	defer x.relay.gate.beginSelection()()
	return x.relay.fleet.Admit(sycfleet.Admission{
		Customer: x.customer,
		Cost:     x.cost,
		Route:    x.route.Name,
		Request:  x.request,
	})
}

// run sends the request to endpoints until one has answered or the call may have no further
// attempt.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.newRequest()
	admission := x.selectFirst()
	switch {
	case admission.LimitedFor > 0:
		x.refusalFields = logrus.Fields{
			"cost": x.cost, "rate": admission.Limit.Rate, "burst": admission.Limit.Burst, "level": int(admission.Level),
			"retry_after": admission.LimitedFor.String(),
		}
		x.refuse(http.StatusTooManyRequests, "limit", admission.LimitedFor)
		return
	case admission.Suspect != nil:
		x.refuseSuspect(admission.Suspect)
		return
	case admission.Refusal != nil:
		x.refusalFields = logrus.Fields{"endpoints": admission.Refusal.Endpoints, "retry_after": admission.Refusal.After.String()}
		x.refuse(http.StatusServiceUnavailable, string(admission.Refusal.Reason), admission.Refusal.After)
		return
	}
	x.target, x.slot, x.charged = admission.Target, &slot{}, true
	defer x.dropStandby()
	var standby *standby
	for {
		var result result
		if standby != nil {
			result = x.adoptStandby(standby)
		} else {
			result = x.attempt(ctx)
		}
		if result.done {
			return
		}
		x.relay.log.WithFields(logrus.Fields{
			"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "reason": result.reason, "arrived": result.arrived,
			"events": x.eventCount, "attempt": x.attempts,
		}).Warn("relay: attempt failed")
		if ctx.Err() != nil {
			// No standby can resume the stream any more, and its endpoint isn't to blame.
			x.dropStandby()
		}
		if standby = x.takeStandby(); standby != nil {
			continue
		}
		if !x.nextAttempt(ctx, result) {
			x.giveUp(ctx, result)
			return
		}
	}
}
