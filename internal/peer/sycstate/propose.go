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

// proofPoll is the pause between looks at the proof of a stream's end.
const proofPoll = 20 * time.Millisecond

// UnknownOutcomeError reports an operation that may or may not have taken effect.
type UnknownOutcomeError struct {
	Stream string
	ID     string
	Err    error
}

// Error names the operation and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %s on %s: outcome unknown: %v", e.ID, e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Propose appends an operation and waits until this VM has folded it; see ProposeAll.
func (s *Store) Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error) {
	results, err := s.ProposeAll(ctx, stream, op)
	if err != nil {
		return sycconfig.Result{}, err
	}
	return results[0], nil
}

// ProposeAll appends operations in one call of the log and waits until this VM
// has folded them. An empty id is replaced by a new one. An append whose answer
// is lost is repeated only after a read that began later has reached the log's
// end without the operations, and under the same ids. The error is
// *OutcomeError, *syclog.UnavailableError or *syclog.RefusedError; after the
// last two the operations have had no effect. The ids must differ. It must not be
// called on the control loop.
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
	p.await()
	defer p.forget()
	return p.run(ctx)
}

// proposal is a set of operations on its way into the log.
type proposal struct {
	follower *follower
	entries  []syclog.Entry
	// waiters are parallel to entries.
	waiters []chan sycconfig.Result
}

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

// await registers interest in the results, which has this VM read the log itself.
func (p *proposal) await() {
	p.follower.proposals.Add(1)
	p.follower.store.options.Loop.Do(func(time.Duration) {
		for i, entry := range p.entries {
			p.follower.waiting[entry.ID] = p.waiters[i]
		}
	})
}

func (p *proposal) forget() {
	p.follower.proposals.Add(-1)
	p.follower.store.options.Loop.Do(func(time.Duration) {
		for _, entry := range p.entries {
			delete(p.follower.waiting, entry.ID)
		}
	})
}

// run appends until the operations have been seen in the log.
func (p *proposal) run(ctx context.Context) ([]sycconfig.Result, error) {
	for lostBefore := false; ; lostBefore = true {
		_, err := p.follower.store.options.Log.Append(ctx, p.follower.stream, p.entries...)
		var lost *syclog.LostError
		if err != nil && !errors.As(err, &lost) {
			if lostBefore {
				return nil, p.unknown(err)
			}
			return nil, err
		}
		after := p.follower.store.options.Loop.Now()
		results, waitErr := p.results(ctx, after, err != nil)
		if waitErr != nil {
			return nil, p.unknown(errors.Join(waitErr, err))
		}
		if results == nil {
			continue
		}
		if lostBefore && anyRepeated(results) {
			// A snapshot passed over the first copy of an operation.
			return nil, p.unknown(results[0].Err())
		}
		return results, nil
	}
}

func (p *proposal) unknown(err error) error {
	return &UnknownOutcomeError{Stream: p.follower.stream, ID: p.entries[0].ID, Err: err}
}

func anyRepeated(results []sycconfig.Result) bool {
	for _, result := range results {
		var repeated *sycconfig.RepeatedError
		if errors.As(result.Err(), &repeated) {
			return true
		}
	}
	return false
}

// results waits for the results of all operations; they are nil if the append
// was lost and had no effect.
func (p *proposal) results(ctx context.Context, after time.Duration, lost bool) ([]sycconfig.Result, error) {
	results := make([]sycconfig.Result, 0, len(p.waiters))
	for _, waiter := range p.waiters {
		result, seen, err := p.follower.waitResult(ctx, waiter, after, lost)
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
