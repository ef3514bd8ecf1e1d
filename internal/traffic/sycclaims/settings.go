// Package sycclaims runs a request with an Idempotency-Key at most once over all VMs. A call is
// what all requests with the same customer, route and Idempotency-Key ask for. At most one of
// these requests runs it.
//
// Before a VM runs a call, it appends a claim to the claims stream of the platform's log. The
// first claim of a call wins, and its VM becomes the holder, which may run the call. Repeats of
// the call at any VM get the first one's response, which the records name answer, or an error.
// A claim is released if its call certainly hasn't run, so that another request may claim the
// call.
//
// Package sycclaim decides from the stream's records which claims are in force. This package
// reads and writes the stream, and asks holders for outcomes.
package sycclaims

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// Stream is the name of the log's stream that holds the claims.
const Stream = "claims"

// Log is the platform's log.
type Log interface {
	// Append appends entries to a stream at consecutive offsets and returns the first
	// offset.
	Append(ctx context.Context, stream string, entries ...syclog.Entry) (uint64, error)
	// Read returns the records of a stream from an offset, at most limit of them. If there
	// are none yet, it waits for them up to the given time.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (syclog.Page, error)
}

// Peers sends requests to other VMs.
type Peers interface {
	// Outcome asks the VM at a peer address for the outcome of a claim that it holds.
	Outcome(ctx context.Context, address string, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error)
}

// Options configure a Driver.
type Options struct {
	// Loop is the VM's control loop, on which this package's decisions run.
	Loop *sycloop.Loop
	// Log is the platform's log.
	Log Log
	// Peers sends requests to other VMs. If it is nil, outcomes of other VMs' calls are
	// known from the log only.
	Peers Peers
	// VM is this VM's peer address.
	VM string
	// Incarnation is unique to this process of the VM.
	Incarnation string

	// Lifetime is how long a claim stays in force, and thus how long an Idempotency-Key is
	// remembered. It must be the same on all VMs.
	Lifetime time.Duration
	// Retention is the shortest time for which the log keeps records. It must be at least
	// twice the Lifetime.
	Retention time.Duration
	// FlushDelay is how long records are collected for one append while appends succeed. The
	// delay doubles with each failed append, and halves again with each successful one.
	FlushDelay time.Duration
	// MaxFlushDelay limits the delay before an append while appends fail.
	MaxFlushDelay time.Duration
	// AppendInterval is the shortest time between two appends. It limits the load that this
	// VM puts on the log.
	AppendInterval time.Duration
	// DecisionTimeout limits the wait for the log to decide a claim, and each append.
	DecisionTimeout time.Duration
	// StartTimeout limits the time from making a claim to sending the call. It must be at
	// most a quarter of the Lifetime.
	StartTimeout time.Duration
	// PollInterval is the time between two requests to the holder of a claim while its call
	// is running.
	PollInterval time.Duration
	// HolderTimeout limits each request to a holder. A holder that hasn't responded for this
	// time counts as unreachable, and the outcome is taken from the log.
	HolderTimeout time.Duration
	// MaxInlineBody is the largest response body that is stored in the log, in bytes.
	MaxInlineBody int
	// MaxPending limits the records that wait for an append. When it is reached, new claims
	// fail.
	MaxPending int
	// MaxBatch limits the records of one append.
	MaxBatch int
	// AnswerBytes limits the memory for responses, in bytes. The limit applies separately to
	// the calls that this VM ran and to all calls in the log.
	AnswerBytes int
}

// Defaults sets the durations and limits that are zero.
func (o *Options) Defaults() {
	set(&o.Lifetime, 10*time.Minute)
	set(&o.Retention, time.Hour)
	set(&o.FlushDelay, 5*time.Millisecond)
	set(&o.AppendInterval, 40*time.Millisecond)
	set(&o.MaxFlushDelay, time.Second)
	set(&o.DecisionTimeout, 3*time.Second)
	set(&o.StartTimeout, min(5*time.Second, o.Lifetime/4))
	set(&o.PollInterval, 200*time.Millisecond)
	set(&o.HolderTimeout, 2*time.Second)
	set(&o.MaxInlineBody, 4<<10)
	set(&o.MaxPending, 4096)
	set(&o.MaxBatch, 512)
	set(&o.AnswerBytes, 32<<20)
}

// set sets a field to a value if it is zero.
func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error that lists all missing options and all that contradict each other.
func (o *Options) Validate() error {
	var faults []error
	if o.Loop == nil || o.Log == nil {
		faults = append(faults, eris.New("claims: a loop and a log are needed"))
	}
	if o.VM == "" || o.Incarnation == "" {
		faults = append(faults, eris.New("claims: the VM's address and incarnation are needed"))
	}
	if o.Retention < 2*o.Lifetime {
		faults = append(faults, eris.Errorf("claims: the log must keep records for twice the lifetime of claims, %s, not %s", o.Lifetime, o.Retention))
	}
	if o.StartTimeout*4 > o.Lifetime {
		faults = append(faults, eris.Errorf("claims: a call must start within a quarter of the lifetime of claims, %s, not %s", o.Lifetime, o.StartTimeout))
	}
	return errors.Join(faults...)
}
