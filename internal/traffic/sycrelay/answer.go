package sycrelay

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// maxBufferedAnswer limits the bytes of an answer that are read before any is passed on.
const maxBufferedAnswer = 256 << 10

// hopHeaders are the headers that concern one connection only, so that a proxy drops them.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HopHeader reports whether the header with a canonical name concerns one connection only.
func HopHeader(name string) bool { return slices.Contains(hopHeaders, name) }

// relayBuffered passes on an answer that isn't a stream. It reads the answer before it passes
// on any of it, up to maxBufferedAnswer bytes. If the answer breaks off or says that the
// endpoint has failed, another attempt is still possible.
func (x *exchange) relayBuffered(answer *sycwire.Response, started time.Time) result {
	body, whole, err := x.readAnswer(answer)
	if err != nil {
		return x.abortAttempt(answer, err, started)
	}
	if answer.Status < http.StatusInternalServerError {
		x.relay.fleet.RecordFirstByte(x.request.ID)
		x.finishAttempt(sycplace.Served, started)
		return x.passOn(answer, body, whole, "answered")
	}
	x.finishAttempt(sycplace.Failed, started)
	if !whole && !x.mayTryAgain() {
		return x.passOn(answer, body, whole, "endpoint_failed")
	}
	if whole {
		x.failure = &failure{status: answer.Status, header: answer.Header, body: body}
	}
	return result{arrived: true, reason: "endpoint_failed"}
}

// readAnswer reads the first maxBufferedAnswer bytes of an answer, and less if there is no memory for them. It
// reports whether that is the whole answer. Buffered answers share a part of the budget only, so that callers who
// don't read theirs leave room for requests.
func (x *exchange) readAnswer(answer io.Reader) (body []byte, whole bool, err error) {
	if x.answers == nil {
		x.answers = x.relay.budget.Open(nil, append(x.owners(), "answers")...)
	}
	return x.answers.ReadSome(x.ctx, answer, maxBufferedAnswer)
}

// mayTryAgain reports whether the request may be sent to another endpoint after one has run it.
func (x *exchange) mayTryAgain() bool {
	return x.route.Repeats() && x.attempts < x.route.Attempts
}

// passOn passes on an answer of which the first bytes have been read, the whole of it or as many
// as are buffered. Outcome is how the call ends if all of it is passed on.
func (x *exchange) passOn(answer *sycwire.Response, body []byte, whole bool, outcome string) result {
	x.firstByte = time.Since(x.arrived)
	x.copyHeader(answer.Header)
	if whole {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeHeader(answer.Status)
	if err := x.write(body); err != nil {
		x.abort(x.goneReason(), "", answer.Status)
	}
	if !whole {
		source := &sourceReader{in: answer}
		n, err := io.Copy(x.writer, source)
		x.bytes += n
		if err != nil {
			x.abort(x.copyReason(source), "", answer.Status)
		}
	}
	x.finish(outcome, answer.Status)
	return result{done: true}
}

// applyNotice records what the answer to an attempt that started at a time says about the target itself. That
// the target has no limit any more is shown only by the answer of a run.
func (x *exchange) applyNotice(answer *sycwire.Response, started time.Time) {
	notice := x.relay.codec.Notice(x.target.Endpoint.ID, answer.Status, answer.Header)
	notice.Unlimited = notice.Unlimited && x.disposition(answer) == Answered
	if notice != (sycplace.Notice{}) {
		notice.Waited = time.Since(started)
		x.relay.fleet.ApplyNotice(x.call.ID, x.target.Endpoint, notice)
	}
}

// failure is an endpoint's whole answer with a server error status (5xx).
type failure struct {
	status int
	header http.Header
	body   []byte
}

// relayFailure passes on an endpoint's server error unchanged.
func (x *exchange) relayFailure(f *failure) {
	x.copyHeader(f.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	x.writeHeader(f.status)
	_ = x.write(f.body)
	x.finish("endpoint_failed", f.status)
}

// abortAttempt finishes an attempt whose answer broke off or makes no sense, because the caller has gone
// or the endpoint has failed. The endpoint must not go on with the request.
func (x *exchange) abortAttempt(answer *sycwire.Response, err error, started time.Time) result {
	answer.Abandon()
	if x.ctx.Err() != nil {
		x.finishAttempt(sycplace.Cancelled, started)
		return result{arrived: true, reason: "caller_gone"}
	}
	x.recordBreak(err, true, started)
	x.finishAttempt(x.breakOutcome(err), started)
	x.relay.log.WithError(err).WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "events": x.eventCount,
		"silent": time.Since(x.heard).Round(time.Millisecond).String(), "given_up": errors.Is(err, os.ErrDeadlineExceeded),
	}).Info("relay: answer broken off")
	return result{arrived: true, reason: "answer_broken_off"}
}

