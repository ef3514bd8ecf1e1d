package sycfeed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
)

const (
	// maxResponse limits the size of a response body in bytes.
	maxResponse = 64 << 20
	// pollTimeout limits the time that a poll of the load may take, and the time that a call
	// for cache events may take beyond eventsWait.
	pollTimeout = time.Second
	// listTimeout limits the time that a call for the complete list of cached blocks may
	// take.
	listTimeout = 5 * time.Second
	// eventsWait is how long an engine waits for new cache events before it sends an empty
	// response.
	eventsWait = 5 * time.Second
	// maxReportAge limits the age that is computed from the time in a load report, as the
	// engine's clock may be wrong.
	maxReportAge = 5 * time.Second
	// stateReady is the state of weights that an engine can serve.
	stateReady = "ready"
)

// loadResponse is the wire form of an engine's load report.
type loadResponse struct {
	// Incarnation identifies the engine's process.
	Incarnation string `json:"incarnation"`
	// AsOf is the time of the report by the engine's clock.
	AsOf time.Time `json:"as_of"`
	// Running and Waiting are the numbers of running and of queued requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens that are still to be computed.
	PrefillTokens int `json:"queued_prefill_tokens"`
	// Blocks is the size of the KV cache in blocks, UsedBlocks how many are in use.
	Blocks     int `json:"kv_blocks"`
	UsedBlocks int `json:"kv_blocks_used"`
	// Weights lists the weights on the engine.
	Weights []weightsState `json:"weights"`
	// Role says whether the engine runs prefill, decode or both.
	Role string `json:"role"`
}

// weightsState is the wire form of the state of weights on an engine.
type weightsState struct {
	// Model names the model, Weights its weights.
	Model   string `json:"model"`
	Weights string `json:"weights"`
	// State is stateReady if the weights can serve requests.
	State string `json:"state"`
	// Adapters names the adapters that are loaded with the weights.
	Adapters []string `json:"adapters"`
}

// eventsResponse is the wire form of a batch of an engine's cache events.
type eventsResponse struct {
	// Incarnation identifies the engine's process.
	Incarnation string `json:"incarnation"`
	// First is the oldest sequence number that the engine still keeps.
	First uint64 `json:"first"`
	// Next is the sequence number after the newest event in the batch.
	Next uint64 `json:"next"`
	// Events holds the events before Next, in order.
	Events []cacheEvent `json:"events"`
}

// cacheEvent is the wire form of a cache event.
type cacheEvent struct {
	// Seq is the event's sequence number.
	Seq uint64 `json:"seq"`
	// Op is a key of ops.
	Op string `json:"op"`
	// Blocks holds the hashes of the blocks that were stored or evicted.
	Blocks []uint64 `json:"blocks"`
}

// cacheResponse is the wire form of the complete list of blocks that an endpoint has cached.
type cacheResponse struct {
	// Incarnation identifies the endpoint's process.
	Incarnation string `json:"incarnation"`
	// Next is the sequence number of the first event that the list doesn't include.
	Next uint64 `json:"next"`
	// Blocks holds the hashes of the cached blocks.
	Blocks []uint64 `json:"blocks"`
}

// ops maps the names of operations in cache events to the operations.
var ops = map[string]sycprefix.Op{
	"store": sycprefix.Store,
	"evict": sycprefix.Evict,
	"clear": sycprefix.Clear,
}

// report converts a response to a load report. It includes ready weights only.
func (r *loadResponse) report() sycdispatch.Report {
	report := sycdispatch.Report{
		Incarnation:   r.Incarnation,
		Running:       r.Running,
		Waiting:       r.Waiting,
		PrefillTokens: r.PrefillTokens,
		CacheBlocks:   r.Blocks,
		UsedBlocks:    r.UsedBlocks,
		Role:          r.Role,
	}
	for _, w := range r.Weights {
		if w.State != stateReady {
			continue
		}
		report.Ready = append(report.Ready, sycdispatch.Loaded{Model: w.Model, Weights: w.Weights})
		for _, adapter := range w.Adapters {
			report.Ready = append(report.Ready, sycdispatch.Loaded{Model: w.Model, Weights: w.Weights, Adapter: adapter})
		}
	}
	return report
}

// ageOf returns the age at the time now of a load report with the engine's time asOf, between
// 0 and maxReportAge.
func ageOf(asOf, now time.Time) time.Duration {
	return min(max(now.Sub(asOf), 0), maxReportAge)
}

// batch converts a response to a batch of cache events. Events with unknown operations are
// left out, so the dispatcher counts them as lost.
func (r *eventsResponse) batch() sycdispatch.Batch {
	b := sycdispatch.Batch{Incarnation: r.Incarnation, First: r.First, Next: r.Next}
	for _, e := range r.Events {
		if op, ok := ops[e.Op]; ok {
			b.Events = append(b.Events, sycprefix.Event{Seq: e.Seq, Op: op, Blocks: e.Blocks})
		}
	}
	return b
}

// eventsURL returns the URL of an engine's cache events from a position on.
func eventsURL(address string, p sycdispatch.Position) string {
	query := url.Values{
		"incarnation": {p.Incarnation},
		"from":        {strconv.FormatUint(p.From, 10)},
		"wait":        {eventsWait.String()},
	}
	return address + "/v1/events?" + query.Encode()
}

// get sends a GET request and decodes the JSON response.
func get[T any](ctx context.Context, client *http.Client, address string, timeout time.Duration) (*T, error) {
	return call[T](ctx, client, http.MethodGet, address, nil, timeout)
}

// call sends a request with a JSON body, which may be nil, and decodes the JSON response.
func call[T any](ctx context.Context, client *http.Client, method, address string, body []byte, timeout time.Duration) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "feed")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "feed")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("feed: %s answered %s", address, response.Status)
	}
	var decoded T
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&decoded); err != nil {
		return nil, eris.Wrap(err, "feed")
	}
	return &decoded, nil
}

// unreachable reports whether a call failed because no connection could be made.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
