package sycrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/traffic/sycending"
)

// abort closes the caller's connection without a whole answer, and logs and counts why. Nothing else in this
// package may close it. The detail completes the outcome, empty for none. The status is 0 if no single
// endpoint's answer was being passed on. It doesn't return.
func (x *exchange) abort(reason sycending.Reason, detail string, status int) {
	x.ending = reason
	sycending.Of(x.ctx).End(reason)
	abortedCalls(reason).Inc()
	outcome := string(reason)
	if detail != "" {
		outcome += "/" + detail
	}
	x.finish(outcome, status)
	closeConnection()
}

// closeConnection makes net/http close the caller's connection without ending the answer.
func closeConnection() { panic(http.ErrAbortHandler) }

// abortedCalls returns the counter of the calls that were aborted for a reason.
func abortedCalls(reason sycending.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_calls_aborted_total{reason=%q}`, reason))
}

// endingFields returns the log fields of a call that ends without a whole answer. It may be due to a
// configuration that came into force meanwhile, or to the end of a drain.
func (x *exchange) endingFields() logrus.Fields {
	fields := logrus.Fields{"reason": string(x.ending), "bytes": x.bytes, "draining": x.relay.draining.Load()}
	if c := x.relay.fleet.Config(); c != nil {
		fields["config_now"] = c.Version()
		fields["config_age"] = x.relay.fleet.ConfigAge().Round(time.Millisecond).String()
	}
	return fields
}

// goneReason returns why the context of the caller's request has ended, or its connection fails.
func (x *exchange) goneReason() sycending.Reason {
	var cut *sycending.DrainCutError
	if errors.As(context.Cause(x.ctx), &cut) {
		return sycending.DrainCut
	}
	return sycending.CallerGone
}

// breakReason returns why an answer that has begun can't be completed after the last attempt, while the
// caller waits. The context is the call's, with its deadline.
func (x *exchange) breakReason(ctx context.Context, last result) sycending.Reason {
	switch {
	case last.reason == reasonPanic:
		return sycending.Panic
	case ctx.Err() != nil || last.reason == reasonNoTime:
		return sycending.Deadline
	}
	return sycending.BrokenOff
}

// copyReason returns why an answer couldn't be copied from its endpoint to the caller.
func (x *exchange) copyReason(source *sourceReader) sycending.Reason {
	switch {
	case x.ctx.Err() != nil || source.err == nil:
		return x.goneReason()
	case !time.Now().Before(x.deadline):
		return sycending.Deadline
	}
	return sycending.BrokenOff
}

// sourceReader keeps the error of the reader that it reads from.
type sourceReader struct {
	in io.Reader
	// err is the first error but io.EOF.
	err error
}

// Read implements io.Reader.
func (r *sourceReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && r.err == nil {
		r.err = err
	}
	return n, err
}

// writeHeader writes the status and the header of the answer.
func (x *exchange) writeHeader(status int) {
	x.answering = true
	x.writer.WriteHeader(status)
}

// write writes a part of the answer's body.
func (x *exchange) write(data []byte) error {
	n, err := x.writer.Write(data)
	x.bytes += int64(n)
	return err
}
