package sycgateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycgateway"
)

// benchEngine starts an HTTP server that answers every generation call with n
// tokens without delay. With flush set it flushes each token.
func benchEngine(b *testing.B, n int, flush bool) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Attempt, Weights string }
		_ = json.NewDecoder(r.Body).Decode(&call)
		w.Header().Set("Sycamorecart-Attempt", call.Attempt)
		w.Header().Set("Sycamorecart-Weights", call.Weights)
		prefix := `data: {"attempt":"` + call.Attempt + `","index":`
		buffer := make([]byte, 0, 4096)
		for i := range n {
			buffer = append(buffer[:0], prefix...)
			buffer = strconv.AppendInt(buffer, int64(i), 10)
			buffer = append(buffer, `,"text":" token"}`+"\n\n"...)
			_, _ = w.Write(buffer)
			if flush {
				_ = http.NewResponseController(w).Flush()
			}
		}
		buffer = append(buffer[:0], prefix...)
		buffer = strconv.AppendInt(buffer, int64(n), 10)
		buffer = append(buffer, `,"done":true,"finish_reason":"stop","usage":{"prompt_tokens":7,"completion_tokens":1,"cached_tokens":4}}`+"\n\n"...)
		_, _ = w.Write(buffer)
	}))
	b.Cleanup(s.Close)
	return s
}

// benchGateway returns a gateway whose only endpoint is an engine at address.
func benchGateway(b *testing.B, address string) *sycgateway.Gateway {
	state := newState(b)
	g := sycgateway.New(sycgateway.Options{
		Config:  func() *sycconfig.State { return state },
		Chooser: &stubChooser{targets: []sycwork.Target{engineTarget("e1", address)}},
		Limiter: unlimited{},
		Limits:  sycgateway.Defaults(),
	})
	b.Cleanup(func() { must.NoError(b, g.Close()) })
	return g
}

// discardWriter is a response writer that counts the bytes and discards them.
type discardWriter struct {
	// header is the header that the handler sets.
	header http.Header
	// bytes is the number of bytes written.
	bytes int
}

func (s *discardWriter) Header() http.Header              { return s.header }
func (s *discardWriter) WriteHeader(int)                  {}
func (s *discardWriter) Write(p []byte) (int, error)      { s.bytes += len(p); return len(p), nil }
func (s *discardWriter) Flush()                           {}
func (s *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (s *discardWriter) SetReadDeadline(time.Time) error  { return nil }

// BenchmarkStream measures the allocations of a request with its call to the
// engine. The difference between the two stream lengths, divided by 100, gives the
// allocations per token.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{1, 101} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			e := benchEngine(b, n, false)
			g := benchGateway(b, e.URL)
			body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("long prompt ", 300) + `"}]}`)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				w := &discardWriter{header: http.Header{}}
				g.ServeHTTP(w, r)
				if w.bytes < n*100 {
					b.Fatal("the answer is too short")
				}
			}
		})
	}
}

// BenchmarkAddedLatency reports the latency of direct calls to an engine and the
// latency that the gateway adds. Direct calls and calls through the gateway
// alternate, so that both see the same load of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	e := benchEngine(b, 16, true)
	router := httptest.NewServer(benchGateway(b, e.URL))
	defer router.Close()
	measure := func(url, body string) time.Duration {
		start := time.Now()
		req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
		must.NoError(b, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(b, err)
		_ = resp.Body.Close()
		return time.Since(start)
	}
	direct, routed := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
	prompt := strings.Repeat("long prompt ", 300)
	for b.Loop() {
		_ = direct.RecordValue(int64(measure(e.URL, `{"attempt":"a","weights":"w1","prompt":"`+prompt+`"}`)))
		_ = routed.RecordValue(int64(measure(router.URL, `{"model":"m","stream":true,"prompt":"`+prompt+`"}`)))
	}
	for _, q := range []float64{50, 99} {
		added := routed.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(direct.ValueAtQuantile(q))/1e3, fmt.Sprintf("direct-p%v-µs", q))
		b.ReportMetric(float64(added)/1e3, fmt.Sprintf("added-p%v-µs", q))
	}
}

// BenchmarkHeldStreams reports the memory used per stream that waits for its next
// token. It includes the stub engine's part, because both run in this process.
func BenchmarkHeldStreams(b *testing.B) {
	const streams = 1000
	unblock := make(chan struct{})
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Attempt, Weights string }
		_ = json.NewDecoder(r.Body).Decode(&call)
		w.Header().Set("Sycamorecart-Attempt", call.Attempt)
		w.Header().Set("Sycamorecart-Weights", call.Weights)
		fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":0,\"text\":\"a\"}\n\n", call.Attempt)
		_ = http.NewResponseController(w).Flush()
		<-unblock
	}))
	defer e.Close()
	defer close(unblock)
	g := benchGateway(b, e.URL)
	body := `{"model":"m","stream":true,"prompt":"` + strings.Repeat("long prompt ", 3000) + `"}`
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		before := memoryInUse()
		var group sync.WaitGroup
		started := make(chan struct{}, streams)
		for range streams {
			group.Go(func() {
				defer func() { _ = recover() }()
				r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)).WithContext(ctx)
				r.Header.Set("Authorization", "Bearer "+testKey)
				g.ServeHTTP(&notifyWriter{discardWriter{header: http.Header{}}, started}, r)
			})
		}
		for range streams {
			<-started
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		cancel()
		group.Wait()
	}
}

// notifyWriter is a discardWriter that signals the first write of a response.
type notifyWriter struct {
	discardWriter
	// firstWrite receives a value at the first write.
	firstWrite chan<- struct{}
}

func (s *notifyWriter) Write(p []byte) (int, error) {
	if s.bytes == 0 {
		s.firstWrite <- struct{}{}
	}
	return s.discardWriter.Write(p)
}

// memoryInUse returns the bytes of the heap and the stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
