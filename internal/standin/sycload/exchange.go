package sycload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// outcome is what one exchange came to.
type outcome struct {
	verdict Verdict
	// reason is a stable code for refusals and a description of faults.
	reason string
	// first is the time from the planned start to the first token; 0 without one.
	first time.Duration
	// gaps are the times between tokens.
	gaps []time.Duration
	// resumes counts the answers to attempts to resume.
	resumes int
	usage   usage
	prompt  uint64
	weights string
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// exchange is one request to a model and its answer.
type exchange struct {
	runner  *runner
	arrival *arrival
	// prompt is the text that the engine is to receive.
	prompt string
	// stream is the id by which any router can resume the answer.
	stream string
	// tokens are those received.
	tokens []string
	// last is when the last token came.
	last time.Time
	o    outcome
}

func newExchange(r *runner, a *arrival) *exchange {
	return &exchange{runner: r, arrival: a, prompt: sycblock.Flatten(a.messages)}
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type requestBody struct {
	Model         string             `json:"model"`
	Messages      []sycblock.Message `json:"messages,omitempty"`
	Prompt        string             `json:"prompt,omitempty"`
	MaxTokens     int                `json:"max_tokens"`
	Stream        bool               `json:"stream"`
	StreamOptions *streamOptions     `json:"stream_options,omitempty"`
}

func (x *exchange) request() (path string, body requestBody) {
	body = requestBody{Model: x.runner.options.Model, MaxTokens: x.arrival.output}
	path = "/v1/chat/completions"
	if x.arrival.form == textStream {
		path = "/v1/completions"
		body.Prompt = x.prompt
	} else {
		body.Messages = x.arrival.messages
	}
	if x.arrival.form != chatWhole {
		body.Stream = true
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return path, body
}

func (x *exchange) run(ctx context.Context) outcome {
	path, body := x.request()
	data, err := json.Marshal(body)
	if err != nil {
		return outcome{verdict: Failed, reason: err.Error()}
	}
	response, err := x.runner.post(ctx, x.arrival, path, data, nil)
	if err != nil {
		return outcome{verdict: Failed, reason: "no answer: " + cause(err)}
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return failure(response)
	}
	x.read(response)
	x.resume(ctx, path, data)
	if x.o.verdict == Right {
		x.check()
	}
	return x.o
}

// read takes in an answer up to its end, clean or not.
func (x *exchange) read(response *http.Response) {
	defer response.Body.Close()
	x.o.verdict, x.o.reason = Right, ""
	x.o.weights = response.Header.Get(headerWeights)
	x.stream = response.Header.Get(headerStream)
	if x.arrival.form == chatWhole {
		x.readWhole(response)
		return
	}
	x.readStream(response)
}

// check compares the whole text with the expected one.
func (x *exchange) check() {
	want := strings.Join(sycengine.Answer(x.o.weights, x.runner.options.Adapters[x.o.weights], x.prompt, x.arrival.output), "")
	got := strings.Join(x.tokens, "")
	if got == want {
		return
	}
	x.o.verdict = Wrong
	x.o.reason = fmt.Sprintf("weights %q: got %d bytes %.60q, want %d bytes %.60q", x.o.weights, len(got), got, len(want), want)
}

// breakOff marks an answer that visibly did not arrive whole.
func (x *exchange) breakOff(reason string) {
	x.o.verdict = Failed
	x.o.reason = reason
}

// token takes in one token of a stream.
func (x *exchange) token(text string) {
	now := time.Now()
	if len(x.tokens) == 0 {
		x.o.first = now.Sub(x.runner.start.Add(x.arrival.at))
	} else {
		x.o.gaps = append(x.o.gaps, now.Sub(x.last))
	}
	x.last = now
	x.tokens = append(x.tokens, text)
}

// post sends a request to the arrival's router. A router that is not available
// or can't be connected to is passed over, as a balancer would.
func (r *runner) post(ctx context.Context, a *arrival, path string, body []byte, header http.Header) (*http.Response, error) {
	var err error
	for _, router := range r.candidates(a.router) {
		var request *http.Request
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, router+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		for name, values := range header {
			request.Header[name] = values
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+r.options.Keys[r.options.Workload.customers[a.customer].name])
		var response *http.Response
		response, err = r.client.Do(request)
		if err == nil || !notConnected(err) {
			return response, err
		}
	}
	return nil, err
}

// candidates lists the available routers from the nth on, or all when none is available.
func (r *runner) candidates(n int) []string {
	all := r.options.Routers
	ordered := slices.Concat(all[n%len(all):], all[:n%len(all)])
	if r.options.Available == nil {
		return ordered
	}
	available := slices.DeleteFunc(slices.Clone(ordered), func(router string) bool {
		return !r.options.Available(router)
	})
	if len(available) == 0 {
		return ordered
	}
	return available
}

// notConnected reports whether nothing can have been sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// failure reads an answer that is not 200.
func failure(response *http.Response) outcome {
	var body errorBody
	_ = json.NewDecoder(response.Body).Decode(&body)
	reason := fmt.Sprintf("%d %s", response.StatusCode, body.Error.Code)
	if response.Header.Get("Sycamorecart-Outcome") == "not-run" {
		return outcome{verdict: Refused, reason: reason}
	}
	return outcome{verdict: Failed, reason: reason}
}

// cause is the innermost message of an error, without addresses.
func cause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
