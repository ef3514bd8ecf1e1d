package sycgateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// TestCancelReachesTheEngine disconnects a client and waits until the engine has
// stopped generating for it. Load reports lag, so the engine's first ones may show no request.
func TestCancelReachesTheEngine(t *testing.T) {
	p := newEnginePair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := `{"model":"m","prompt":"long","max_tokens":16000,"stream":true}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/v1/completions", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	must.NoError(t, err)
	for activeRequests(t, p.first) != 1 {
		must.Eq(t, 0, activeRequests(t, p.second))
		time.Sleep(time.Millisecond)
	}
	cancel()
	for activeRequests(t, p.first) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	must.Eq(t, 0, activeRequests(t, p.second))
}

// activeRequests returns the number of requests that an engine runs or queues.
func activeRequests(t *testing.T, e *sycengine.Engine) int {
	t.Helper()
	resp, err := http.Get(e.URL() + "/v1/load")
	must.NoError(t, err)
	var load struct{ Running, Waiting int }
	must.NoError(t, json.Unmarshal([]byte(readBody(t, resp)), &load))
	return load.Running + load.Waiting
}
