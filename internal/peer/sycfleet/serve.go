package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
)

// workStep is the weight of a new observation of how long a route's requests take.
const workStep = 0.1

// longRead is the number of prompt tokens to be read that other VMs are told of
// at once.
const longRead = 3000

// loads holds what is measured of requests and what is announced of endpoints.
type loads struct {
	// work is how long requests take, by route.
	work map[string]time.Duration
	// holds names the endpoints that this VM has announced to be held.
	holds map[string]time.Duration
	// told holds what engines have said of their weights lately.
	told map[string]toldWeights
	// holderHeard is when the holder of the duties was last heard.
	holderHeard time.Duration
}

// toldWeights is what an engine has said of its weights.
type toldWeights struct {
	born    int64
	weights map[string]int64
}

func newLoads() *loads {
	return &loads{
		work:        map[string]time.Duration{},
		holds:       map[string]time.Duration{},
		told:        map[string]toldWeights{},
		holderHeard: -holderSilence,
	}
}

// Admission asks for a first attempt of a request.
type Admission struct {
	Customer string
	Cost     float64
	Route    string
	Request  *sycplace.Request
}

// AdmissionResult is the answer: Target, Refusal or LimitedFor is set.
type AdmissionResult struct {
	Target  *sycplace.Target
	Refusal *sycplace.Refusal
	// LimitedFor is the time until the customer's limit allows the request.
	LimitedFor time.Duration
	// Limit is the customer's limit, Level what is left of it.
	Limit sycquota.Limit
	Level float64
}

// NewID returns a number that no other attempt of this VM has.
func (f *Fleet) NewID() uint64 { return f.requests.Add(1) }

// Admit places a request and charges it to its customer.
func (f *Fleet) Admit(a Admission) AdmissionResult {
	var v AdmissionResult
	f.loop.Do(func(now time.Duration) {
		a.Request.ServiceTime = f.loads.work[a.Route]
		f.retries.Get(now, a.Request.Service).Request(now)
		after, ok := f.quota.Admit(now, a.Customer, a.Cost)
		if !ok {
			v.LimitedFor = after
			v.Limit, v.Level, _ = f.quota.State(a.Customer)
			return
		}
		v.Target, v.Refusal = f.placer.Select(now, a.Request)
		if v.Refusal != nil {
			f.quota.Refund(a.Customer, a.Cost)
		}
		f.placed(now, v.Target, a.Request, a.Route)
	})
	return v
}

// Retry places one more attempt of a request, within the budget of retries. It
// returns nil if there is none.
func (f *Fleet) Retry(r *sycplace.Request, route string, arrived bool) *sycplace.Target {
	var target *sycplace.Target
	f.loop.Do(func(now time.Duration) {
		budget := f.retries.Get(now, r.Service)
		if arrived && !budget.Allows(now) {
			countRetry(r.Service, false)
			return
		}
		target, _ = f.placer.Select(now, r)
		if target != nil && arrived {
			budget.Spend(now)
			countRetry(r.Service, true)
		}
		f.placed(now, target, r, route)
	})
	return target
}

// placed notes that an attempt has begun, if there is one. Other VMs are told at once
// of a prompt that keeps an engine busy, so that they don't send theirs to the same one.
func (f *Fleet) placed(now time.Duration, t *sycplace.Target, r *sycplace.Request, route string) {
	if t == nil {
		return
	}
	f.begun(now, r.ID, route)
	if r.Tokens-t.CachedTokens-t.FetchTokens >= longRead {
		f.mesh.Kick()
	}
}

// UpdateWeights tells which version of a model's weights an endpoint has.
func (f *Fleet) UpdateWeights(endpoint string, born int64, model string, version int64) {
	f.loop.Post(func(time.Duration) { f.placer.UpdateWeights(endpoint, born, map[string]int64{model: version}) })
}

// Refund takes back the charge of a request that has not run.
func (f *Fleet) Refund(customer string, cost float64) {
	f.loop.Post(func(time.Duration) { f.quota.Refund(customer, cost) })
}

// RecordFirstByte tells that the first byte of an answer has come.
func (f *Fleet) RecordFirstByte(id uint64) {
	f.loop.Post(func(now time.Duration) {
		f.placer.ObserveFirstByte(now, id)
		f.answered(now, id)
	})
}

// FinishAttempt tells how an attempt ended, and how long the request took if it was
// answered whole.
func (f *Fleet) FinishAttempt(id uint64, o sycplace.Outcome, route string, took time.Duration) {
	f.loop.Post(func(now time.Duration) {
		f.evidence(now, id, route, f.placer.Finish(now, id, o))
		if o != sycplace.Served {
			return
		}
		old, ok := f.loads.work[route]
		if !ok {
			old = took
		}
		f.loads.work[route] = old + time.Duration(workStep*float64(took-old))
	})
}
