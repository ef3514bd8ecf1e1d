package sycplatform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

func newPlatform(t *testing.T, o sycplatform.Options) *sycplatform.Platform {
	t.Helper()
	platform, err := sycplatform.New(o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	return platform
}

// do sends a request, decodes a 200 response into result unless it is nil, and returns
// the status, or 0 if no complete response arrived.
func do(t *testing.T, method, address, body string, result any) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return doContext(ctx, t, method, address, body, result)
}

// doContext is do with the caller's context instead of a timeout of 10 seconds.
func doContext(ctx context.Context, t *testing.T, method, address, body string, result any) int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if result != nil && response.StatusCode == http.StatusOK {
		must.NoError(t, json.Unmarshal(text, result))
	}
	return response.StatusCode
}

// body returns an append of records with the given ids.
func body(ids ...string) string {
	var records []string
	for _, id := range ids {
		records = append(records, fmt.Sprintf(`{"id":%q,"data":{"n":%q}}`, id, id))
	}
	return `{"records":[` + strings.Join(records, ",") + `]}`
}

// page is the response to a read of the log.
type page struct {
	First, Next uint64
	Records     []sycplatform.Record
}

func TestLogOffsets(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{RetainCount: 3, AppendsPerSecond: 1000})
	address := platform.URL() + "/v1/log/config"
	var appended struct {
		First uint64 `json:"first_offset"`
	}
	must.Eq(t, 200, do(t, "POST", address, body("a", "b"), &appended))
	must.Eq(t, 0, appended.First)
	must.Eq(t, 200, do(t, "POST", address, body("c", "d"), &appended))
	must.Eq(t, 2, appended.First)
	tests := []struct {
		query string
		ids   string
	}{
		{"?from=0", "bcd"},
		{"?from=2", "cd"},
		{"?from=1&max=2", "bc"},
		{"?from=4", ""},
		{"?from=9&wait=1ms", ""},
	}
	for _, tt := range tests {
		t.Run(tt.query, func(t *testing.T) {
			var got page
			must.Eq(t, 200, do(t, "GET", address+tt.query, "", &got))
			must.Eq(t, 1, got.First)
			must.Eq(t, 4, got.Next)
			ids := ""
			for _, r := range got.Records {
				ids += r.ID
			}
			must.Eq(t, tt.ids, ids)
		})
	}
	must.Eq(t, 413, do(t, "POST", address, fmt.Sprintf(`{"records":[{"id":"x","data":%q}]}`, strings.Repeat("x", sycplatform.MaxRecord)), nil))
}

func TestRetentionByAge(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{RetainAge: time.Millisecond})
	address := platform.URL() + "/v1/log/config"
	must.Eq(t, 200, do(t, "POST", address, body("a"), nil))
	time.Sleep(5 * time.Millisecond)
	var got page
	must.Eq(t, 200, do(t, "GET", address+"?from=0", "", &got))
	must.Eq(t, page{First: 1, Next: 1, Records: []sycplatform.Record{}}, got)
}

func TestLongPollSeesAppend(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{})
	address := platform.URL() + "/v1/log/config"
	got := make(chan page, 1)
	go func() {
		var p page
		do(t, "GET", address+"?from=0&wait=9s", "", &p)
		got <- p
	}()
	must.Eq(t, 200, do(t, "POST", address, body("a"), nil))
	must.Len(t, 1, (<-got).Records)
}

func TestAppendLimit(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{AppendsPerSecond: 0.001})
	address := platform.URL() + "/v1/log/config"
	must.Eq(t, 200, do(t, "POST", address, body("a", "b", "c"), nil))
	must.Eq(t, 429, do(t, "POST", address, body("d"), nil))
	must.Len(t, 3, platform.Records("config"))
}

func TestLogFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		status int
		kept   int
	}{
		{"none", `{}`, 200, 1},
		{"slow", `{"log":{"slow":"1ms"}}`, 200, 1},
		{"out", `{"log":{"out":true}}`, 503, 0},
		{"response lost", `{"lose_appends":1}`, 0, 1},
		{"other service", `{"list":{"out":true},"store":{"out":true}}`, 200, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			platform := newPlatform(t, sycplatform.Options{})
			must.Eq(t, 200, do(t, "POST", platform.URL()+"/admin/faults", tt.faults, nil))
			must.Eq(t, tt.status, do(t, "POST", platform.URL()+"/v1/log/config", body("a"), nil))
			must.Len(t, tt.kept, platform.Records("config"))
		})
	}
}

func TestHangEndsWithFault(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{})
	address := platform.URL() + "/v1/log/config"
	platform.SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Hang: true}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.Eq(t, 0, doContext(ctx, t, "POST", address, body("a"), nil))
	must.SliceEmpty(t, platform.Records("config"))
	status := make(chan int, 1)
	go func() { status <- do(t, "POST", address, body("a"), nil) }()
	platform.SetFaults(sycplatform.Faults{})
	must.Eq(t, 200, <-status)
}

func TestListLags(t *testing.T) {
	tests := []struct {
		name string
		lag  time.Duration
		want int
	}{
		{"at once", 0, 1},
		{"later", time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			platform := newPlatform(t, sycplatform.Options{ListLag: tt.lag})
			address := platform.URL() + "/v1/vms/127.0.0.1:9000"
			entry := `{"address":"127.0.0.1:9000","failure_domain":"a","state":"live"}`
			must.Eq(t, 204, do(t, "PUT", address, entry, nil))
			must.Eq(t, 400, do(t, "PUT", address, `{"state":"odd"}`, nil))
			var got struct{ VMs []sycplatform.VM }
			must.Eq(t, 200, do(t, "GET", platform.URL()+"/v1/vms", "", &got))
			must.Len(t, tt.want, got.VMs)
			must.Eq(t, 204, do(t, "DELETE", address, "", nil))
			must.Eq(t, 200, do(t, "GET", platform.URL()+"/v1/vms", "", &got))
			must.Len(t, 0, got.VMs)
		})
	}
}

func TestStoreIsRateLimited(t *testing.T) {
	const rate = 1 << 20
	platform := newPlatform(t, sycplatform.Options{
		StoreBytesPerSecond: rate,
		Weights:             map[string]int64{"w1": rate / 4},
		OtherWeights:        -1,
	})
	start := time.Now()
	must.Eq(t, 200, do(t, "GET", platform.URL()+"/v1/weights/w1", "", nil))
	must.Greater(t, 100*time.Millisecond, time.Since(start))
	must.Eq(t, 404, do(t, "GET", platform.URL()+"/v1/weights/w2", "", nil))
	platform.SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Out: true}})
	must.Eq(t, 503, do(t, "GET", platform.URL()+"/v1/weights/w1", "", nil))
}

func TestStoreOutageBreaksDownloads(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{StoreBytesPerSecond: 1 << 20, OtherWeights: 1 << 30})
	response, err := http.Get(platform.URL() + "/v1/weights/w1")
	must.NoError(t, err)
	defer response.Body.Close()
	platform.SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Out: true}})
	_, err = io.Copy(io.Discard, response.Body)
	must.Error(t, err)
}

func TestSlowStore(t *testing.T) {
	platform := newPlatform(t, sycplatform.Options{})
	const slow = 30 * time.Millisecond
	platform.SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Slow: sycrecord.Duration(slow)}})
	start := time.Now()
	must.Eq(t, 200, do(t, "GET", platform.URL()+"/v1/weights/w1", "", nil))
	must.GreaterEq(t, slow, time.Since(start))
}
