package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
)

// serviceTimeWeight is the weight of a new observation in the moving average of a route's
// service time.
const serviceTimeWeight = 0.1

// longPromptTokens is the number of uncached prompt tokens from which on other VMs receive a
// request's load at once.
const longPromptTokens = 3000

// observations holds what this VM has observed of requests, engines and the lease holder.
type observations struct {
	// serviceTimes holds how long an attempt takes from its start to its end, as a moving
	// average by route.
	serviceTimes map[string]time.Duration
	// cordons holds the ends of the cordons that this VM announces, by endpoint ID.
	cordons map[string]time.Duration
	// reported holds the weights that engines reported while they loaded new ones, by
	// endpoint ID.
	reported map[string]reportedWeights
	// holderSeen is when the lease holder last told that it holds the lease.
	holderSeen time.Duration
	// restoredAt is when this VM learned of the present era of the log, 0 if that is the first.
	restoredAt time.Duration
	// allReadDutyAt is the time before which only few VMs read the duty log, since the log was
	// restored.
	allReadDutyAt time.Duration
	// dutyToldAt is when this VM, as the holder, last told of its duties, and dutyChanged
	// is set if there is something new to tell.
	dutyToldAt  time.Duration
	dutyChanged bool
	// lastTick is when the loop's periodic work was last done.
	lastTick time.Duration
	// loopDelay is the longest delay of the periodic work since it was last taken.
	loopDelay time.Duration
}

// observeTick records that the loop's periodic work begins.
func (o *observations) observeTick(now time.Duration) {
	if o.lastTick > 0 {
		o.loopDelay = max(o.loopDelay, now-o.lastTick-tickPeriod)
	}
	o.lastTick = now
}

// takeLoopDelay returns the longest delay of the periodic work since the last call.
func (o *observations) takeLoopDelay() time.Duration {
	delay := o.loopDelay
	o.loopDelay = 0
	return delay
}

// reportedWeights is the versions of weights, by model, that one incarnation of an engine has
// reported.
type reportedWeights struct {
	incarnation int64
	weights     map[string]int64
}

func newObservations() *observations {
	return &observations{
		serviceTimes: map[string]time.Duration{},
		cordons:      map[string]time.Duration{},
		reported:     map[string]reportedWeights{},
		holderSeen:   -holderSilence,
	}
}

// Admission asks to admit a request and select the endpoint of its first attempt.
type Admission struct {
	// Customer is charged for the request.
	Customer string
	// Cost is the request's cost in units of the customer's limit, requests or tokens.
	Cost float64
	// Route is the name of the request's route.
	Route string
	// Request holds the criteria for the endpoint.
	Request *sycplace.Request
}

// AdmissionResult is the result of an admission: one of Target, Refusal, Suspect and
// LimitedFor is set.
type AdmissionResult struct {
	// Target is the endpoint to send the request to.
	Target *sycplace.Target
	// Refusal says why no endpoint was selected.
	Refusal *sycplace.Refusal
	// Suspect says why the prompt isn't sent to any endpoint.
	Suspect *sycsuspect.Verdict
	// LimitedFor is the time until the customer's limit allows the request.
	LimitedFor time.Duration
	// Limit is the limit that the customer would exceed. It is set with LimitedFor.
	Limit sycquota.Limit
	// Level is what is left in the token bucket of Limit, in units of cost.
	Level float64
}

// NewID returns the ID of a new attempt, unique on this VM.
func (f *Fleet) NewID() uint64 { return f.lastID.Add(1) }

