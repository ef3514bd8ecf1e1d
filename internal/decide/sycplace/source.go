package sycplace

import "sycamorecart.example/sycamorecart/internal/decide/sychealth"

// sources are the engines from which others can fetch cached blocks of one prompt. Blocks
// can be fetched only from engines with the same weights.
type sources struct {
	// longest holds an engine with the longest cached prefix of the prompt, by the version
	// of its weights.
	longest map[int64]*endpoint
	// evacuated holds the failure domains whose engines are no sources.
	evacuated map[string]bool
	// inDomain holds the engines with as long a prefix in each failure domain. If a domain
	// has several, it holds the last.
	inDomain map[sourceDomain]*endpoint
}

// sourceDomain is a failure domain and a version of weights.
type sourceDomain struct {
	failureDomain string
	weights       int64
}

// newSources finds the sources for a request in a list of endpoints whose cachedTokens are
// set for its prompt. Engines of evacuated failure domains are none.
func newSources(r *Request, endpoints []*endpoint, evacuated map[string]bool) sources {
	out := sources{longest: map[int64]*endpoint{}, inDomain: map[sourceDomain]*endpoint{}, evacuated: evacuated}
	for _, e := range endpoints {
		if !out.admits(r, e) {
			continue
		}
		weights := e.record.Weights[r.Model]
		if longest := out.longest[weights]; longest == nil || e.cachedTokens > longest.cachedTokens {
			out.longest[weights] = e
		}
	}
	for _, e := range endpoints {
		if !out.admits(r, e) {
			continue
		}
		weights := e.record.Weights[r.Model]
		if e.cachedTokens == out.longest[weights].cachedTokens {
			out.inDomain[sourceDomain{e.record.FailureDomain, weights}] = e
		}
	}
	return out
}

// admits reports whether others can fetch blocks of a request's prompt from an engine.
func (s sources) admits(r *Request, e *endpoint) bool {
	return e.record.Service == r.Service && e.cachedTokens > 0 && e.health.State() != sychealth.Out && !s.evacuated[e.record.FailureDomain]
}

// find returns the engine with the same weights that has the longest cached prefix of the
// prompt, if possible in the endpoint's failure domain. It returns nil if none has a longer
// one than the endpoint.
func (s sources) find(r *Request, e *endpoint) *endpoint {
	weights := e.record.Weights[r.Model]
	longest := s.longest[weights]
	if longest == nil || longest.cachedTokens <= e.cachedTokens {
		return nil
	}
	if near := s.inDomain[sourceDomain{e.record.FailureDomain, weights}]; near != nil {
		return near
	}
	return longest
}
