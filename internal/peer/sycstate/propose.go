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
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// proofPoll is the time between checks for a new proof while a proposal waits for its
// results.
const proofPoll = 20 * time.Millisecond

// UnknownOutcomeError reports an operation that may or may not have taken effect.
type UnknownOutcomeError struct {
	// Stream is the stream that the operation was appended to.
	Stream string
	// ID is the ID of the operation, or of the first operation if several were proposed.
	ID string
	// Err is why the result couldn't be determined.
	Err error
}

// Error names the operation and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %s on %s: outcome unknown: %v", e.ID, e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Propose appends an operation to a stream and waits until this VM has applied it; see
// ProposeAll.
func (s *Store) Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error) {
	results, err := s.ProposeAll(ctx, stream, op)
	if err != nil {
		return sycconfig.Result{}, err
	}
	return results[0], nil
}

// ProposeAll appends operations to a stream in one call of the log, waits until this VM
// has applied them and returns a result for each. An empty ID is replaced by a new one.
// If the response to an append is lost, the append is repeated under the same IDs, but
// only after a read that started later has reached the log's end without finding the
// operations.
//
// The error is *UnknownStreamError, *UnknownOutcomeError, *syclog.UnavailableError or
// *syclog.RefusedError. The operations have had no effect if it isn't an
// *UnknownOutcomeError. The IDs must differ. ProposeAll must not be called on the control
// loop.
func (s *Store) ProposeAll(ctx context.Context, stream string, ops ...sycrecord.Operation) ([]sycconfig.Result, error) {
	f := s.follower(stream)
	if f == nil {
		return nil, &UnknownStreamError{Stream: stream}
	}
	if len(ops) == 0 {
		return nil, nil
	}
	p := &proposal{follower: f}
	for _, op := range ops {
		if err := p.add(op); err != nil {
			return nil, err
		}
	}
	p.register()
	defer p.unregister()
	return p.run(ctx)
}

// proposal is the set of operations that one call of ProposeAll appends.
type proposal struct {
	// follower follows the stream that the operations are appended to.
	follower *follower
	// entries are the encoded operations.
	entries []syclog.Entry
	// waiters receive the results of the entries at the same indexes.
	waiters []chan sycconfig.Result
}

// add encodes an operation, with a new ID and the newest schema if it has none.
func (p *proposal) add(op sycrecord.Operation) error {
	if op.ID == "" {
		op.ID = p.follower.store.options.Self + "/" + uuid.NewString()
	}
	if op.Schema == 0 {
		op.Schema = sycrecord.NewestSchema
	}
	data, err := json.Marshal(op)
	if err != nil {
		return eris.Wrap(err, "state: propose")
	}
	p.entries = append(p.entries, syclog.Entry{ID: op.ID, Data: data})
	p.waiters = append(p.waiters, make(chan sycconfig.Result, 1))
	return nil
}

// register adds the waiters for the results to the follower. Until unregister is called
// this VM reads the log itself.
func (p *proposal) register() {
	p.follower.proposals.Add(1)
	p.follower.store.options.Loop.Do(func(time.Duration) {
		for i, entry := range p.entries {
			p.follower.waiters[entry.ID] = p.waiters[i]
		}
	})
}

// unregister removes the waiters from the follower.
func (p *proposal) unregister() {
	p.follower.proposals.Add(-1)
	p.follower.store.options.Loop.Do(func(time.Duration) {
		for _, entry := range p.entries {
			delete(p.follower.waiters, entry.ID)
		}
	})
}

// run appends the operations, and repeats lost appends, until the operations have been
// read from the log.
func (p *proposal) run(ctx context.Context) ([]sycconfig.Result, error) {
	for lostBefore := false; ; lostBefore = true {
		_, err := p.follower.store.options.Log.Append(ctx, p.follower.stream, p.entries...)
		var lost *syclog.LostError
		if err != nil && !errors.As(err, &lost) {
			if lostBefore {
				return nil, p.unknownOutcome(err)
			}
			return nil, err
		}
		end := p.follower.store.options.Loop.Now()
		results, waitErr := p.results(ctx, end, err != nil)
		if waitErr != nil {
			return nil, p.unknownOutcome(errors.Join(waitErr, err))
		}
		if results == nil {
			continue
		}
		if lostBefore && anyRepeated(results) {
			// An earlier append succeeded after all, but its result was skipped by
			// installing a snapshot.
			return nil, p.unknownOutcome(results[0].Err())
		}
		return results, nil
	}
}

// unknownOutcome returns the error for operations that may have had an effect.
func (p *proposal) unknownOutcome(err error) error {
	return &UnknownOutcomeError{Stream: p.follower.stream, ID: p.entries[0].ID, Err: err}
}

// anyRepeated reports whether an operation was rejected because the log already holds
// one with the same ID.
func anyRepeated(results []sycconfig.Result) bool {
	for _, result := range results {
		var repeated *sycconfig.RepeatedError
		if errors.As(result.Err(), &repeated) {
			return true
		}
	}
	return false
}

// results waits for the results of all operations after an append that ended at the
// time end on the loop's clock. Lost is set if the response to the append was lost. The
// results are nil if the append was lost and had no effect.
func (p *proposal) results(ctx context.Context, end time.Duration, lost bool) ([]sycconfig.Result, error) {
	results := make([]sycconfig.Result, 0, len(p.waiters))
	for _, waiter := range p.waiters {
		result, seen, err := p.follower.waitResult(ctx, waiter, end, lost)
		if err != nil {
			return nil, err
		}
		if !seen {
			return nil, nil
		}
		results = append(results, result)
	}
	return results, nil
}

// waitResult waits for the result of an operation whose append ended at the time end on
// the loop's clock. If the response to the append was lost, it returns seen as false once
// a read that started after end has reached the log's end without the operation.
func (f *follower) waitResult(ctx context.Context, waiter <-chan sycconfig.Result, end time.Duration, lost bool) (result sycconfig.Result, seen bool, err error) {
	ticker := time.NewTicker(proofPoll)
	defer ticker.Stop()
	for {
		// The proof is loaded first: the result of a record before the proven
		// end has been delivered by then.
		absent := lost && time.Duration(f.provenAt.Load()) > end
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
