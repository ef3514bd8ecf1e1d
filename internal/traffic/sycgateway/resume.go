package sycgateway

import (
	"net/http"
	"strconv"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// headerLastEventID names the header with the index of the last token that a
// resuming client received.
const headerLastEventID = "Last-Event-ID"

// prepareResume prepares a request that resumes an earlier stream, possibly of
// another VM. It reports whether the engine of that stream can be asked to resume.
// If not, the output is generated again with the same weights.
//
// Tokens that the client already has are received again and not sent to it, unless
// the client supplied their text. After a failure the gateway then has the whole
// output to continue from.
func (gen *generator) prepareResume() (bool, error) {
	x := gen.x
	text := x.r.Header.Get(sycapi.HeaderStream)
	if text == "" {
		return false, nil
	}
	id, err := sycstream.ParseID(text)
	if err != nil {
		return false, sycapi.Invalid(http.StatusBadRequest, "invalid_stream", "%s", err.Error())
	}
	if id.Digest != gen.requestDigest() {
		return false, sycapi.Invalid(http.StatusUnprocessableEntity, "stream_mismatch", "the stream was begun by a different request")
	}
	skip, err := parseLastEventID(x.r.Header.Get(headerLastEventID))
	if err != nil {
		return false, err
	}
	gen.pinnedWeights, gen.pinnedAdapter = id.Weights, id.Adapter
	if gen.req.Streamed() {
		gen.skip = skip
		gen.adoptPriorText()
		if skip > 0 {
			// The client has part of the output, so the rest must come from the
			// same weights.
			gen.plan.Delivered()
		}
	}
	endpoint, ok := x.config.Endpoint(id.Endpoint)
	if !ok || endpoint.Value().Type() != sycrecord.EndpointEngine {
		return false, nil
	}
	gen.resumeAt(id, endpoint.Value())
	return true, nil
}

// adoptPriorText sets the output so far to the text that the client sent with the
// request. The output then continues from it even if generating it again would give
// a different text.
func (gen *generator) adoptPriorText() {
	text := gen.req.PriorText()
	if text == "" || gen.skip == 0 {
		return
	}
	gen.next = gen.skip
	gen.text.WriteString(text)
}

// resumeAt sets the engine call to the existing stream id at engine e.
func (gen *generator) resumeAt(id sycstream.ID, e sycrecord.Endpoint) {
	gen.call = gen.newStreamCall(sycwork.Target{
		Endpoint:      e.Name(),
		Address:       e.Address(),
		FailureDomain: e.FailureDomain(),
		Weights:       id.Weights,
		Adapter:       id.Adapter,
		Salt:          sycblock.Salt(gen.x.customer(), gen.req.Model(), id.Adapter, id.Weights),
	})
	gen.call.Stream = id.Stream
}

// parseLastEventID returns the index of the first token that the client doesn't
// have.
func parseLastEventID(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, sycapi.Invalid(http.StatusBadRequest, "invalid_last_event", "Last-Event-ID must be the id of an event of the stream")
	}
	return n + 1, nil
}

// cancelStream queues the cancellation of the current stream if an engine may still
// be generating it.
func (gen *generator) cancelStream() {
	if !gen.engineRunning {
		return
	}
	gen.engineRunning = false
	gen.x.g.enqueueCancel(gen.call)
}
