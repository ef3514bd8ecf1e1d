package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syccapacity"
)

// Capacity is what is known of the engines of a service.
type Capacity struct {
	// TokensPerSecond is how many prompt tokens an engine reads in a second.
	TokensPerSecond float64
	// Wait is the unexplained wait of urgent requests over all engines.
	Wait time.Duration
	// Contended is set while most answers are late, so that requests compete for room.
	Contended bool
}

// Capacities returns what is known of the engines of each service, by service.
func (s *Selector) Capacities(now time.Duration) map[string]Capacity {
	out := make(map[string]Capacity, len(s.models))
	for service, m := range s.models {
		out[service] = Capacity{
			TokensPerSecond: m.TokensPerSecond(), Wait: m.PooledWait(now), Contended: s.isContended(now, service),
		}
	}
	return out
}

// model returns what is known of the engines of a service.
func (s *Selector) model(service string) *syccapacity.Model {
	m := s.models[service]
	if m == nil {
		m = syccapacity.NewModel(syccapacity.Prior{TokensPerSecond: s.settings.TokensPerSecond, FirstToken: s.settings.FirstToken})
		s.models[service] = m
	}
	return m
}

// observeCapacity learns from the first byte of an attempt's answer.
func (s *Selector) observeCapacity(now time.Duration, a *attempt) {
	tokens := a.load.Tokens + a.uncachedTokens
	took := now - a.started - a.transfer - s.spill.detour(now, a)
	s.model(a.request.Service).Observe(now, a.endpoint.capacity, a.request.urgency(), tokens, took)
}

// observePunctuality records whether an attempt's answer began in time, if its request wasn't late already.
func (s *Selector) observePunctuality(now time.Duration, a *attempt, answered bool) {
	r := a.request
	if r.Model == "" || r.Objective <= 0 || r.isLate() {
		return
	}
	p := s.punctuality[r.Service]
	if p == nil {
		p = syccapacity.NewPunctuality()
		s.punctuality[r.Service] = p
	}
	p.Observe(now, answered && now-a.started <= r.Objective)
}

// isContended reports whether requests to a service compete for room.
func (s *Selector) isContended(now time.Duration, service string) bool {
	p := s.punctuality[service]
	return p != nil && p.Contended(now)
}

// overdue returns by how much the most overdue of this VM's attempts at an endpoint is later than was expected. One that
// is so late that it counts against the endpoint's health says nothing about the others.
func (e *endpoint) overdue(now time.Duration) time.Duration {
	most := time.Duration(0)
	for _, a := range e.attempts {
		if !a.answered && now-a.started < overdueAfter(a.expected) {
			most = max(most, now-a.started-a.expected)
		}
	}
	return most
}

// isLate reports whether the objective had passed before the caller came back with the request.
func (r *Request) isLate() bool { return r.Age >= r.Objective }

// urgency returns the urgency of the request by its route. A customer's own priority, which the engine gets, isn't
// considered.
func (r *Request) urgency() syccapacity.Urgency {
	if r.Priority == 0 {
		return syccapacity.Urgent
	}
	return syccapacity.Deferrable
}
