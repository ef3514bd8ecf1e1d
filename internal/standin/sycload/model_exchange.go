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

// outcome is the verdict and the measurements of one exchange.
type outcome struct {
	verdict Verdict
	// reason is the status and code of a refusal or of an error response, or the
	// description of a fault. It is empty for Right.
	reason string
	// firstToken is the time from the planned start of the request to the first token,
	// or 0 if no token arrived.
	firstToken time.Duration
	// gaps are the times between consecutive tokens.
	gaps []time.Duration
	// resumes counts the responses, of any status, to attempts to resume the stream.
	resumes int
	// interruption is the last interruption of the response.
	interruption Interruption
	// resumedAt is when the last request was sent that a router accepted to resume the
	// stream, or zero.
	resumedAt time.Time
	usage     usage
	// promptHash is the hash of the prompt that engines write to their request log; 0
	// for a booking.
	promptHash uint64
	// weights are the weights that generated the response, as the router names them.
	weights string
}

// usage is the JSON of the token counts that an engine reports in a response.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of generated tokens.
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		// CachedTokens is the number of prompt tokens that the engine had cached.
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// modelExchange is an exchange with a model in progress: the request, the response
// received so far and the attempts to resume it.
type modelExchange struct {
	runner  *runner
	arrival *arrival
	// prompt is the text that the engine should receive.
	prompt string
	// stream is the id by which any router can resume the response's stream. It is
	// empty if the response has none.
	stream string
	// router is the base URL of the router that sent the present response, and sentAt is
	// when the request for it was sent.
	router string
	sentAt time.Time
	// tokens are the tokens received so far. A response that isn't streamed is one
	// element.
	tokens []string
	// lastToken is when the last token was received.
	lastToken time.Time
	outcome   outcome
}

// newModelExchange returns the exchange of an arrival, before its request is sent.
func newModelExchange(r *runner, a *arrival) *modelExchange {
	return &modelExchange{runner: r, arrival: a, prompt: sycblock.Flatten(a.messages)}
}

// streamOptions asks for a usage chunk at the end of the stream.
type streamOptions struct {
	// IncludeUsage is always true.
	IncludeUsage bool `json:"include_usage"`
}

// requestBody is the JSON body of a request to a model: Messages for chats, Prompt for
// text completions.
type requestBody struct {
	Model    string             `json:"model"`
	Messages []sycblock.Message `json:"messages,omitempty"`
	Prompt   string             `json:"prompt,omitempty"`
	// MaxTokens is the number of tokens to generate.
	MaxTokens int `json:"max_tokens"`
	// Stream asks for a streamed response.
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

// request returns the path and the body of the arrival's request.
func (x *modelExchange) request() (path string, body requestBody) {
	body = requestBody{Model: x.runner.options.Model, MaxTokens: x.arrival.output}
	path = "/v1/chat/completions"
	if x.arrival.kind == textStream {
		path = "/v1/completions"
		body.Prompt = x.prompt
	} else {
		body.Messages = x.arrival.messages
	}
	if x.arrival.kind != chatUnary {
		body.Stream = true
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return path, body
}

// run sends the request, reads and resumes the response, and checks it.
func (x *modelExchange) run(ctx context.Context) outcome {
	path, body := x.request()
	data, err := json.Marshal(body)
	if err != nil {
		return outcome{verdict: Failed, reason: err.Error()}
	}
	x.sentAt = time.Now()
	response, err := x.runner.post(ctx, x.arrival, path, data, nil)
	if err != nil {
		return outcome{verdict: Failed, reason: "no answer: " + rootMessage(err)}
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return readFailure(response)
	}
	x.read(response)
	x.resume(ctx, path, data)
	if x.outcome.verdict == Right {
		x.check()
	}
	return x.outcome
}

// read reads a response until it ends or is interrupted. It sets the verdict to Right
// unless it finds a fault.
func (x *modelExchange) read(response *http.Response) {
	defer response.Body.Close()
	x.outcome.verdict, x.outcome.reason = Right, ""
	x.router = "http://" + response.Request.URL.Host
	x.outcome.weights = response.Header.Get(headerWeights)
	x.stream = response.Header.Get(headerStream)
	if x.arrival.kind == chatUnary {
		x.readUnary(response)
		return
	}
	x.readStream(response)
}

// check sets the verdict to Wrong if the text received differs from the text that an
// engine generates for the prompt.
func (x *modelExchange) check() {
	want := strings.Join(sycengine.Answer(x.outcome.weights, x.runner.options.Adapters[x.outcome.weights], x.prompt, x.arrival.output), "")
	got := strings.Join(x.tokens, "")
	if got == want {
		return
	}
	x.outcome.verdict = Wrong
	x.outcome.reason = fmt.Sprintf("weights %q: got %d bytes %.60q, want %d bytes %.60q", x.outcome.weights, len(got), got, len(want), want)
}

// interrupt sets the verdict to Failed for a response that is visibly incomplete.
func (x *modelExchange) interrupt(reason string) {
	x.outcome.verdict = Failed
	x.outcome.reason = reason
	x.outcome.interruption = Interruption{Router: x.router, Sent: x.sentAt, At: time.Now()}
}

// addToken adds a received token of a stream and measures its latency.
func (x *modelExchange) addToken(text string) {
	now := time.Now()
	if len(x.tokens) == 0 {
		x.outcome.firstToken = now.Sub(x.runner.start.Add(x.arrival.at))
	} else {
		x.outcome.gaps = append(x.outcome.gaps, now.Sub(x.lastToken))
	}
	x.lastToken = now
	x.tokens = append(x.tokens, text)
}

// post sends a request to the arrival's router. Like a load balancer, it uses the next
// router if one isn't available or can't be connected to.
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

// candidates returns the available routers, beginning with the one at index n modulo
// the number of routers. If none is available, it returns all.
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

// notConnected reports whether an error arose before a connection was made, so that
// no part of the request was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		// Code is the router's stable code for the kind of error.
		Code string `json:"code"`
	} `json:"error"`
}

// readFailure returns the outcome of a response whose status isn't 200: Refused if the
// router says that the request was not run, Failed otherwise.
func readFailure(response *http.Response) outcome {
	var body errorBody
	_ = json.NewDecoder(response.Body).Decode(&body)
	reason := fmt.Sprintf("%d %s", response.StatusCode, body.Error.Code)
	if response.Header.Get("Sycamorecart-Outcome") == "not-run" {
		return outcome{verdict: Refused, reason: reason}
	}
	return outcome{verdict: Failed, reason: reason}
}

// rootMessage returns the message of the innermost wrapped error, which has no network
// addresses.
func rootMessage(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
