package sycgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// longOutputTokens is the output length, in tokens, of streams that last long
// enough to be interrupted.
const longOutputTokens = 200

// deployment is a test deployment with real router processes and the key of one
// customer.
type deployment struct {
	*sycdeploy.Deployment
	// key is the key of the customer "rota" of the workload.
	key string
}

// newDeployment builds the router program and starts a deployment with the workload
// "bottlers".
func newDeployment(t *testing.T) *deployment {
	program, err := sycdeploy.BuildRouter(t.TempDir())
	must.NoError(t, err)
	workload, ok := sycload.FindWorkload("bottlers")
	must.True(t, ok)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := sycdeploy.New(ctx, sycdeploy.Options{Workload: workload, Binary: program, Seed: 1})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	return &deployment{Deployment: d, key: d.Keys()["rota"]}
}

// post sends a request and repeats it while the response states that it was not
// run. A VM that has just started has no permits and may still be waiting for its
// rate slot.
func (s *deployment) post(t *testing.T, r *sycdeploy.Router, path, body string, header ...string) (*http.Response, error) {
	for {
		req, err := http.NewRequest(http.MethodPost, r.URL()+path, strings.NewReader(body))
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+s.key)
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.Header.Get("Sycamorecart-Outcome") != "not-run" {
			return resp, err
		}
		_ = readBody(t, resp)
		time.Sleep(100 * time.Millisecond)
	}
}

// countWrongStreams starts streams through the first router and calls fail once all
// have started. Streams that break off are resumed through the second router. It
// returns the number of streams whose text is not complete and exact.
func (s *deployment) countWrongStreams(t *testing.T, first, second *sycdeploy.Router, fail func()) int {
	const n = 6
	var started, done sync.WaitGroup
	started.Add(n)
	wrong := make([]bool, n)
	for i := range n {
		done.Go(func() {
			start := sync.OnceFunc(started.Done)
			defer start()
			prompt := fmt.Sprintf("%s %d", first.Name(), i)
			body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, sycdeploy.Model, prompt, longOutputTokens)
			resp, err := s.post(t, first, "/v1/completions", body)
			if err != nil || resp.StatusCode != http.StatusOK {
				wrong[i] = true
				return
			}
			stream := resp.Header.Get("Sycamorecart-Stream")
			got := readStream(resp, 0, func(token int) {
				if token == i {
					start()
				}
			})
			text := got.text
			if !got.ended {
				resp, err = s.post(t, second, "/v1/completions", body, "Sycamorecart-Stream", stream, "Last-Event-ID", strconv.Itoa(got.next-1))
				if err != nil {
					wrong[i] = true
					return
				}
				got = readStream(resp, got.next, nil)
				text += got.text
			}
			want := strings.Join(sycengine.Answer(sycdeploy.Weights, "", prompt, longOutputTokens), "")
			wrong[i] = got.err != nil || !got.ended || text != want
		})
	}
	started.Wait()
	fail()
	done.Wait()
	count := 0
	for _, w := range wrong {
		if w {
			count++
		}
	}
	t.Logf("%d streams tried, %d wrong", n, count)
	return count
}

// TestProcesses stops or kills router processes during streams and during a request
// with an idempotency key. Clients must be able to resume the streams, and the
// request must not run twice.
func TestProcesses(t *testing.T) {
	s := newDeployment(t)
	routers := s.Routers()
	t.Run("stopped in mid-stream", func(t *testing.T) {
		must.Eq(t, 0, s.countWrongStreams(t, routers[0], routers[0], func() { must.NoError(t, routers[0].Stop()) }))
	})
	t.Run("killed in mid-stream", func(t *testing.T) {
		must.Eq(t, 0, s.countWrongStreams(t, routers[1], routers[2], routers[1].Kill))
	})
	t.Run("killed between claim and answer", func(t *testing.T) { s.testKilledClaimHolder(t, routers[3], routers[4:]) })
}

// testKilledClaimHolder kills the router that runs a booking and repeats the
// booking at the other routers. They must report an unknown outcome and not book
// again.
func (s *deployment) testKilledClaimHolder(t *testing.T, holder *sycdeploy.Router, others []*sycdeploy.Router) {
	for _, w := range s.Workers() {
		w.SetFaults(sycservice.Faults{Late: sycrecord.Duration(time.Minute)})
	}
	const key, body = "one-booking", `{"slot":"17:30"}`
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if resp, err := s.post(t, holder, sycdeploy.BookPath, body, "Idempotency-Key", key); err == nil {
			_ = resp.Body.Close()
		}
	}()
	for len(s.BookedSlots()) == 0 {
		time.Sleep(time.Millisecond)
	}
	holder.Kill()
	<-gone
	for _, w := range s.Workers() {
		w.SetFaults(sycservice.Faults{})
	}
	wrong := 0
	for _, r := range others {
		resp, err := s.post(t, r, sycdeploy.BookPath, body, "Idempotency-Key", key)
		must.NoError(t, err)
		text := readBody(t, resp)
		unknown := strings.Contains(text, "outcome_unknown") && resp.Header.Get("Sycamorecart-Outcome") == "unknown"
		if resp.StatusCode != http.StatusConflict || !unknown {
			t.Logf("status %d: %s", resp.StatusCode, text)
			wrong++
		}
	}
	booked := slices.Clone(s.BookedSlots())
	t.Logf("%d repeats tried, %d wrong, %d bookings", len(others), wrong, len(booked))
	must.Eq(t, 0, wrong)
	must.Len(t, 1, booked)
}