// Admit charges a request to its customer and selects the endpoint of its first attempt. A
// request without an endpoint isn't charged.
func (f *Fleet) Admit(a Admission) AdmissionResult {
	var v AdmissionResult
	f.loop.Do(func(now time.Duration) {
		a.Request.ServiceTime = f.observed.serviceTimes[a.Route]
		f.retries.Get(now, a.Request.Service).Request(now)
		if v.Suspect = f.judge(now, a.Request, false); v.Suspect != nil {
			return
		}
		wait, ok := f.quota.Admit(now, a.Customer, a.Cost)
		if !ok {
			v.LimitedFor = wait
			v.Limit, v.Level, _ = f.quota.State(a.Customer)
			return
		}
		v.Target, v.Refusal = f.selector.Select(now, a.Request)
		if v.Refusal != nil {
			f.quota.Refund(a.Customer, a.Cost)
		}
		f.recordSelection(now, v.Target, a.Request, a.Route)
	})
	return v
}

// Retry selects the endpoint of a further attempt of a request, nil if there is none. Arrived
// is set if the last attempt reached its endpoint. Only then the attempt counts as a retry
// and needs the service's retry budget. The verdict says why the prompt isn't sent again, nil if
// that isn't the reason.
func (f *Fleet) Retry(r *sycplace.Request, route string, arrived bool) (*sycplace.Target, *sycsuspect.Verdict) {
	var target *sycplace.Target
	var verdict *sycsuspect.Verdict
	f.loop.Do(func(now time.Duration) {
		if verdict = f.judge(now, r, arrived); verdict != nil {
			return
		}
		budget := f.retries.Get(now, r.Service)
		if arrived && !budget.Allows(now) {
			countRetry(r.Service, false)
			return
		}
		target, _ = f.selector.Select(now, r)
		if target != nil && arrived {
			budget.Spend(now)
			countRetry(r.Service, true)
		}
		f.recordSelection(now, target, r, route)
	})
	return target, verdict
}

// recordSelection records that an attempt begins, unless its target is nil. In a fleet whose VMs
// all exchange state, a prompt that keeps an engine busy is told at once, so that the others don't
// send theirs to the same engine.
func (f *Fleet) recordSelection(now time.Duration, t *sycplace.Target, r *sycplace.Request, route string) {
	if t == nil {
		return
	}
	f.beginEvidence(now, r.ID, route)
	f.suspects.begin(now, t, r)
	if f.topology.IsDirect() && r.Tokens-t.CachedTokens-t.FetchTokens >= longPromptTokens {
		f.kick()
	}
}

// UpdateWeights records which version of a model's weights an incarnation of an endpoint has.
func (f *Fleet) UpdateWeights(endpoint string, incarnation int64, model string, version int64) {
	f.loop.Post(func(time.Duration) { f.selector.UpdateWeights(endpoint, incarnation, map[string]int64{model: version}) })
}

// Refund cancels the charge of a request that hasn't run.
func (f *Fleet) Refund(customer string, cost float64) {
	f.loop.Post(func(time.Duration) { f.quota.Refund(customer, cost) })
}

// RecordFirstByte records that the first byte of an attempt's answer has arrived.
func (f *Fleet) RecordFirstByte(id uint64) {
	f.loop.Post(func(now time.Duration) {
		f.selector.ObserveFirstByte(now, id)
		f.recordFirstToken(now, id)
		f.suspects.recordContent(now, id)
	})
}

// MarkLast records that no other endpoint may get an attempt's request any more.
func (f *Fleet) MarkLast(id uint64) {
	f.loop.Post(func(time.Duration) { f.selector.MarkLast(id) })
}

// FinishAttempt records how an attempt ended and how long it took. The time counts towards the
// route's service time only if the attempt was served.
func (f *Fleet) FinishAttempt(id uint64, o sycplace.Outcome, route string, took time.Duration) {
	f.loop.Post(func(now time.Duration) {
		evidence := f.selector.Finish(now, id, o)
		f.endEvidence(now, id, route, evidence)
		f.suspects.finish(now, id, o, evidence.Outcome == o)
		f.publishFaults(now)
		if o != sycplace.Served {
			return
		}
		average, ok := f.observed.serviceTimes[route]
		if !ok {
			average = took
		}
		f.observed.serviceTimes[route] = average + time.Duration(serviceTimeWeight*float64(took-average))
	})
}
