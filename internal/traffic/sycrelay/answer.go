package sycrelay

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// wholeLimit bounds the answers that are read whole before they are passed on.
const wholeLimit = 256 << 10

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HopHeader reports whether a header of that canonical name concerns one
// connection only.
func HopHeader(name string) bool { return slices.Contains(hopHeaders, name) }

// whole passes on an answer that is not streamed. It is read whole first, so
// that a request that may be repeated is, if its answer is broken off.
func (x *exchange) whole(answer *sycwire.Answer, started time.Time) result {
	body, err := io.ReadAll(io.LimitReader(answer, wholeLimit))
	if err != nil {
		return x.brokenOff(err, started)
	}
	if answer.Status >= http.StatusInternalServerError {
		x.finished(sycplace.Failed, started)
		x.failure = &failure{status: answer.Status, header: answer.Header, body: body}
		return result{arrived: true, reason: "endpoint_failed"}
	}
	x.relay.fleet.RecordFirstByte(x.request.ID)
	x.finished(sycplace.Served, started)
	x.firstByte = time.Since(x.arrived)
	x.head(answer.Header)
	if len(body) < wholeLimit {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writer.WriteHeader(answer.Status)
	x.started = true
	if _, err := x.writer.Write(body); err != nil {
		x.finish("caller_gone", answer.Status)
		panic(http.ErrAbortHandler)
	}
	if len(body) == wholeLimit {
		if _, err := io.Copy(x.writer, answer); err != nil {
			x.finish("broken_off", answer.Status)
			panic(http.ErrAbortHandler)
		}
	}
	x.finish("answered", answer.Status)
	return result{done: true}
}

// failure is an endpoint's answer that says that it failed.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// passOn answers with an endpoint's failure, unchanged.
func (x *exchange) passOn(f *failure) {
	x.head(f.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	x.writer.WriteHeader(f.status)
	_, _ = x.writer.Write(f.body)
	x.finish("endpoint_failed", f.status)
}

// brokenOff tells how an answer ended that did not end well.
func (x *exchange) brokenOff(err error, started time.Time) result {
	if x.ctx.Err() != nil {
		x.finished(sycplace.Cancelled, started)
		return result{arrived: true, reason: "caller_gone"}
	}
	x.finished(sycplace.Failed, started)
	x.relay.log.WithError(err).WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "events": x.events,
	}).Info("relay: answer broken off")
	return result{arrived: true, reason: "answer_broken_off"}
}

// head copies the head of an endpoint's answer.
func (x *exchange) head(answer http.Header) {
	h := x.writer.Header()
	for name, values := range answer {
		if !HopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, named := answer["Content-Type"]; !named {
		// Keeps the library from adding a guess.
		h["Content-Type"] = nil
	}
}

// refuse answers that the request has not run and never will.
func (x *exchange) refuse(status int, reason string, after time.Duration) {
	x.relay.codec.SetRetryAfter(x.writer.Header(), after)
	x.fail(status, reason)
}

func (x *exchange) fail(status int, reason string) {
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"error\":%q}\n", reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, body)
	x.finish(reason, status)
}

// finish logs and counts how a request ended.
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
	if x.target != nil {
		fields["endpoints"] = x.tried
		fields["first"] = x.firstByte.Round(time.Millisecond).String()
		fields["events"] = x.events
	}
	maps.Copy(fields, x.note)
	line := x.relay.log.WithFields(fields)
	if outcome == "answered" && status < http.StatusInternalServerError {
		line.Info("relay: request ended")
		return
	}
	line.Warn("relay: request failed")
}
