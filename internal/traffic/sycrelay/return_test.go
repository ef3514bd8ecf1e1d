package sycrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// loadingFor returns an endpoint that does as another one until its first request has ended, and from then on rejects
// requests for a time.
func loadingFor(length time.Duration, do rigEndpoint) rigEndpoint {
	var until atomic.Int64
	return func(w http.ResponseWriter, r *http.Request, first int) {
		if end := until.Load(); end > 0 && time.Now().UnixNano() < end {
			rejecting(w, r, first)
			return
		}
		defer until.CompareAndSwap(0, time.Now().Add(length).UnixNano())
		do(w, r, first)
	}
}

// rejecting is an endpoint that rejects all requests.
var rejecting = answerWith(0, http.StatusServiceUnavailable, "Not-Run", "")

// breakingOnce returns an endpoint that breaks its first stream off after the first event.
func breakingOnce() rigEndpoint {
	var broke atomic.Bool
	return func(w http.ResponseWriter, r *http.Request, first int) {
		if broke.CompareAndSwap(false, true) {
			send(w, rigEventsFrom(first, first+1))
			pause(r, broken)
		}
		streamWith()(w, r, first)
	}
}

// TestStreamWaitsForItsEngines guards against a stream that is cut because the endpoint that broke it off and all others
// reject it for a short time, as engines do while they load weights.
func TestStreamWaitsForItsEngines(t *testing.T) {
	const loading = 450 * time.Millisecond
	rejectingFor := func() rigEndpoint { return loadingFor(loading, rejecting) }
	tests := []struct {
		name      string
		attempts  int
		endpoints []rigEndpoint
	}{
		{"its only endpoint", 2, []rigEndpoint{loadingFor(loading, breakingOnce())}},
		{"two endpoints", 2, []rigEndpoint{loadingFor(loading, breakingOnce()), rejectingFor()}},
		{"more than maxRejected", 2, []rigEndpoint{
			loadingFor(loading, breakingOnce()), rejectingFor(), rejectingFor(), rejectingFor(), rejectingFor(), rejectingFor(), rejectingFor(),
		}},
		{"the other one rejects always", 2, []rigEndpoint{loadingFor(loading, breakingOnce()), rejecting}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, tt.attempts, tt.endpoints...)
			_, body, err := r.get(t.Context(), "/stream/1")
			must.NoError(t, err)
			must.Eq(t, rigStream, body)
		})
	}
}

// TestWaitForEnginesIsBounded guards against endpoints that are asked again and again, and against calls that wait although
// they could be refused at once or have no attempt left.
func TestWaitForEnginesIsBounded(t *testing.T) {
	broken := func() rigEndpoint { return loadingFor(time.Hour, breakingOnce()) }
	tests := []struct {
		name, path string
		endpoints  []rigEndpoint
		// most is how many requests the first endpoint gets at most.
		most int
		// answered is set if the call must get an answer.
		answered bool
	}{
		// The pauses are 50 to 100, 100 to 200 and then 200 to 400 ms.
		{"all reject for long", "/stream/1", []rigEndpoint{broken(), rejecting}, 12, false},
		{"nothing has run", "/stream/1", []rigEndpoint{rejecting, rejecting}, 1, true},
		{"not resumable", "/single/1", []rigEndpoint{broken(), rejecting}, 1, false},
		{"a plain call", "/call/1", []rigEndpoint{loadingFor(time.Hour, reset), rejecting}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, tt.endpoints...)
			_, _, err := r.get(t.Context(), tt.path)
			must.Eq(t, tt.answered, err == nil)
			received, _ := r.count(0)
			must.LessEq(t, tt.most, received)
		})
	}
}

// TestWaitEndsWithTheCaller guards against a stream that is sent on after its caller has left.
func TestWaitEndsWithTheCaller(t *testing.T) {
	r := newRig(t, 2, loadingFor(time.Hour, breakingOnce()), rejecting)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, _, err := r.get(ctx, "/stream/1")
	must.Error(t, err)
	time.Sleep(maxReturnPause)
	before, _ := r.count(0)
	time.Sleep(2 * maxReturnPause)
	after, _ := r.count(0)
	must.Eq(t, before, after)
}

// TestPausesBetweenReturns guards against pauses that ignore what endpoints ask for, and against waits without end.
func TestPausesBetweenReturns(t *testing.T) {
	tests := []struct {
		name string
		wish time.Duration
		// share is by how much the pauses are shortened.
		share float64
		want  []time.Duration
	}{
		{"shortened", 0, 1, []time.Duration{
			minReturnPause / 2, minReturnPause, maxReturnPause / 2, maxReturnPause / 2, maxReturnPause / 2, maxReturnPause / 2, maxReturnPause / 2,
			maxReturnPause / 2, maxReturnPause / 2, maxReturnPause / 2, maxReturnPause / 2,
		}},
		{"no wish", 0, 0, []time.Duration{minReturnPause, 2 * minReturnPause, maxReturnPause, maxReturnPause, maxReturnPause, maxReturnPause}},
		{"a wish", 600 * time.Millisecond, 1, []time.Duration{600 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond}},
		{"a long wish", time.Minute, 0, nil},
	}
	for _, tt := range tests {
		var r returns
		var pauses []time.Duration
		now := time.Now()
		for {
			pause, ok := r.next(now, tt.wish, tt.share)
			if !ok {
				break
			}
			pauses, now = append(pauses, pause), now.Add(pause)
		}
		must.Eq(t, tt.want, pauses, must.Sprint(tt.name))
	}
}
