// Package sycfleet runs one VM of a fleet, the VMs of one deployment. A log that all VMs share
// holds the configuration, the endpoints and the lease. Each VM follows the log's topics, by
// its own reads and by the states that VMs exchange (gossip), selects endpoints for requests,
// and enforces the limits that customers have over all VMs.
//
// A state is a message with what a VM shares: its loads and usage, records of topics, cordons,
// cache reports and the evidence of rollouts.
//
// An engine is an endpoint that runs models. An incarnation is one start of a VM or of an
// endpoint. A cordon keeps requests off an engine for a time, for example while it loads
// weights. Evidence is the counts by which the releases of a rollout are compared. An attempt
// is one try of a request at one endpoint.
//
// The VM that holds the lease has the duties: it orders engines to load new weights and
// decides rollouts. The duty log holds the records that grant, renew and release the lease.
package sycfleet

import (
	"context"
	"fmt"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// Topics of the log that VMs subscribe to. A topic holds the newest record of each key.
const (
	// TopicOperator holds what operators publish: configurations, weights, rollouts and evacuations.
	TopicOperator = "operator"
	// TopicEndpoints holds the records of endpoints.
	TopicEndpoints = "endpoints"
	// TopicVMs holds the records of VMs by address. Each VM writes its own.
	TopicVMs = "vms"
	// TopicStatus holds the states of rollouts, which the lease holder writes.
	TopicStatus = "status"
)

// EraError means that an answer of the log is of another era than the call is about, because the
// log has been restored. What the call asked for is unknown.
type EraError struct {
	// Era is the era of the answer.
	Era int64
}

// Error returns the era.
func (e *EraError) Error() string { return fmt.Sprintf("the log is in era %d", e.Era) }

// Log is the log that all VMs share: the topics and the duty log. Each restore from an older
// copy begins a new era of all of it.
type Log interface {
	// OnEra sets the function that is called with the era of an answer that is higher than
	// those of all answers before, 0 at first. It is called once, before all other methods.
	OnEra(observe func(era int64))
	// Read returns the records of a topic from a position on, and the position after them. It
	// waits for the first for up to the given time. It fails with ErrTruncated if the log no
	// longer keeps the record at the position, and with an *EraError if the log is in another
	// era.
	Read(ctx context.Context, topic string, from sycfeed.Position, wait time.Duration) (records []sycfeed.Record, next sycfeed.Position, err error)
	// Newest returns the newest record of each key of a topic, and the position from which to
	// read on. It fails with an *EraError if the era changes meanwhile.
	Newest(ctx context.Context, topic string) (records []sycfeed.Record, next sycfeed.Position, err error)
	// Put writes the newest value of a key of a topic. An empty value drops the key.
	Put(ctx context.Context, topic, key string, value []byte) error
	// ReadDuty returns the records of the duty log from a position on, the position of the
	// first, and the position after the log's last record. It waits for the first record for
	// up to the given time. It fails with an *EraError if the log is in another era.
	ReadDuty(ctx context.Context, from sycfeed.Position, wait time.Duration) (records [][]byte, first, end sycfeed.Position, err error)
	// AppendDuty appends a record to the duty log at a position. It fails if the log doesn't
	// end there, with an *EraError if the log is in another era.
	AppendDuty(ctx context.Context, at sycfeed.Position, record []byte) error
	// Report publishes the state of a service's rollout.
	Report(ctx context.Context, r RolloutReport) error
}

// Weights is an operator's request that all engines with a model load a version of its
// weights.
type Weights struct {
	// Model is the model's name.
	Model string
	// Version is the version of the weights, from 1. Newer weights have a higher version.
	Version int64
}

// Rollout is an operator's request to move a service to the endpoints of a release, a version
// of the service's software.
type Rollout struct {
	// Service is the service's name.
	Service string
	// Release is the release to move to.
	Release string
	// TimeLimit is the time limit of the move.
	TimeLimit time.Duration
}

// RolloutState is the state of a rollout that is published to operators.
type RolloutState string

// States of rollouts.
const (
	// RolloutRunning is the state until the rollout ends.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that the release gets all requests for good.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the release gets no requests any more.
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutReport is the record of a rollout's state in TopicStatus.
type RolloutReport struct {
	// Service is the service that moves to another release.
	Service string
	// Release is the release that it moves to.
	Release string
	// State is the rollout's state.
	State RolloutState
}

// Decoder decodes the records of the log's topics.
type Decoder interface {
	// Operator decodes a record of TopicOperator. It returns a *sycsite.Config, a Weights, a
	// Rollout, or nil for a record that VMs don't use.
	Operator(key string, value []byte) (any, error)
	// Evacuation returns the failure domain that a record of TopicOperator with a key evacuates for as
	// long as it exists. It returns false for other keys.
	Evacuation(key string) (failureDomain string, ok bool)
	// Endpoint decodes a record of TopicEndpoints.
	Endpoint(key string, value []byte) (sycplace.Endpoint, error)
	// Status decodes a record of TopicStatus.
	Status(key string, value []byte) (RolloutReport, error)
}

// EngineReport is an engine's report of its loaded models and its orders.
type EngineReport struct {
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Weights holds the version of each loaded model's weights, by the model's name.
	Weights map[string]int64
}

// Order asks an engine to load a version of a model's weights.
type Order struct {
	Weights
	// Holder is the incarnation of the lease holder that sends the order.
	Holder string
	// FencingNumber is the fencing number of the holder's term, the time for which it holds
	// the lease without a break. It is higher in every later term, so that an engine can
	// reject orders of a previous holder.
	FencingNumber int64
	// AcceptedOrders is the order's precondition: the engine accepts the order only if it
	// has accepted exactly this number of orders before. The sender takes the number from
	// the engine's report, so an order is rejected if the engine has accepted another since.
	AcceptedOrders int64
	// Interrupt breaks off the requests that the engine runs. Otherwise they end first.
	Interrupt bool
}

// CacheEvents lists an engine's cache events from a number on.
type CacheEvents struct {
	// Epoch changes when the engine restarts, which makes earlier event numbers invalid.
	Epoch int64
	// Next is the number of the event to ask for next.
	Next int64
	// Events are the changes of the cache, in their order.
	Events []sycplace.CacheEvent
}

// Engines calls engines.
type Engines interface {
	// OnNotice sets the function that receives the notices in all answers of engines. It is
	// called once, before all other methods. Source names the call.
	OnNotice(apply func(source string, e sycplace.Endpoint, n sycplace.Notice))
	// CacheEvents returns an engine's cache events from a number on. It waits for the first
	// for up to the given time.
	CacheEvents(ctx context.Context, e sycplace.Endpoint, from int64, wait time.Duration) (CacheEvents, error)
	// Report returns an engine's report.
	Report(ctx context.Context, e sycplace.Endpoint) (EngineReport, error)
	// Order sends an order to an engine and reports whether the engine has accepted it. Once Order has
	// returned, or this process has ended, the order can't reach the engine any more.
	Order(ctx context.Context, e sycplace.Endpoint, o Order) (accepted bool, err error)
}

// view is the state that requests read without a task of the loop.
type view struct {
	// config is the configuration in force, nil before this VM has received one.
	config *sycsite.Config
	// since is the loop's time at which the configuration came into force.
	since time.Duration
	// replaced is closed once another view has replaced this one.
	replaced chan struct{}
}

// newView returns a view with a configuration that comes into force at a time of the loop.
func newView(now time.Duration, c *sycsite.Config) *view {
	return &view{config: c, since: now, replaced: make(chan struct{})}
}