// breakOutcome returns the outcome of an attempt that got no whole answer. An endpoint that was silent
// for so long that another one has taken the request over hasn't failed by that.
func (x *exchange) breakOutcome(err error) sycplace.Outcome {
	if x.timeout != nil && x.timeout.hasSwitched() && !endpointEnded(err) {
		return sycplace.Silent
	}
	return sycplace.Failed
}

// askToClose asks the caller to close its connection after the answer if the VM is being drained.
func (x *exchange) askToClose() {
	if x.relay.draining.Load() {
		x.writer.Header().Set("Connection", "close")
	}
}

// copyHeader copies the header of an endpoint's answer to the caller's, except the headers
// that concern one connection only.
func (x *exchange) copyHeader(answer http.Header) {
	x.askToClose()
	h := x.writer.Header()
	for name, values := range answer {
		if !HopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, named := answer["Content-Type"]; !named {
		// Without this entry net/http would guess a content type.
		h["Content-Type"] = nil
	}
}

// refuse answers that no endpoint has run the request, and tells after which time the caller
// may try again.
func (x *exchange) refuse(status int, reason string, after time.Duration) {
	x.relay.codec.SetRetryAfter(x.writer.Header(), after)
	x.fail(status, reason)
}

// fail answers with a status and a reason.
func (x *exchange) fail(status int, reason string) {
	x.discardBody()
	x.askToClose()
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"error\":%q}\n", reason)
	if status == http.StatusInternalServerError {
		body = fmt.Sprintf("{\"error\":%q,\"id\":%q}\n", reason, x.call.ID)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHeader(status)
	_ = x.write([]byte(body))
	x.finish(reason, status)
}

// finish logs and counts how a call ended. The status is 0 if the caller got no answer's
// header.
func (x *exchange) finish(outcome string, status int) {
	took := time.Since(x.arrived)
	route, kind := "none", "none"
	if x.route != nil {
		route, kind = x.route.Name, x.route.Kind.String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_requests_total{route=%q,kind=%q,outcome=%q,status="%d"}`, route, kind, outcome, status)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`sycamorecart_request_seconds{route=%q}`, route)).Update(took.Seconds())
	fields := logrus.Fields{
		"id": x.call.ID, "route": route, "kind": kind, "customer": x.customer, "outcome": outcome, "status": status,
		"took": took.Round(time.Millisecond).String(), "attempts": x.attempts, "ran": x.ran,
	}
	if x.config != nil {
		fields["config"] = x.config.Version()
	}
	if x.ending != "" {
		maps.Copy(fields, x.endingFields())
	}
	if x.target != nil {
		fields["endpoints"] = x.tried
		fields["first"] = x.firstByte.Round(time.Millisecond).String()
		fields["events"] = x.eventCount
	}
	maps.Copy(fields, x.refusalFields)
	line := x.relay.log.WithFields(fields)
	if outcome == "answered" && status < http.StatusInternalServerError {
		line.Info("relay: request ended")
		return
	}
	line.Warn("relay: request failed")
}
