package sycpublish

import (
	"context"
	"time"

	"github.com/google/uuid"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// Bounds of publishing.
const (
	// batch is the number of records in one append.
	batch     = 100
	readyPoll = 10 * time.Millisecond
	// retention only has to be long: a session appends no snapshots.
	retention = 24 * time.Hour
)

// Session is an operator's view of the log: it folds the streams as a VM does.
type Session struct {
	loop  *sycloop.Loop
	log   *syclog.Client
	store *sycstate.Store
}

// Open starts a session with the log at a base URL.
func Open(logURL string) *Session {
	s := &Session{
		loop: sycloop.New(),
		log:  syclog.New(syclog.Options{Address: logURL}),
	}
	s.store = sycstate.New(sycstate.Options{
		Loop:      s.loop,
		Log:       s.log,
		Self:      "operator/" + uuid.NewString(),
		Retention: retention,
		ReadOnly:  true,
	})
	return s
}

// Close ends the session and waits for its goroutines.
func (s *Session) Close() error {
	if err := s.store.Close(); err != nil {
		return err
	}
	if err := s.loop.Close(); err != nil {
		return err
	}
	return s.log.Close()
}

// Store is the session's folded state.
func (s *Session) Store() *sycstate.Store { return s.store }

// WaitReady waits until the session has read both streams to their ends.
func (s *Session) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !s.store.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Publish appends records of the config stream in order and calls report with
// the result of each. It stops at the first append that fails; the error is
// that of sycstate.Store.ProposeAll.
func (s *Session) Publish(ctx context.Context, ops []sycrecord.Operation, report func(sycconfig.Result)) error {
	for len(ops) > 0 {
		n := min(batch, len(ops))
		results, err := s.store.ProposeAll(ctx, sycstate.ConfigStream, ops[:n]...)
		if err != nil {
			return err
		}
		for _, result := range results {
			report(result)
		}
		ops = ops[n:]
	}
	return nil
}
