// Package sycfleet runs one VM of a deployment whose configuration, endpoints
// and duties lie in a shared log: it follows the log, itself and through the
// other VMs, places requests, keeps limits over all VMs, and takes its turn in
// giving orders to engines.
package sycfleet

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// Names of the feeds that VMs follow.
const (
	// TopicOperator holds what operators publish.
	TopicOperator = "operator"
	// TopicEndpoints holds the records of endpoints.
	TopicEndpoints = "endpoints"
	// TopicVMs holds the addresses of VMs, which they write themselves.
	TopicVMs = "vms"
	// TopicStatus holds the states of rollouts, which the holder of the duties writes.
	TopicStatus = "status"
)

// Log is the shared log.
type Log interface {
	// Read returns the records of a feed from an offset on, as soon as there are
	// any, and the offset after them. It fails with ErrDropped when records from
	// there on are no longer kept.
	Read(ctx context.Context, feed string, from int64, wait time.Duration) (records []sycfeed.Record, next int64, err error)
	// Newest returns the newest record of each key, and where to read on.
	Newest(ctx context.Context, feed string) (records []sycfeed.Record, next int64, err error)
	// Put writes the newest value of a key; an empty value drops it.
	Put(ctx context.Context, feed, key string, value []byte) error
	// ReadDuty returns the records of the duty log from an offset on, the offset
	// of the first of them, and the end of the log.
	ReadDuty(ctx context.Context, from int64, wait time.Duration) (records [][]byte, first, end int64, err error)
	// AppendDuty adds a record to the duty log if the log ends at that offset.
	AppendDuty(ctx context.Context, at int64, record []byte) error
	// Report publishes the state of a service's rollout.
	Report(ctx context.Context, r RolloutReport) error
}

// Weights asks to bring all engines to a version of a model's weights.
type Weights struct {
	Model   string
	Version int64
}

// Rollout asks to move a service to the endpoints of a release.
type Rollout struct {
	Service string
	Release string
	Within  time.Duration
}

// RolloutState is the state of a rollout as operators read it.
type RolloutState string

// States of rollouts.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutReport is what is published of a rollout.
type RolloutReport struct {
	Service string
	Release string
	State   RolloutState
}

// Decoder reads what is in the shared log.
type Decoder interface {
	// Operator returns a *sycsite.Config, a Weights, a Rollout, or nil for a
	// record that says nothing to VMs.
	Operator(key string, value []byte) (any, error)
	Endpoint(key string, value []byte) (sycplace.Endpoint, error)
	Status(key string, value []byte) (RolloutReport, error)
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	Busy   bool
	// Weights holds the version of each loaded model.
	Weights map[string]int64
}

// Order asks an engine to load a version of a model's weights.
type Order struct {
	Weights
	// Holder and Token name who gives the order and in which term.
	Holder string
	Token  int64
	// Orders is the number of orders that the engine must have accepted before.
	Orders int64
	// Interrupt breaks off the runs that are under way; else they end first.
	Interrupt bool
}

// CacheEvents is what an engine has told of its cache since an event.
type CacheEvents struct {
	// Epoch changes when the engine restarts; Next is the event to ask for next.
	Epoch  int64
	Next   int64
	Events []sycplace.CacheEvent
}

// Engines gives orders to engines.
type Engines interface {
	// CacheEvents returns what has changed in an engine's cache from an event on, as soon
	// as there is anything.
	CacheEvents(ctx context.Context, e sycplace.Endpoint, from int64, wait time.Duration) (CacheEvents, error)
	Report(ctx context.Context, e sycplace.Endpoint) (EngineReport, error)
	// Order reports whether the engine has taken the order.
	Order(ctx context.Context, e sycplace.Endpoint, o Order) (taken bool, err error)
}

// view is what traffic reads without the control loop.
type view struct {
	config *sycsite.Config
}
