package sycapi_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// bounds are the limits that the tests parse requests with.
var bounds = sycapi.Bounds{DefaultTokens: 16, MaxTokens: 100, MaxMessages: 10}

// TestParse checks the prompt and the maximum output of valid requests.
func TestParse(t *testing.T) {
	cases := []struct {
		name   string
		kind   sycapi.Kind
		body   string
		prompt string
		tokens int
	}{
		{"text prompt", sycapi.TextCompletion, `{"model":"m","prompt":"p"}`, "p", 16},
		{"max_tokens", sycapi.TextCompletion, `{"model":"m","prompt":"p","max_tokens":5}`, "p", 5},
		{"max_completion_tokens", sycapi.TextCompletion, `{"model":"m","prompt":"p","max_completion_tokens":6}`, "p", 6},
		{"chat", sycapi.ChatCompletion, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]}`, "system:\ns\nuser:\nu\n", 16},
		{"content parts", sycapi.ChatCompletion, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user:\nab\n", 16},
		{"unknown fields", sycapi.TextCompletion, `{"model":"m","prompt":"p","temperature":0.5,"user":"u"}`, "p", 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := sycapi.Parse(c.kind, []byte(c.body), bounds)
			must.NoError(t, err)
			must.Eq(t, c.prompt, r.Prompt())
			must.Eq(t, c.tokens, r.MaxTokens())
			must.Eq(t, "m", r.Model())
		})
	}
}

// TestFailureWrite checks the status, headers and body of error responses, and that
// Retry-After is rounded up to whole seconds.
func TestFailureWrite(t *testing.T) {
	cases := []struct {
		failure               sycapi.Failure
		errorType, retryAfter string
	}{
		{sycapi.Failure{Status: 401, Code: "invalid_key", Outcome: sycapi.NotRun}, "authentication_error", ""},
		{sycapi.Failure{Status: 429, Code: "rate_limited", Outcome: sycapi.NotRun, RetryAfter: 1500 * time.Millisecond}, "rate_limit_error", "2"},
		{sycapi.Failure{Status: 400, Code: "invalid_json", Outcome: sycapi.NotRun}, "invalid_request_error", ""},
		{sycapi.Failure{Status: 502, Code: "outcome_unknown", Outcome: sycapi.Unknown}, "server_error", ""},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		c.failure.Write(w, "id")
		must.Eq(t, c.failure.Status, w.Code)
		must.Eq(t, string(c.failure.Outcome), w.Header().Get("Sycamorecart-Outcome"))
		must.Eq(t, c.retryAfter, w.Header().Get("Retry-After"))
		var body struct {
			Error struct {
				Type, Code string
				RequestID  string `json:"request_id"`
			}
		}
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
		must.Eq(t, c.errorType, body.Error.Type)
		must.Eq(t, c.failure.Code, body.Error.Code)
		must.Eq(t, "id", body.Error.RequestID)
	}
}

// FuzzParse checks that every body either gives a request within the bounds or fails
// with status 400 and the outcome not-run.
func FuzzParse(f *testing.F) {
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Add(false, []byte(`{"model":"m","prompt":"p","max_tokens":3}`))
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		kind := sycapi.TextCompletion
		if chat {
			kind = sycapi.ChatCompletion
		}
		r, err := sycapi.Parse(kind, body, bounds)
		if err != nil {
			var failure *sycapi.Failure
			if !errors.As(err, &failure) || failure.Status != http.StatusBadRequest || failure.Outcome != sycapi.NotRun {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
		if r.Model() == "" || r.Prompt() == "" || r.MaxTokens() < 1 || r.MaxTokens() > bounds.MaxTokens {
			t.Fatalf("request out of bounds: %+v", r)
		}
	})
}

// FuzzToken checks that decoding a token's chunk returns the token's text unchanged.
func FuzzToken(f *testing.F) {
	f.Add("plain")
	f.Add("\"\\\n\t\x00\x1f\u2028é")
	f.Fuzz(func(t *testing.T, text string) {
		if !utf8.ValidString(text) {
			return
		}
		r, err := sycapi.Parse(sycapi.TextCompletion, []byte(`{"model":"m","prompt":"p"}`), bounds)
		must.NoError(t, err)
		chunk := sycapi.NewEncoder(r, "id", 1).AppendToken(nil, 0, text)
		var got struct{ Choices []struct{ Text string } }
		must.NoError(t, json.Unmarshal(chunk, &got))
		must.Eq(t, text, got.Choices[0].Text)
	})
}
