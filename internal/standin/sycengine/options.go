package sycengine

import (
	"maps"
	"time"
)

// Options configures an engine; zero values take the defaults.
type Options struct {
	// Address is where to listen.
	Address string
	// Platform is the base URL of the weight store; without it orders to load
	// take effect at once.
	Platform string
	// Models gives the weights that each model has ready from the start and
	// after each restart.
	Models map[string]string
	// Role is "prefill", "decode" or "both".
	Role string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are computed.
	PrefillTokensPerSecond int
	// PrefillChunk is the number of prompt tokens computed in one step at most.
	PrefillChunk int
	// DecodeStep is the duration of a step that generates a token for one request,
	// and DecodeStepPerRequest is added for each further request of the batch.
	DecodeStep           time.Duration
	DecodeStepPerRequest time.Duration
	// MaxBatch is the number of requests that run together.
	MaxBatch int
	// MaxWaiting is the number of requests that wait; more are refused.
	MaxWaiting int
	// Speed divides every duration of the model of time.
	Speed float64
	// CacheBlocks is the size of the block cache.
	CacheBlocks int
	// ImportPerBlock is the time that fetching one cached block takes.
	ImportPerBlock time.Duration
	// EventDelay is how late cache events are published, and EventLoss the share
	// of them that is never published.
	EventDelay time.Duration
	EventLoss  float64
	// LoadLag is how old a load report is at most.
	LoadLag time.Duration
	// KeepStreams is how long an ended stream can be resumed.
	KeepStreams time.Duration
	// RestartDelay is how long a crashed engine is away.
	RestartDelay time.Duration
	// Seed seeds the engine's random choices.
	Seed uint64
}

// roleBoth is the role of engines that run whole requests.
const roleBoth = "both"

// Defaults of the options.
const (
	DefaultPrefillTokensPerSecond = 20000
	DefaultPrefillChunk           = 1024
	DefaultDecodeStep             = 10 * time.Millisecond
	DefaultDecodeStepPerRequest   = 300 * time.Microsecond
	DefaultMaxBatch               = 32
	DefaultMaxWaiting             = 256
	DefaultCacheBlocks            = 4096
	DefaultImportPerBlock         = 200 * time.Microsecond
	DefaultEventDelay             = 50 * time.Millisecond
	DefaultLoadLag                = 200 * time.Millisecond
	DefaultKeepStreams            = 30 * time.Second
	DefaultRestartDelay           = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	orDefault(&o.Role, roleBoth)
	orDefault(&o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	orDefault(&o.PrefillChunk, DefaultPrefillChunk)
	orDefault(&o.DecodeStep, DefaultDecodeStep)
	orDefault(&o.DecodeStepPerRequest, DefaultDecodeStepPerRequest)
	orDefault(&o.MaxBatch, DefaultMaxBatch)
	orDefault(&o.MaxWaiting, DefaultMaxWaiting)
	orDefault(&o.Speed, 1)
	orDefault(&o.CacheBlocks, DefaultCacheBlocks)
	orDefault(&o.ImportPerBlock, DefaultImportPerBlock)
	orDefault(&o.EventDelay, DefaultEventDelay)
	orDefault(&o.LoadLag, DefaultLoadLag)
	orDefault(&o.KeepStreams, DefaultKeepStreams)
	orDefault(&o.RestartDelay, DefaultRestartDelay)
	o.Models = maps.Clone(o.Models)
	return o
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
