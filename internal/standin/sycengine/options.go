package sycengine

import (
	"maps"
	"net"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
)

// Options configures an engine. Fields with a Default constant take it if they are
// zero.
type Options struct {
	// Address is the address to listen on, as host:port. The default is a free
	// loopback port.
	Address string
	// Listener, if it isn't nil, is listened on in place of Address.
	Listener net.Listener
	// Platform is the base URL of the weight store. If it is empty, orders to load
	// weights take effect at once.
	Platform string
	// Dial opens connections to the platform and to other engines. If it is nil, they are
	// opened by the system.
	Dial sycdial.Func
	// Models maps each model to the version of its weights that is loaded at the
	// start and after each crash.
	Models map[string]string
	// Role is "prefill", "decode" or "both", which is the default. Only engines with
	// the role "both" run whole requests.
	Role string
	// ChecksFencing makes the engine refuse orders with a lower fencing number than
	// that of an order that the same incarnation accepted before.
	ChecksFencing bool
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are computed.
	PrefillTokensPerSecond int
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int
	// DecodeStep is the duration of a step with one request in the batch.
	DecodeStep time.Duration
	// DecodeStepPerRequest is added to a step's duration for each further request in
	// the batch.
	DecodeStepPerRequest time.Duration
	// MaxBatch is the maximum number of requests in the batch.
	MaxBatch int
	// MaxWaiting is the maximum number of requests in the queue. The engine refuses
	// further requests.
	MaxWaiting int
	// Speed divides the simulated durations of steps and imports. The default is 1.
	Speed float64
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// ImportPerBlock is the simulated time to fetch one cached block from another
	// engine or a KV store.
	ImportPerBlock time.Duration
	// EventDelay is the time between a cache event and its publication.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that is never published, 0 to 1. The
	// higher of this value and Faults.EventLoss applies.
	EventLoss float64
	// LoadLag is the interval at which the load report is refreshed.
	LoadLag time.Duration
	// KeepStreams is the time for which an ended stream can still be read.
	KeepStreams time.Duration
	// RestartDelay is the time from a crash until the engine accepts connections again.
	RestartDelay time.Duration
	// Seed seeds the random choices of lost events and failing requests.
	Seed uint64
}

// roleBoth is the role of engines that run whole requests.
const roleBoth = "both"

// Defaults of the options of the same names.
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

// withDefaults returns a copy of the options with the defaults filled in.
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

// orDefault sets a value to the fallback if it is zero.
func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
