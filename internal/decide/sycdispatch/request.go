package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// Option is a version that a request to a model may run on, with the cache salt and
// the prompt's block hashes for it.
type Option struct {
	// Version names the version, its weights and adapter, and its traffic share.
	Version sycwork.VersionShare
	// Salt is the cache salt for the request's customer and the version's weights
	// and adapter.
	Salt string
	// Chain holds the hashes of the prompt's full blocks under Salt, see
	// sycblock.Chain.
	Chain []uint64
}

// Request is a request submitted to a Dispatcher.
type Request struct {
	// ID is unique among the requests of a Dispatcher.
	ID uint64
	// Customer is the customer's name, by which the queue is fair.
	Customer string
	// Service names the plain service. It is empty for a request to a model.
	Service string
	// Model names the model. It is empty for a request to a plain service.
	Model string
	// Options lists the versions that a request to a model may run on.
	Options []Option
	// Pinned means that the request resumes a stream, which must run on the weights
	// of its only option.
	Pinned bool
	// Exclude names endpoints that must not be selected. They are those at which
	// earlier attempts failed.
	Exclude []string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxTokens limits the output, in tokens.
	MaxTokens int
	// Deadline is when the request is refused if it still waits, on the event loop's
	// clock.
	Deadline time.Duration
	// drawnVersion is the name of the version that was drawn for the request, see
	// drawVersion.
	drawnVersion string
}

// poolName returns the name of the pool that the request waits in.
func (r *Request) poolName() string {
	if r.Service != "" {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}

// Decision is the Dispatcher's decision on a request. Exactly one of Target, Refusal
// and Stale is set.
type Decision struct {
	// ID is the ID of the request.
	ID uint64
	// Target is the endpoint at which the caller should run the request.
	Target *sycwork.Target
	// Refusal says why the request isn't run.
	Refusal *sycwork.Refusal
	// Stale means that none of the request's versions gets requests any more. The
	// caller may submit it again with current options.
	Stale bool
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// CachedTokens is the number of prompt tokens expected in the endpoint's cache.
	CachedTokens int
	// ImportedTokens is the number of prompt tokens that the endpoint should import.
	ImportedTokens int
}
