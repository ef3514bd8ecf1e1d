package sycengine

import (
	"cmp"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

const (
	stateLoading = "loading"
	stateReady   = "ready"
	stateFailed  = "failed"
)

// LoadedWeights is the state of weights on an engine.
type LoadedWeights struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	// State is "loading", "ready" or "failed".
	State    string   `json:"state"`
	Adapters []string `json:"adapters,omitempty"`
}

// Load is a load report.
type Load struct {
	Incarnation         string          `json:"incarnation"`
	AsOf                time.Time       `json:"as_of"`
	Running             int             `json:"running"`
	Waiting             int             `json:"waiting"`
	QueuedPrefillTokens int             `json:"queued_prefill_tokens"`
	KVBlocksUsed        int             `json:"kv_blocks_used"`
	KVBlocks            int             `json:"kv_blocks"`
	Weights             []LoadedWeights `json:"weights"`
	Role                string          `json:"role"`
	Fence               uint64          `json:"fence"`
}

// measure returns the present load. The caller holds mu.
func (e *Engine) measure(l *life) Load {
	load := Load{
		Incarnation:  l.incarnation,
		AsOf:         time.Now(),
		Running:      len(l.running),
		Waiting:      len(l.waiting),
		KVBlocksUsed: l.cache.Len(),
		KVBlocks:     e.options.CacheBlocks,
		Weights:      []LoadedWeights{},
		Role:         l.role,
		Fence:        l.fence,
	}
	for _, s := range l.waiting {
		load.QueuedPrefillTokens += s.prompt
	}
	for _, s := range l.running {
		load.QueuedPrefillTokens += s.prefill
	}
	for key, state := range l.loaded {
		load.Weights = append(load.Weights, LoadedWeights{key.model, key.weights, state, l.loadedAdapters(key)})
	}
	slices.SortFunc(load.Weights, func(a, b LoadedWeights) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Weights, b.Weights))
	})
	return load
}

// reportLoad refreshes the report until the life ends.
func (e *Engine) reportLoad(l *life) {
	for sycpause.For(l.ctx, e.options.LoadLag) {
		e.mu.Lock()
		l.report = e.measure(l)
		e.mu.Unlock()
	}
}
