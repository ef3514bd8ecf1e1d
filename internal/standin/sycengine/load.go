package sycengine

import (
	"cmp"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

// States of weights on an engine: being fetched from the weight store, able to serve
// requests, or not fetched because of an error.
const (
	stateLoading = "loading"
	stateReady   = "ready"
	stateFailed  = "failed"
)

// LoadedWeights reports the state of a version of a model's weights on an engine.
type LoadedWeights struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	// State is "loading", "ready" or "failed".
	State string `json:"state"`
	// Adapters holds the sorted names of the adapters loaded on the weights.
	Adapters []string `json:"adapters,omitempty"`
}

// Load is the load report of an engine, the body of the response to GET /v1/load.
type Load struct {
	// Incarnation is the id of the engine's incarnation.
	Incarnation string `json:"incarnation"`
	// AsOf is the time at which the load was measured.
	AsOf time.Time `json:"as_of"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens is the number of prompt tokens of the waiting requests
	// and of tokens that the running requests still have to prefill.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// KVBlocksUsed is the number of cached blocks.
	KVBlocksUsed int `json:"kv_blocks_used"`
	// KVBlocks is the capacity of the cache in blocks.
	KVBlocks int             `json:"kv_blocks"`
	Weights  []LoadedWeights `json:"weights"`
	// Role is "prefill", "decode" or "both".
	Role string `json:"role"`
	// Fence is the highest fencing number of the orders that this incarnation accepted.
	Fence uint64 `json:"fence"`
}

// measure returns the instance's current load. The caller holds mu.
func (e *Engine) measure(inst *instance) Load {
	load := Load{
		Incarnation:  inst.incarnation,
		AsOf:         time.Now(),
		Running:      len(inst.running),
		Waiting:      len(inst.waiting),
		KVBlocksUsed: inst.cache.Len(),
		KVBlocks:     e.options.CacheBlocks,
		Weights:      []LoadedWeights{},
		Role:         inst.role,
		Fence:        inst.fence,
	}
	for _, s := range inst.waiting {
		load.QueuedPrefillTokens += s.prompt
	}
	for _, s := range inst.running {
		load.QueuedPrefillTokens += s.prefill
	}
	for key, state := range inst.loaded {
		load.Weights = append(load.Weights, LoadedWeights{key.model, key.weights, state, inst.loadedAdapters(key)})
	}
	slices.SortFunc(load.Weights, func(a, b LoadedWeights) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Weights, b.Weights))
	})
	return load
}

// reportLoad refreshes the instance's load report every Options.LoadLag until the
// instance ends.
func (e *Engine) reportLoad(inst *instance) {
	for sycpause.For(inst.ctx, e.options.LoadLag) {
		e.mu.Lock()
		inst.report = e.measure(inst)
		e.mu.Unlock()
	}
}

// HasLoaded reports whether the engine is able to serve requests of a model on weights.
func (e *Engine) HasLoaded(model, weights string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.loaded[weightsKey{model, weights}] == stateReady
}
