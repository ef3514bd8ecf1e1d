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

// Error codes of drpc. Every error that the server returns has a code, from which
// the client sees that the peer itself answered.
const (
	// codeBusy means that too many calls are in progress at the server.
	codeBusy = 429
	// codeFailed means that the handler returned an error without a code.
	codeFailed = 500
)

// HelloHandler handles the Hello call, in which a VM introduces itself.
type HelloHandler interface {
	Hello(ctx context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error)
}

// RecordsHandler handles the Records call, which returns records of a log stream.
type RecordsHandler interface {
	Records(ctx context.Context, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error)
}

// SnapshotHandler handles the Snapshot call, which returns a chunk of a snapshot
// of a log stream.
type SnapshotHandler interface {
	Snapshot(ctx context.Context, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error)
}

// BorrowHandler handles the Borrow call, which lends permits of the rate limiter.
type BorrowHandler interface {
	Borrow(ctx context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error)
}

// ShareHandler handles the Share call, by which a peer sends a digest of load,
// service and evidence.
type ShareHandler interface {
	Share(ctx context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error)
}

// OutcomeHandler handles the Outcome call, which returns the outcome of an HTTP
// request that this VM ran under a claim of its own.
type OutcomeHandler interface {
	Outcome(ctx context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error)
}

// Handlers has the server's handler of each call. A call whose handler is nil
// fails with the code drpcerr.Unimplemented.
type Handlers struct {
	Hello    HelloHandler
	Records  RecordsHandler
	Snapshot SnapshotHandler
	Borrow   BorrowHandler
	Share    ShareHandler
	Outcome  OutcomeHandler
}

// dispatcher passes the calls of the generated server interface to Handlers.
type dispatcher struct {
	handlers Handlers
	// timeout limits the handling of one call.
	timeout time.Duration
	// inProgress holds one element for each call in progress. Its capacity is
	// Limits.ServerCalls.
	inProgress chan struct{}
}

var _ sycpeerpb.DRPCPeerServer = (*dispatcher)(nil)

func (d *dispatcher) Hello(ctx context.Context, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	if d.handlers.Hello == nil {
		return nil, unimplemented("Hello")
	}
	return handle(ctx, d, "Hello", in, d.handlers.Hello.Hello)
}

func (d *dispatcher) Records(ctx context.Context, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	if d.handlers.Records == nil {
		return nil, unimplemented("Records")
	}
	return handle(ctx, d, "Records", in, d.handlers.Records.Records)
}

func (d *dispatcher) Snapshot(ctx context.Context, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	if d.handlers.Snapshot == nil {
		return nil, unimplemented("Snapshot")
	}
	return handle(ctx, d, "Snapshot", in, d.handlers.Snapshot.Snapshot)
}

func (d *dispatcher) Borrow(ctx context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	if d.handlers.Borrow == nil {
		return nil, unimplemented("Borrow")
	}
	return handle(ctx, d, "Borrow", in, d.handlers.Borrow.Borrow)
}

func (d *dispatcher) Share(ctx context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	if d.handlers.Share == nil {
		return nil, unimplemented("Share")
	}
	return handle(ctx, d, "Share", in, d.handlers.Share.Share)
}

func (d *dispatcher) Outcome(ctx context.Context, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	if d.handlers.Outcome == nil {
		return nil, unimplemented("Outcome")
	}
	return handle(ctx, d, "Outcome", in, d.handlers.Outcome.Outcome)
}

// unimplemented returns the error of a call that has no handler.
func unimplemented(call string) error {
	return drpcerr.WithCode(eris.Errorf("call %s is not served here", call), drpcerr.Unimplemented)
}

// handle runs one call within the server's limits, and traces and counts it.
func handle[I, O any](ctx context.Context, d *dispatcher, call string, in I, f func(context.Context, I) (O, error)) (O, error) {
	var zero O
	select {
	case d.inProgress <- struct{}{}:
		defer func() { <-d.inProgress }()
	default:
		countCall("server", call, "busy")
		return zero, drpcerr.WithCode(eris.New("too many calls in progress"), codeBusy)
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	ctx, span := startServerSpan(ctx, call)
	defer span.End()
	out, err := f(ctx, in)
	countCall("server", call, result(err))
	if err != nil {
		span.RecordError(err)
		return zero, withCode(eris.Wrapf(err, "call %s", call))
	}
	return out, nil
}

// withCode returns the error with the code codeFailed, unless it has a code.
func withCode(err error) error {
	if drpcerr.Code(err) != 0 {
		return err
	}
	return drpcerr.WithCode(err, codeFailed)
}

// result returns the value of the metric label "result".
func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

// countCall counts a call. The side is "client" or "server". The result is "ok",
// "error", "busy" (rejected by the server, see Limits.ServerCalls) or "held"
// (rejected by the client's callLimiter).
func countCall(side, call, result string) {
	name := fmt.Sprintf("sycamorecart_peer_calls_total{side=%q,call=%q,result=%q}", side, call, result)
	metrics.GetOrCreateCounter(name).Inc()
}
