// Package sycclaims lets a request run at most once over all VMs. It appends
// claims to the platform's log and folds the stream on the control loop.
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

// Stream is the name of the log's stream.
const Stream = "claims"

// Log is the part of the platform's log that claims need.
type Log interface {
	Append(ctx context.Context, stream string, entries ...syclog.Entry) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (syclog.Page, error)
}

// Peers asks another VM about a claim of its own.
type Peers interface {
	Outcome(ctx context.Context, address string, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error)
}

// Options are the parts and bounds of a driver.
type Options struct {
	Loop *sycloop.Loop
	Log  Log
	// Peers may be nil; outcomes are then known from the log only.
	Peers Peers
	// VM is this VM's peer address, and Incarnation is unique to this process.
	VM          string
	Incarnation string

	// Lifetime is how long a key is remembered. It is the same on all VMs.
	Lifetime time.Duration
	// Retention is the shortest time for which the log keeps records.
	Retention time.Duration
	// FlushDelay is the time for which claims are gathered into one append, and
	// FlushMax what it grows to while the log refuses. Spacing is the shortest
	// time between two appends, which bounds this VM's share of the log.
	FlushDelay     time.Duration
	MaxFlushDelay  time.Duration
	AppendInterval time.Duration
	// DecisionTimeout bounds the wait for the log's decision.
	DecisionTimeout time.Duration
	// StartTimeout bounds the time from making a claim to sending the call.
	StartTimeout time.Duration
	// PollInterval is the time between questions about a call that is still running,
	// and Unreachable the time after which a silent holder is given up.
	PollInterval  time.Duration
	HolderTimeout time.Duration
	// MaxInlineBody is the largest body that goes into the log.
	MaxInlineBody int
	// MaxPending bounds the records waiting for an append, Batch those of one append.
	MaxPending int
	MaxBatch   int
	// AnswerBytes bounds the bytes of answers held, of this VM's own calls and of
	// all calls each.
	AnswerBytes int
}

// Defaults fills the fields that are zero.
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

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports all options that don't fit together.
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
