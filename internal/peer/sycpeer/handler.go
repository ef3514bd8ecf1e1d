package sycpeer

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcerr"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// drpc error codes. Every error of a handler carries one, which tells the
// client that the peer itself answered.
const (
	codeBusy   = 429
	codeFailed = 500
)

// HelloHandler answers introductions.
type HelloHandler interface {
	Hello(ctx context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error)
}

// RecordsHandler returns log records.
type RecordsHandler interface {
	Records(ctx context.Context, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error)
}

// SnapshotHandler returns chunks of snapshots.
type SnapshotHandler interface {
	Snapshot(ctx context.Context, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error)
}

// BorrowHandler lends rate tokens.
type BorrowHandler interface {
	Borrow(ctx context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error)
}

// ShareHandler takes digests of load, service and evidence.
type ShareHandler interface {
	Share(ctx context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error)
}

// OutcomeHandler returns the outcome of idempotency claims.
type OutcomeHandler interface {
	Outcome(ctx context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error)
}

// Handlers holds the handler of each call; a call whose handler is nil fails
// with the drpc code for unimplemented.
type Handlers struct {
	Hello    HelloHandler
	Records  RecordsHandler
	Snapshot SnapshotHandler
	Borrow   BorrowHandler
	Share    ShareHandler
	Outcome  OutcomeHandler
}

// service adapts Handlers to the generated server interface.
type service struct {
	handlers Handlers
	timeout  time.Duration
	// slots holds one entry per call in progress.
	slots chan struct{}
}

var _ sycpeerpb.DRPCPeerServer = (*service)(nil)

func (s *service) Hello(ctx context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	if s.handlers.Hello == nil {
		return nil, unimplemented("Hello")
	}
	return handle(ctx, s, "Hello", in, s.handlers.Hello.Hello)
}

func (s *service) Records(ctx context.Context, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	if s.handlers.Records == nil {
		return nil, unimplemented("Records")
	}
	return handle(ctx, s, "Records", in, s.handlers.Records.Records)
}

func (s *service) Snapshot(ctx context.Context, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	if s.handlers.Snapshot == nil {
		return nil, unimplemented("Snapshot")
	}
	return handle(ctx, s, "Snapshot", in, s.handlers.Snapshot.Snapshot)
}

func (s *service) Borrow(ctx context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	if s.handlers.Borrow == nil {
		return nil, unimplemented("Borrow")
	}
	return handle(ctx, s, "Borrow", in, s.handlers.Borrow.Borrow)
}

func (s *service) Share(ctx context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	if s.handlers.Share == nil {
		return nil, unimplemented("Share")
	}
	return handle(ctx, s, "Share", in, s.handlers.Share.Share)
}

func (s *service) Outcome(ctx context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	if s.handlers.Outcome == nil {
		return nil, unimplemented("Outcome")
	}
	return handle(ctx, s, "Outcome", in, s.handlers.Outcome.Outcome)
}

func unimplemented(call string) error {
	return drpcerr.WithCode(eris.Errorf("call %s is not served here", call), drpcerr.Unimplemented)
}

// handle runs one call under the server's bounds, in a span of its own.
func handle[I, O any](ctx context.Context, s *service, call string, in I, f func(context.Context, I) (O, error)) (O, error) {
	var none O
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		countCall("server", call, "busy")
		return none, drpcerr.WithCode(eris.New("too many calls in progress"), codeBusy)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	ctx, span := startServerSpan(ctx, call)
	defer span.End()
	out, err := f(ctx, in)
	countCall("server", call, result(err))
	if err != nil {
		span.RecordError(err)
		return none, withCode(eris.Wrapf(err, "call %s", call))
	}
	return out, nil
}

func withCode(err error) error {
	if drpcerr.Code(err) != 0 {
		return err
	}
	return drpcerr.WithCode(err, codeFailed)
}

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func countCall(side, call, result string) {
	name := fmt.Sprintf("sycamorecart_peer_calls_total{side=%q,call=%q,result=%q}", side, call, result)
	metrics.GetOrCreateCounter(name).Inc()
}
