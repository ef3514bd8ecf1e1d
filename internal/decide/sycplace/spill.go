package sycplace

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycspill"
)

// answerBytes is the assumed size of an answer, in bytes: about 400 tokens, each in an event of about 40 bytes.
const answerBytes = 16 << 10

// spill decides which requests leave this VM's failure domain. Without a price it decides nothing.
type spill struct {
	// decider is nil without a price.
	decider *sycspill.Spill
	// tokenBytes holds the size of a cached token at the engines of each service, in bytes.
	tokenBytes map[string]int
}

// side is the best endpoint of one failure domain for a request.
type side struct {
	domain   string
	endpoint *endpoint
	estimate estimate
}

// newSpill returns a spill for a VM.
func newSpill(settings Settings) spill {
	if settings.CrossDomainPrice <= 0 {
		return spill{}
	}
	return spill{
		decider:    sycspill.New(settings.FailureDomain, settings.CrossDomainPrice),
		tokenBytes: map[string]int{},
	}
}

// choose returns the endpoint for a request and its estimate. With a price it is the one with the lowest score in the
// failure domain that the price, the predicted times and the domains' shares choose, without a price the one with the
// lowest score of all.
func (s *Selector) choose(now time.Duration, r *Request, candidates []*endpoint) (*endpoint, estimate) {
	if s.spill.decider == nil {
		return s.cheapest(now, r, candidates)
	}
	sides := s.sides(now, r, candidates)
	options := make([]sycspill.Option, 0, len(sides))
	for _, d := range sides {
		options = append(options, s.option(r, d))
	}
	chosen := sides[s.spill.decider.Choose(now, sycspill.Request{Objective: r.Objective, Options: options})]
	return chosen.endpoint, chosen.estimate
}

// sides returns the best candidate of each failure domain.
func (s *Selector) sides(now time.Duration, r *Request, candidates []*endpoint) []side {
	s.matchPrompt(r)
	from := newSources(r, s.order, s.evacuated)
	var out []side
	for _, e := range candidates {
		est := s.assess(now, r, e, from)
		i := slices.IndexFunc(out, func(d side) bool { return d.domain == e.record.FailureDomain })
		switch {
		case i < 0:
			out = append(out, side{domain: e.record.FailureDomain, endpoint: e, estimate: est})
		case est.isBetter(out[i].estimate):
			out[i].endpoint, out[i].estimate = e, est
		}
	}
	return out
}

// option returns what the best endpoint of a failure domain costs a request.
func (s *Selector) option(r *Request, d side) sycspill.Option {
	o := sycspill.Option{Domain: d.domain, First: d.estimate.expected, Full: d.estimate.full}
	if d.endpoint.health.State() == sychealth.Suspect {
		o.First += suspectPenalty
	}
	if d.domain != s.settings.FailureDomain {
		o.Bytes = r.BodyBytes + answerBytes
	}
	if source := d.estimate.source; source != nil && source.record.FailureDomain != d.domain {
		o.Bytes += d.estimate.fetchTokens * s.spill.tokenBytes[r.Service]
	}
	return o
}

// SetCacheTokenBytes sets the size of a cached token at the engines of a service, in bytes.
func (s *Selector) SetCacheTokenBytes(service string, bytes int) {
	if s.spill.decider != nil {
		s.spill.tokenBytes[service] = bytes
	}
}

// ObserveDomainLoads records when the loads at a failure domain's endpoints were last heard of.
func (s *Selector) ObserveDomainLoads(failureDomain string, heardAt time.Duration) {
	if s.spill.decider != nil {
		s.spill.decider.ObserveLoads(failureDomain, heardAt)
	}
}

// SpillShares returns the fraction of this VM's requests that may leave for each other failure domain. It is empty
// without a price.
func (s *Selector) SpillShares() map[string]float64 {
	if s.spill.decider == nil {
		return nil
	}
	return s.spill.decider.Shares()
}

// TakeSpillChanges returns the shares that have changed noticeably since the last call.
func (s *Selector) TakeSpillChanges(now time.Duration) []sycspill.Change {
	if s.spill.decider == nil {
		return nil
	}
	return s.spill.decider.TakeChanges(now)
}

// observeFirstByte records the first byte of an attempt's answer.
func (p *spill) observeFirstByte(now time.Duration, a *attempt) {
	if p.decider != nil {
		p.decider.ObserveFirstByte(now, a.endpoint.record.FailureDomain, a.firstByte, a.expected)
	}
}

// observeEnd records that an attempt has ended without a connection or after a silence.
func (p *spill) observeEnd(now time.Duration, a *attempt, o Outcome) {
	if p.decider != nil && (o == Unreachable || o == Silent) {
		p.decider.ObserveFailure(now, a.endpoint.record.FailureDomain)
	}
}

// detour returns the part of an attempt's time to the first byte that is due to its way to another failure domain, and
// so isn't the engine's.
func (p *spill) detour(now time.Duration, a *attempt) time.Duration {
	if p.decider == nil {
		return 0
	}
	return p.decider.Detour(now, a.endpoint.record.FailureDomain)
}
