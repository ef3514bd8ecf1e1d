package sycdispatch

import (
	"maps"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// NoEndpointRetry is the time after which a request that found no endpoint may be tried again.
const NoEndpointRetry = 2 * time.Second

// impossible returns the refusal of a request that no endpoint can run.
func (d *Dispatcher) impossible(r *Request) *sycwork.Refusal {
	if r.Model != "" && len(r.Options) == 0 {
		return &sycwork.Refusal{
			Reason:  sycwork.UnknownName,
			Message: "no version serves the model",
		}
	}
	for _, e := range d.order {
		if _, ok := d.fits(e, r); ok {
			return nil
		}
	}
	return &sycwork.Refusal{
		Reason:     sycwork.NoEndpoint,
		Message:    "no endpoint is available; the request was not run",
		RetryAfter: NoEndpointRetry,
	}
}

// fits returns the option with which the endpoint may run the request.
func (d *Dispatcher) fits(e *endpoint, r *Request) (Option, bool) {
	if e.record.Leaving() || slices.Contains(r.Exclude, e.record.Name()) {
		return Option{}, false
	}
	if r.Service != "" {
		return Option{}, e.offers(r.Service)
	}
	for _, o := range r.Options {
		if e.serves(r.Model, o.Version, d.initial(o.Version.Version)) {
			return o, true
		}
	}
	return Option{}, false
}

func (d *Dispatcher) initial(version string) bool {
	for _, o := range d.config.Versions() {
		if o.Value().Name() == version {
			return o.Value().Initial()
		}
	}
	return false
}

func (d *Dispatcher) poolNames() []string {
	return slices.Sorted(maps.Keys(d.pools))
}

func (d *Dispatcher) dispatchAll(now time.Duration) {
	for _, name := range d.poolNames() {
		d.dispatch(now, d.pools[name])
	}
}

// dispatch starts waiting requests in order until no endpoint has room.
func (d *Dispatcher) dispatch(now time.Duration, p *pool) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool {
		return d.place(now, w)
	})
}

func (d *Dispatcher) place(now time.Duration, w waiting) bool {
	var best *endpoint
	var option Option
	for _, e := range d.order {
		o, ok := d.fits(e, w.request)
		if !ok || e.inFlight >= e.slots() {
			continue
		}
		if best == nil || e.inFlight < best.inFlight {
			best, option = e, o
		}
	}
	if best == nil {
		return false
	}
	d.start(now, w, best, option)
	return true
}

func (d *Dispatcher) start(now time.Duration, w waiting, e *endpoint, o Option) {
	target := sycwork.Target{
		Endpoint:      e.record.Name(),
		Address:       e.record.Address(),
		FailureDomain: e.record.FailureDomain(),
		Weights:       o.Version.Weights,
		Adapter:       o.Version.Adapter,
		Version:       o.Version.Version,
		Salt:          o.Salt,
		Priority:      d.priority(w.request.Customer),
	}
	e.inFlight++
	d.running[w.request.ID] = &attempt{request: w.request, endpoint: e, target: target, started: now}
	d.out = append(d.out, Decision{ID: w.request.ID, Target: &target, Waited: now - w.arrived})
}

func (d *Dispatcher) priority(customer string) int {
	o, ok := d.config.Customer(customer)
	if !ok {
		return 0
	}
	return o.Value().Priority()
}
