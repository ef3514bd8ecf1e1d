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

// quickEngine answers with n tokens at once, or flushes each.
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

// sinkhole is a caller that takes everything.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (s *discardWriter) Header() http.Header              { return s.header }
func (s *discardWriter) WriteHeader(int)                  {}
func (s *discardWriter) Write(p []byte) (int, error)      { s.bytes += len(p); return len(p), nil }
func (s *discardWriter) Flush()                           {}
func (s *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (s *discardWriter) SetReadDeadline(time.Time) error  { return nil }

// BenchmarkStream counts the allocations of a request with its engine call;
// the difference between two lengths gives those of a token.
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

// BenchmarkAddedLatency compares calls through the gateway with direct calls,
// in turns.
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

// BenchmarkHeldStreams reports the memory of a stream that waits for its next
// token, the stub engine's half of it included.
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
		begun := make(chan struct{}, streams)
		for range streams {
			group.Go(func() {
				defer func() { _ = recover() }()
				r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)).WithContext(ctx)
				r.Header.Set("Authorization", "Bearer "+testKey)
				g.ServeHTTP(&notifyWriter{discardWriter{header: http.Header{}}, begun}, r)
			})
		}
		for range streams {
			<-begun
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		cancel()
		group.Wait()
	}
}

// signal tells when the first bytes of an answer come.
type notifyWriter struct {
	discardWriter
	begun chan<- struct{}
}

func (s *notifyWriter) Write(p []byte) (int, error) {
	if s.bytes == 0 {
		s.begun <- struct{}{}
	}
	return s.discardWriter.Write(p)
}

// memory is the heap and the stacks in use.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
