package sycgateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycgateway"
)

// hashKey returns the hash under which a key's record stores the key.
func hashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// record is one configuration record of a test.
type record struct {
	// kind is the kind of the configuration object, such as "route".
	kind string
	// name is the object's name.
	name string
	// spec holds the object's settings and is encoded as JSON.
	spec any
}

// applyRecords returns the configuration s with the records applied. Each must be
// accepted.
func applyRecords(t testing.TB, s *sycconfig.State, ops ...record) *sycconfig.State {
	t.Helper()
	for _, op := range ops {
		data, err := json.Marshal(map[string]any{
			"schema": 2, "id": fmt.Sprintf("%s-%s-%d", op.kind, op.name, s.Next()), "op": "put",
			"kind": op.kind, "name": op.name, "spec": op.spec,
		})
		must.NoError(t, err)
		next, result := s.Apply(s.Next(), data)
		must.True(t, result.Accepted(), must.Sprint(result.Reason()))
		s = next
	}
	return s
}

// stubChooser selects the first target that suits the request and isn't excluded,
// and keeps the results of the attempts. Targets whose name starts with "service"
// are plain services, all others engines.
type stubChooser struct {
	// mu guards targets and results.
	mu sync.Mutex
	// targets are the endpoints, in the order of preference.
	targets []sycwork.Target
	// results are the results of all attempts that have ended.
	results []sycwork.Result
}

// stubGrant is a grant of a stubChooser.
type stubGrant struct {
	// d is the chooser that gave the grant.
	d *stubChooser
	// t is the selected endpoint.
	t sycwork.Target
}

func (g *stubGrant) Target() sycwork.Target { return g.t }
func (g *stubGrant) FirstToken()            {}
func (g *stubGrant) Done(r sycwork.Result) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.d.results = append(g.d.results, r)
}

func (d *stubChooser) Choose(_ context.Context, w sycwork.Work) (sycwork.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		service := strings.HasPrefix(t.Endpoint, "service")
		if slices.Contains(w.Exclude, t.Endpoint) || service != (w.Service != "") {
			continue
		}
		if w.Weights != "" && w.Weights != t.Weights {
			continue
		}
		t.Salt = sycblock.Salt(w.Customer, w.Model, t.Adapter, t.Weights)
		return &stubGrant{d, t}, nil
	}
	return nil, &sycwork.Refusal{Reason: sycwork.NoEndpoint, Message: "no endpoint", RetryAfter: time.Second}
}

// unlimited is a rate limiter that admits every request at once.
type unlimited struct{}

func (unlimited) Admit(context.Context, string) error { return nil }

// stubEngine starts an HTTP server that answers every generation call with the
// given tokens.
func stubEngine(t *testing.T, tokens ...string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Attempt string `json:"attempt"`
			Weights string `json:"weights"`
			Start   int    `json:"start"`
		}
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Sycamorecart-Attempt", call.Attempt)
		w.Header().Set("Sycamorecart-Weights", call.Weights)
		for i, text := range tokens[call.Start:] {
			fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"text\":%q}\n\n", call.Attempt, i+call.Start, text)
		}
		fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d,\"cached_tokens\":4}}\n\n", call.Attempt, len(tokens), len(tokens))
	}))
	t.Cleanup(s.Close)
	return s
}

// testKey is the key of customer c1. Customer c2 has the same key with the suffix
// "-2".
const testKey = "key-of-the-first-customer"

// newState returns a configuration with two customers, a model and routes to it and
// to a plain service. Requests on the route /slots may be repeated, those on /book
// may not, and /open is public.
func newState(t testing.TB) *sycconfig.State {
	return applyRecords(t, sycconfig.NewState(),
		record{"customer", "c1", map[string]any{"requests_per_second": 1000, "burst": 1000, "weight": 1}},
		record{"customer", "c2", map[string]any{"requests_per_second": 1000, "burst": 1000, "weight": 1}},
		record{"key", "k1", map[string]any{"customer": "c1", "sha256": hashKey(testKey)}},
		record{"key", "k2", map[string]any{"customer": "c2", "sha256": hashKey(testKey + "-2")}},
		record{"version", "v1", map[string]any{"model": "m", "weights": "w1", "initial": true}},
		record{"route", "chat", map[string]any{"prefix": "/", "type": "model", "models": []string{"m"}}},
		record{"route", "slots", map[string]any{"prefix": "/slots", "type": "service", "service": "slots", "repeatable": true, "timeout": "600ms"}},
		record{"route", "book", map[string]any{"prefix": "/book", "type": "service", "service": "slots", "timeout": "600ms"}},
		record{"route", "open", map[string]any{"prefix": "/open", "type": "service", "service": "slots", "repeatable": true, "open": true}},
	)
}

