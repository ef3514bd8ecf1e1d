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

// headerLastEvent is where a resuming caller says which token it got last.
const headerLastEventID = "Last-Event-ID"

// rejoin prepares a request that names a stream begun earlier, perhaps through
// another VM. It reports whether the engine that had the stream can be asked;
// if not, the answer is generated again on the same weights. Either way the
// tokens that the caller has are received again and left out, so that a later
// failure finds the whole text here.
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
			// The caller has part of the answer, so that other weights must not
			// give the rest.
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

// adopt takes the text that the caller says it has, so that the answer goes on
// from there even where generating it again would give another text.
func (gen *generator) adoptPriorText() {
	text := gen.req.PriorText()
	if text == "" || gen.skip == 0 {
		return
	}
	gen.next = gen.skip
	gen.text.WriteString(text)
}

// joinAt points the present call at the engine that had the stream.
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

// lastEvent returns the index of the first token that the caller lacks.
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

// cancelEngine tells the engine that nobody waits for its stream any more.
func (gen *generator) cancelStream() {
	if !gen.engineRunning {
		return
	}
	gen.engineRunning = false
	gen.x.g.enqueueCancel(gen.call)
}
