package sycengine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

func TestQueueIsOrderedByPriority(t *testing.T) {
	engine := newEngine(t, sycengine.Options{MaxBatch: 1, Speed: 1})
	requests := []struct {
		stream   string
		priority int
		tokens   int
	}{
		{"runs", 0, 30},
		{"last", 5, 2},
		{"first", 1, 2},
	}
	finished := make(chan string, len(requests))
	for _, c := range requests {
		q := newRequest("p", c.tokens)
		q.Stream, q.Priority = c.stream, c.priority
		response, err := post(t, engine.URL()+"/v1/completions", q)
		must.NoError(t, err)
		go func() {
			defer response.Body.Close()
			buffer := make([]byte, 4096)
			for {
				if _, err := response.Body.Read(buffer); err != nil {
					break
				}
			}
			finished <- c.stream
		}()
	}
	must.Eq(t, []string{"runs", "first", "last"}, []string{<-finished, <-finished, <-finished})
}

func TestFullQueueRefuses(t *testing.T) {
	engine := newEngine(t, sycengine.Options{MaxBatch: 1, MaxWaiting: 1, Speed: 1})
	refused := 0
	for range 4 {
		response, err := post(t, engine.URL()+"/v1/completions", newRequest("p", 100000))
		must.NoError(t, err)
		if response.StatusCode == http.StatusTooManyRequests {
			must.Eq(t, "true", response.Header.Get("Sycamorecart-Not-Run"))
			refused++
		}
		must.NoError(t, response.Body.Close())
	}
	must.Positive(t, refused)
}

func TestRequestsWithoutResponse(t *testing.T) {
	tests := []struct {
		name   string
		faults sycengine.Faults
	}{
		{"by count", sycengine.Faults{NoAnswer: 1}},
		{"by failure", withFailure(sycengine.Failure{Share: 1, Mode: sycengine.ModeHang})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := newEngine(t, sycengine.Options{})
			engine.SetFaults(tt.faults)
			client := http.Client{Timeout: 50 * time.Millisecond}
			_, err := client.Post(engine.URL()+"/v1/completions", "application/json", asBody(t, newRequest("p", 2)))
			must.ErrorIs(t, err, context.DeadlineExceeded)
			// The engine ran the request although it sent no response.
			var stream http.Response
			waitFor(t, func() bool {
				response, err := http.Get(engine.URL() + "/v1/streams/s-1?from=0&cache_salt=salt")
				must.NoError(t, err)
				stream = *response
				return response.StatusCode == http.StatusOK
			})
			must.Eq(t, sycengine.Answer("w1", "", "p", 2), read(t, &stream).tokens)
			must.Eq(t, sycengine.OutcomeRun, engine.Requests()[0].Outcome)
		})
	}
}

func TestSlowFactorLengthensSteps(t *testing.T) {
	engine := newEngine(t, sycengine.Options{Speed: 10})
	engine.SetFaults(sycengine.Faults{Slow: 20})
	start := time.Now()
	run(t, engine, newRequest("p", 3))
	// Three steps of 10 ms each, multiplied by the slowdown of 20 and divided by the
	// speed of 10.
	must.GreaterEq(t, 60*time.Millisecond, time.Since(start))
}

func TestLoadReportLags(t *testing.T) {
	engine := newEngine(t, sycengine.Options{LoadLag: time.Hour})
	run(t, engine, newRequest("p", 2))
	var load sycengine.Load
	must.Eq(t, http.StatusOK, get(t, engine.URL()+"/v1/load", &load))
	must.Eq(t, engine.Incarnation(), load.Incarnation)
	must.Eq(t, []sycengine.LoadedWeights{{Model: "m", Weights: "w1", State: "ready"}}, load.Weights)
	fresh := newEngine(t, sycengine.Options{LoadLag: time.Millisecond, Speed: 1})
	response, err := post(t, fresh.URL()+"/v1/completions", newRequest("p", 100000))
	must.NoError(t, err)
	defer response.Body.Close()
	waitFor(t, func() bool {
		get(t, fresh.URL()+"/v1/load", &load)
		return load.Running == 1
	})
}
