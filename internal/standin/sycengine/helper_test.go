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

const speed = 50

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

type call struct {
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

func newCall(prompt string, tokens int) call {
	return call{
		Model: "m", Weights: "w1", Prompt: prompt, MaxTokens: tokens,
		Salt: "salt", Attempt: "a-1", Stream: "s-1", Route: "chat",
	}
}

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

type reply struct {
	status int
	header http.Header
	tokens []string
	last   event
}

func post(t *testing.T, address string, body any) (*http.Response, error) {
	t.Helper()
	return http.Post(address, "application/json", asBody(t, body))
}

func asBody(t *testing.T, body any) io.Reader {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	return bytes.NewReader(data)
}

// read collects a stream until its end, clean or not.
func read(t *testing.T, response *http.Response) reply {
	t.Helper()
	defer response.Body.Close()
	r := reply{status: response.StatusCode, header: response.Header}
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

func run(t *testing.T, engine *sycengine.Engine, c call) reply {
	t.Helper()
	response, err := post(t, engine.URL()+"/v1/completions", c)
	must.NoError(t, err)
	return read(t, response)
}

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
