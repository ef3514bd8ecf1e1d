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

const (
	// maxBatch limits the records in one append.
	maxBatch = 100
	// readyPoll is the time between two checks whether the session is ready.
	readyPoll = 10 * time.Millisecond
	// retention stands in for the log's retention, which a session doesn't know. It is
	// used to time snapshots only, which a session doesn't append.
	retention = 24 * time.Hour
)

// Session connects an operator's command with the log. It follows the config and the
// system stream as a VM does, but reads from no peers and appends no snapshots.
type Session struct {
	// loop is the control loop, on which the store applies records.
	loop *sycloop.Loop
	// log is the client of the log.
	log *syclog.Client
	// store keeps the states of both streams and appends records.
	store *sycstate.Store
}

// Open starts a session with the log at a base URL. Close ends it.
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

// Store returns the store, which holds the states of both streams.
func (s *Session) Store() *sycstate.Store { return s.store }

// WaitReady waits until the session has read both streams to their ends, or returns the
// error of ctx if that ends first.
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

// Publish appends operations to the config stream in order, in batches, and calls report
// with the result of each. It stops at the first append that fails, and returns the error
// of sycstate.Store.ProposeAll.
func (s *Session) Publish(ctx context.Context, ops []sycrecord.Operation, report func(sycconfig.Result)) error {
	for len(ops) > 0 {
		n := min(maxBatch, len(ops))
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
