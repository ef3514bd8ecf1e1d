package sycengine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// speed makes simulated time pass 50 times faster in tests that don't set Options.Speed.
const speed = 50

// newEngine starts an engine that has the weights w1 of the model m loaded, unless
// the options say otherwise, and closes it with the test.
func newEngine(t *testing.T, o sycengine.Options) *sycengine.Engine {
	t.Helper()
	if o.Models == nil {
		o.Models = map[string]string{"m": "w1"}
	}
	if o.Speed == 0 {
		o.Speed = speed
	}
	engine, err := sycengine.New(o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, engine.Close()) })
	return engine
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Weights   string `json:"weights"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Salt      string `json:"cache_salt"`
	Attempt   string `json:"attempt"`
	Stream    string `json:"stream"`
	Start     int    `json:"start"`
	TextSoFar string `json:"text_so_far"`
	Route     string `json:"route"`
	Priority  int    `json:"priority"`
	Import    any    `json:"import,omitempty"`
}

// newRequest returns a request for a response of the given number of tokens.
func newRequest(prompt string, tokens int) completionRequest {
	return completionRequest{
		Model: "m", Weights: "w1", Prompt: prompt, MaxTokens: tokens,
		Salt: "salt", Attempt: "a-1", Stream: "s-1", Route: "chat",
	}
}

// event is a token event or the terminal event of a response.
type event struct {
	Attempt string
	Index   int
	Text    string
	Done    bool
	Usage   struct {
		Prompt int `json:"prompt_tokens"`
		Output int `json:"completion_tokens"`
		Cached int `json:"cached_tokens"`
	}
}

// result is a completion response that was read to its end.
type result struct {
	status int
	header http.Header
	tokens []string
	// last is the last event received.
	last event
}

// post sends the body as JSON.
func post(t *testing.T, address string, body any) (*http.Response, error) {
	t.Helper()
	return http.Post(address, "application/json", asBody(t, body))
}

// asBody returns the body's JSON.
func asBody(t *testing.T, body any) io.Reader {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	return bytes.NewReader(data)
}

// read reads a streamed response until it is complete or interrupted.
func read(t *testing.T, response *http.Response) result {
	t.Helper()
	defer response.Body.Close()
	r := result{status: response.StatusCode, header: response.Header}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		r.last = event{}
		must.NoError(t, json.Unmarshal([]byte(data), &r.last))
		if !r.last.Done {
			r.tokens = append(r.tokens, r.last.Text)
		}
	}
	return r
}

// run sends a completion request and reads its response.
func run(t *testing.T, engine *sycengine.Engine, q completionRequest) result {
	t.Helper()
	response, err := post(t, engine.URL()+"/v1/completions", q)
	must.NoError(t, err)
	return read(t, response)
}

// get requests an address, decodes the body of a 200 response into value and returns
// the status.
func get(t *testing.T, address string, value any) int {
	t.Helper()
	response, err := http.Get(address)
	must.NoError(t, err)
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		must.NoError(t, json.NewDecoder(response.Body).Decode(value))
	}
	return response.StatusCode
}
