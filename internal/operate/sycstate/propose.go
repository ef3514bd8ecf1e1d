package sycstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/platform/syclog"
)

// proofPoll is the pause between looks at the proof of a stream's end.
const proofPoll = 20 * time.Millisecond

// OutcomeError reports an operation that may or may not have taken effect.
type OutcomeError struct {
	Stream string
	ID     string
	Err    error
}

// Error names the operation and the cause.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("operation %s on %s: outcome unknown: %v", e.ID, e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Propose appends an operation and waits until this VM has folded it. An empty
// id is replaced by a new one. An append whose answer is lost is repeated only
// after a read that began later has reached the log's end without the id, and
// under the same id. The error is *OutcomeError, *syclog.UnavailableError or
// *syclog.RefusedError; after the last two the operation has had no effect. It
// must not be called on the control loop.
func (s *Store) Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error) {
	f := s.follower(stream)
	if f == nil {
		return sycconfig.Result{}, &StreamError{Stream: stream}
	}
	if op.ID == "" {
		op.ID = s.options.Self + "/" + uuid.NewString()
	}
	if op.Schema == 0 {
		op.Schema = sycrecord.NewestSchema
	}
	data, err := json.Marshal(op)
	if err != nil {
		return sycconfig.Result{}, eris.Wrap(err, "state: propose")
	}
	waiter := f.await(op.ID)
	defer f.forget(op.ID)
	return f.propose(ctx, syclog.Entry{ID: op.ID, Data: data}, waiter)
}

func (f *follower) propose(ctx context.Context, entry syclog.Entry, waiter <-chan sycconfig.Result) (sycconfig.Result, error) {
	for {
		_, err := f.store.options.Log.Append(ctx, f.stream, entry)
		var lost *syclog.LostError
		if err != nil && !errors.As(err, &lost) {
			return sycconfig.Result{}, err
		}
		after := f.store.options.Loop.Now()
		result, seen, waitErr := f.waitResult(ctx, waiter, after, err != nil)
		if waitErr != nil {
			return sycconfig.Result{}, &OutcomeError{Stream: f.stream, ID: entry.ID, Err: errors.Join(waitErr, err)}
		}
		var repeated *sycconfig.RepeatedError
		if errors.As(result.Err(), &repeated) {
			// A snapshot passed over the operation's own first copy.
			return sycconfig.Result{}, &OutcomeError{Stream: f.stream, ID: entry.ID, Err: repeated}
		}
		if seen {
			return result, nil
		}
	}
}

// waitResult waits for the result of an operation. If the append's answer was
// lost it gives up once a read that began after the loss has reached the log's
// end without the operation.
func (f *follower) waitResult(ctx context.Context, waiter <-chan sycconfig.Result, after time.Duration, lost bool) (result sycconfig.Result, seen bool, err error) {
	ticker := time.NewTicker(proofPoll)
	defer ticker.Stop()
	for {
		// The proof is loaded first: the result of a record before the proven
		// end has been delivered by then.
		absent := lost && time.Duration(f.proven.Load()) > after
		select {
		case result = <-waiter:
			return result, true, nil
		default:
		}
		if absent {
			return result, false, nil
		}
		select {
		case result = <-waiter:
			return result, true, nil
		case <-ticker.C:
		case <-ctx.Done():
			return result, false, ctx.Err()
		case <-f.store.tomb.Dying():
			return result, false, context.Canceled
		}
	}
}

// await registers interest in the result of an operation.
func (f *follower) await(id string) <-chan sycconfig.Result {
	waiter := make(chan sycconfig.Result, 1)
	f.store.options.Loop.Do(func(time.Duration) { f.waiting[id] = waiter })
	return waiter
}

func (f *follower) forget(id string) {
	f.store.options.Loop.Do(func(time.Duration) { delete(f.waiting, id) })
}
