package sycdispatch

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// DefaultConcurrent is the concurrency of endpoints whose record states none.
const DefaultConcurrent = 16

// Report is what an engine said of its load.
type Report struct {
	Incarnation   string
	Running       int
	Waiting       int
	PrefillTokens int
	CacheBlocks   int
	// Ready lists the loaded weights by model.
	Ready []Loaded
}

// Loaded names weights that an engine is ready to serve.
type Loaded struct {
	Model   string
	Weights string
}

// endpoint is what a dispatcher knows of an endpoint.
type endpoint struct {
	record sycrecord.Endpoint
	// inFlight counts this VM's attempts that have not ended.
	inFlight int
	// reported is false until the first load report.
	reported   bool
	report     Report
	reportedAt time.Duration
}

func (e *endpoint) slots() int {
	if n := e.record.MaxConcurrent(); n > 0 {
		return n
	}
	return DefaultConcurrent
}

// serves reports whether the endpoint may run the version now. A restarted VM
// has no reports yet and trusts the record for versions that need no rollout.
func (e *endpoint) serves(model string, v sycwork.VersionShare, initial bool) bool {
	if e.record.Type() != sycrecord.EndpointEngine {
		return false
	}
	if !e.reported {
		return initial && slices.Contains(e.record.Models(), model)
	}
	return slices.Contains(e.report.Ready, Loaded{Model: model, Weights: v.Weights})
}

func (e *endpoint) offers(service string) bool {
	return e.record.Type() == sycrecord.EndpointService && e.record.Service() == service
}
