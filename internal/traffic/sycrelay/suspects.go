package sycrelay

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
)

// endpointEnded reports whether an error means that the endpoint closed or reset the connection
// before the answer was complete, as it does when it ends.
func endpointEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordBreak records an answer that broke off if its endpoint seems to have ended, with the
// blocks of the prompt that was in flight. Begun is set if the answer's header has arrived.
func (x *exchange) recordBreak(err error, begun bool, started time.Time) {
	if !endpointEnded(err) {
		return
	}
	x.relay.fleet.RecordBreak(x.request.ID, begun)
	e := x.target.Endpoint
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_answers_cut_total{service=%q,begun="%t"}`, x.service, begun)).Inc()
	blocks := make([]string, 0, len(x.call.Blocks))
	for _, b := range x.call.Blocks {
		blocks = append(blocks, b.Name)
	}
	hashes := make([]string, 0, len(x.request.Prompt.Blocks))
	for _, hash := range x.request.Prompt.Blocks {
		hashes = append(hashes, sycfleet.BlockID(hash))
	}
	x.relay.log.WithError(err).WithFields(logrus.Fields{
		"id": x.call.ID, "request": sycfleet.BlockID(x.request.Prompt.Request), "endpoint": e.ID, "incarnation": e.Incarnation, "attempt": x.attempts,
		"blocks": blocks, "hashes": hashes,
		"begun": begun, "events": x.eventCount, "took": time.Since(started).Round(time.Millisecond).String(),
	}).Warn("relay: endpoint ended under a request")
}

// identity identifies the request by its customer, method, host, path, query, model, blocks and body. The hash is a
// cryptographic one, since callers choose their requests: none can be made to look like another's.
func (x *exchange) identity() uint64 {
	digest := sha256.New()
	add := func(part []byte) {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	for _, part := range []string{x.customer, x.call.Method, x.call.Host, x.call.Target, x.call.Model} {
		add([]byte(part))
	}
	for _, b := range x.call.Blocks {
		add([]byte(b.Name))
	}
	add(x.body)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}

// prompt returns what identifies the request and, by their content and the model, the prompt's blocks without the last.
func (x *exchange) prompt() sycsuspect.Prompt {
	if x.request != nil {
		return x.request.Prompt
	}
	out := sycsuspect.Prompt{Request: x.identity()}
	scope := sycplace.CacheScope("", false, x.call.Model)
	for _, b := range x.call.Blocks[:max(len(x.call.Blocks)-1, 0)] {
		out.Blocks = append(out.Blocks, sycplace.BlockHash(scope, b.Name))
	}
	out.Blocks = append(out.Blocks, out.Request)
	return out
}

// verdictFields returns the log fields of a verdict: the block, as the caller names it and by
// its hash, and what speaks against it.
func (x *exchange) verdictFields(v *sycsuspect.Verdict) logrus.Fields {
	fields := sycfleet.EvidenceFields(v.Block, v.Evidence)
	if v.Block == x.request.Prompt.Request {
		fields["request"] = sycfleet.BlockID(v.Block)
	} else if i := slices.Index(x.request.Prompt.Blocks, v.Block); i >= 0 {
		fields["name"] = x.call.Blocks[i].Name
	}
	fields["retry_after"] = v.After.Round(time.Millisecond).String()
	return fields
}

// refuseSuspect answers that the request isn't run, since its prompt may end endpoints.
func (x *exchange) refuseSuspect(v *sycsuspect.Verdict) {
	x.refusalFields = x.verdictFields(v)
	x.refuse(http.StatusServiceUnavailable, string(v.Reason), v.After)
}

// logVerdict logs that a request isn't tried again, since its prompt may end endpoints.
func (x *exchange) logVerdict(v *sycsuspect.Verdict) {
	x.relay.log.WithFields(x.verdictFields(v)).WithFields(logrus.Fields{
		"id": x.call.ID, "reason": string(v.Reason), "attempt": x.attempts,
	}).Warn("relay: request not tried again")
}
