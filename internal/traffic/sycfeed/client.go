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
	// maxAnswer bounds the size of an answer in bytes.
	maxAnswer = 64 << 20
	// pollTimeout bounds a call that isn't held.
	pollTimeout = time.Second
	// listTimeout bounds the call for the complete list of blocks.
	listTimeout = 5 * time.Second
	// eventsWait is how long an engine holds a call for events.
	eventsWait = 5 * time.Second
	// oldestReport bounds the age that is believed of a report.
	oldestReport = 5 * time.Second
	stateReady   = "ready"
)

// loadAnswer is the wire form of a load report.
type loadAnswer struct {
	Incarnation   string          `json:"incarnation"`
	AsOf          time.Time       `json:"as_of"`
	Running       int             `json:"running"`
	Waiting       int             `json:"waiting"`
	PrefillTokens int             `json:"queued_prefill_tokens"`
	Blocks        int             `json:"kv_blocks"`
	UsedBlocks    int             `json:"kv_blocks_used"`
	Weights       []weightsAnswer `json:"weights"`
	Role          string          `json:"role"`
}

type weightsAnswer struct {
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	State    string   `json:"state"`
	Adapters []string `json:"adapters"`
}

type eventsAnswer struct {
	Incarnation string        `json:"incarnation"`
	First       uint64        `json:"first"`
	Next        uint64        `json:"next"`
	Events      []eventAnswer `json:"events"`
}

type eventAnswer struct {
	Seq    uint64   `json:"seq"`
	Op     string   `json:"op"`
	Blocks []uint64 `json:"blocks"`
}

type cacheAnswer struct {
	Incarnation string   `json:"incarnation"`
	Next        uint64   `json:"next"`
	Blocks      []uint64 `json:"blocks"`
}

var ops = map[string]sycprefix.Op{
	"store": sycprefix.Store,
	"evict": sycprefix.Evict,
	"clear": sycprefix.Clear,
}

// report turns an answer into a report.
func (a *loadAnswer) report() sycdispatch.Report {
	r := sycdispatch.Report{
		Incarnation:   a.Incarnation,
		Running:       a.Running,
		Waiting:       a.Waiting,
		PrefillTokens: a.PrefillTokens,
		CacheBlocks:   a.Blocks,
		UsedBlocks:    a.UsedBlocks,
		Role:          a.Role,
	}
	for _, w := range a.Weights {
		if w.State != stateReady {
			continue
		}
		r.Ready = append(r.Ready, sycdispatch.Loaded{Model: w.Model, Weights: w.Weights})
		for _, adapter := range w.Adapters {
			r.Ready = append(r.Ready, sycdispatch.Loaded{Model: w.Model, Weights: w.Weights, Adapter: adapter})
		}
	}
	return r
}

// ageOf is the age of a report by its engine's clock.
func ageOf(asOf, now time.Time) time.Duration {
	return min(max(now.Sub(asOf), 0), oldestReport)
}

// batch turns an answer into a batch of events; unknown operations are left out
// and so count as lost.
func (a *eventsAnswer) batch() sycdispatch.Batch {
	b := sycdispatch.Batch{Incarnation: a.Incarnation, First: a.First, Next: a.Next}
	for _, e := range a.Events {
		if op, ok := ops[e.Op]; ok {
			b.Events = append(b.Events, sycprefix.Event{Seq: e.Seq, Op: op, Blocks: e.Blocks})
		}
	}
	return b
}

func eventsURL(address string, p sycdispatch.Position) string {
	query := url.Values{
		"incarnation": {p.Incarnation},
		"from":        {strconv.FormatUint(p.From, 10)},
		"wait":        {eventsWait.String()},
	}
	return address + "/v1/events?" + query.Encode()
}

// get reads a JSON answer.
func get[T any](ctx context.Context, client *http.Client, address string, timeout time.Duration) (*T, error) {
	return call[T](ctx, client, http.MethodGet, address, nil, timeout)
}

// call sends a JSON body, if there is one, and reads a JSON answer.
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
	var answer T
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer); err != nil {
		return nil, eris.Wrap(err, "feed")
	}
	return &answer, nil
}

// unreachable reports whether no connection could be made.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
