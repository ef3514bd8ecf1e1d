package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// Option is a version that a model request may run on.
type Option struct {
	Version sycwork.VersionShare
	// Salt is the cache salt for the request's customer and the version.
	Salt string
	// Chain holds the hashes of the prompt's whole blocks under Salt.
	Chain []uint64
}

// Request is a request that waits for an endpoint.
type Request struct {
	// ID is unique among the requests of a dispatcher.
	ID       uint64
	Customer string
	// Service is set for plain services, Model for model requests.
	Service string
	Model   string
	// Options lists the versions that a model request may run on.
	Options []Option
	// Pinned means that a stream resumes and needs the weights of its only option.
	Pinned bool
	// Exclude names endpoints that must not be chosen.
	Exclude      []string
	PromptTokens int
	MaxTokens    int
	// Deadline is when the request is given up, on the loop's clock.
	Deadline time.Duration
	// drawn is the name of the version that the request should run on.
	drawn string
}

// pool names the set of endpoints that the request competes for.
func (r *Request) pool() string {
	if r.Service != "" {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}

// Decision is the answer to a request: Target, Refusal or Stale is set.
type Decision struct {
	ID      uint64
	Target  *sycwork.Target
	Refusal *sycwork.Refusal
	// Stale means that the request's versions get no requests any more; it may
	// be submitted again with others.
	Stale bool
	// Waited is the time in the queue.
	Waited time.Duration
	// CachedTokens is the number of prompt tokens expected in the endpoint's
	// cache, ImportedTokens those to be imported.
	CachedTokens   int
	ImportedTokens int
}