// testGateway is a gateway on a local HTTP server, with its configuration and its
// chooser.
type testGateway struct {
	// server serves the gateway on a local port.
	server *httptest.Server
	// state is the configuration in force. Tests may replace it.
	state *sycconfig.State
	// chooser selects the endpoints.
	chooser *stubChooser
}

// newTestGateway starts a gateway that selects among the targets. change may modify
// its options first.
func newTestGateway(t *testing.T, change func(*sycgateway.Options), targets ...sycwork.Target) *testGateway {
	r := &testGateway{state: newState(t), chooser: &stubChooser{targets: targets}}
	options := sycgateway.Options{
		Config:  func() *sycconfig.State { return r.state },
		Chooser: r.chooser,
		Limiter: unlimited{},
		VM:      "127.0.0.1:1",
		Limits:  sycgateway.Defaults(),
	}
	if change != nil {
		change(&options)
	}
	g := sycgateway.New(options)
	r.server = httptest.NewServer(g)
	t.Cleanup(func() {
		r.server.Close()
		must.NoError(t, g.Close())
	})
	return r
}

// post sends a request with the first customer's key. header lists names and values
// in turn.
func (r *testGateway) post(t *testing.T, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	return resp
}

// readBody reads and closes a response's body.
func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(data)
}

// engineTarget returns the target of an engine with the weights w1.
func engineTarget(name, address string) sycwork.Target {
	return sycwork.Target{Endpoint: name, Address: address, Weights: "w1"}
}

func TestAnswers(t *testing.T) {
	e := stubEngine(t, "Hello", " \"wide\"", "\nworld")
	r := newTestGateway(t, nil, engineTarget("e1", e.URL))
	const text = "Hello \"wide\"\nworld"
	chat := `{"model":"m","messages":[{"role":"user","content":"hi"}]`
	cases := []struct {
		name, path, body string
	}{
		{"chat", "/v1/chat/completions", chat + `}`},
		{"chat streamed", "/v1/chat/completions", chat + `,"stream":true}`},
		{"chat streamed with usage", "/v1/chat/completions", chat + `,"stream":true,"stream_options":{"include_usage":true}}`},
		{"text", "/v1/completions", `{"model":"m","prompt":"hi"}`},
		{"text streamed", "/v1/completions", `{"model":"m","prompt":"hi","stream":true}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := r.post(t, c.path, c.body)
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, "w1", resp.Header.Get("Sycamorecart-Weights"))
			must.NotEq(t, "", resp.Header.Get("Sycamorecart-Stream"))
			must.NotEq(t, "", resp.Header.Get("X-Request-Id"))
			body := readBody(t, resp)
			must.StrContains(t, body, `"cached_tokens":4`)
			if strings.Contains(c.body, `"stream":true`) {
				got, ended := streamText(t, body)
				must.True(t, ended)
				must.Eq(t, text, got)
				return
			}
			must.Eq(t, text, bodyText(t, body))
		})
	}
}

// chunk holds the parts of a stream chunk or a whole response that contain output
// text.
type chunk struct {
	Choices []struct {
		Text  string
		Delta struct{ Content string }
		// Message is set in responses that aren't streamed.
		Message struct{ Content string }
	}
}

// text returns the chunk's output text.
func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}

// bodyText returns the output text of a response that isn't streamed.
func bodyText(t *testing.T, body string) string {
	t.Helper()
	var c chunk
	must.NoError(t, json.Unmarshal([]byte(body), &c))
	return c.text()
}

// streamText returns the output text of a streamed response and whether the stream
// ended with [DONE].
func streamText(t *testing.T, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var c chunk
		must.NoError(t, json.Unmarshal([]byte(data), &c))
		text.WriteString(c.text())
	}
	return text.String(), false
}
