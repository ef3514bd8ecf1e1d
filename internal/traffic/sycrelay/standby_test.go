package sycrelay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStandby guards against a silent stream that is lost although an endpoint would send the rest, that
// more endpoints get than its route allows, and of which what endpoints say of themselves is lost.
func TestStandby(t *testing.T) {
	full := answerWith(0, http.StatusServiceUnavailable, "Not-Run", "")
	fail := answerWith(0, http.StatusInternalServerError, "", "failed")
	tests := []struct {
		name      string
		attempts  int
		endpoints []rigEndpoint
		// asked is how many requests each endpoint receives.
		asked []int
		// told must have been told, and untold must not.
		told, untold string
	}{
		{"a comment, then silent, other full", 2, []rigEndpoint{
			func(w http.ResponseWriter, r *http.Request, _ int) {
				send(w, ": soon\n\n")
				pause(r, longSilence)
				send(w, rigStream)
			}, full,
		}, []int{1, 1}, "e1 full", "e0 failed"},
		{"silent twice, other fails, no attempt left", 2, []rigEndpoint{
			streamWith(longSilence, longSilence), fail, streamWith(),
		}, []int{1, 1, 0}, "e1 failed", ""},
		{"other full, no attempt left", 2, []rigEndpoint{streamWith(longSilence), full}, []int{1, 1}, "e0 last", ""},
		{"other full, a third is left", 3, []rigEndpoint{streamWith(longSilence), full}, []int{1, 1}, "e1 full", "e0 last"},
		{"comments after the last attempt", 2, []rigEndpoint{
			func(w http.ResponseWriter, r *http.Request, _ int) {
				send(w, rigEventsFrom(0, 2))
				for range 4 {
					pause(r, longSilence/3)
					send(w, ": soon\n\n")
				}
				send(w, rigEventsFrom(2, rigEvents))
			}, fail, streamWith(),
		}, []int{1, 1, 0}, "e1 failed", ""},
		{"resumed elsewhere", 2, []rigEndpoint{streamWith(longSilence), streamWith()}, []int{1, 1}, "e1 served", "e0 failed"},
		{"other leaves", 2, []rigEndpoint{
			streamWith(longSilence), answerWith(0, http.StatusServiceUnavailable, "Leaving", ""),
		}, []int{1, 1}, "e1 leaves", ""},
		{"other has other weights", 2, []rigEndpoint{
			streamWith(longSilence), answerWith(0, http.StatusMisdirectedRequest, "", ""),
		}, []int{1, 1}, "e1 has weights 7", ""},
		{"other ends", 2, []rigEndpoint{streamWith(longSilence), reset}, []int{1, 1}, "e1 ended", ""},
		{"other accepts and hangs, a third is left", 3, []rigEndpoint{
			streamWith(time.Hour), answerWith(time.Hour, http.StatusOK, "", ""), streamWith(),
		}, []int{1, 1, 1}, "e2 served", ""},
		{"other accepts and breaks off, a third is left", 3, []rigEndpoint{
			streamWith(time.Hour), func(w http.ResponseWriter, _ *http.Request, _ int) { send(w, "id: 1\nda"); panic(http.ErrAbortHandler) }, streamWith(),
		}, []int{1, 1, 1}, "e2 served", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, tt.attempts, tt.endpoints...)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			status, body, err := r.get(ctx, "/stream/1")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, rigStream, withoutComments(body))
			for i, asked := range tt.asked {
				received, _ := r.count(i)
				must.Eq(t, asked, received)
			}
			must.True(t, r.wasTold(tt.told))
			must.False(t, r.wasTold(tt.untold))
		})
	}
}

// TestSilentStandbyTakesNoStream guards against the stream of a sound endpoint that is given up for one that has sent no event.
func TestSilentStandbyTakesNoStream(t *testing.T) {
	// begin is an endpoint that begins an answer, sends a part again and again, and ends after a time.
	begin := func(part string, end time.Duration) rigEndpoint {
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			for ended := time.Now().Add(end); time.Now().Before(ended); {
				send(w, part)
				pause(r, maxStreamPause/8)
			}
			panic(http.ErrAbortHandler)
		}
	}
	tests := []struct {
		name  string
		other rigEndpoint
	}{
		{"other sends no answer", func(_ http.ResponseWriter, r *http.Request, _ int) { pause(r, time.Hour) }},
		{"other sends only a head", begin("", time.Hour)},
		{"other sends only comments", begin(": soon\n\n", time.Hour)},
		{"other sends only bytes", begin("x", time.Hour)},
		{"other sends only the last event again", begin(rigEventsFrom(0, 1), time.Hour)},
		{"other breaks off after the silence", begin("", longSilence)},
		{"other breaks off inside an event", begin("x", longSilence)},
		{"other closes its connection after a head without a length", func(w http.ResponseWriter, _ *http.Request, _ int) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			_ = conn.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, streamWith(longSilence, longSilence), tt.other)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			status, body, err := r.get(ctx, "/stream/1")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, rigStream, body)
		})
	}
}

// TestOnlyOneEndpointKeepsAStream guards against two endpoints that both run a stream, one of them
// without its caller, and against an endpoint that gets the blame for a caller who left.
func TestOnlyOneEndpointKeepsAStream(t *testing.T) {
	tests := []struct {
		name string
		// silence is how long the first endpoint is silent, and head when the other's answer begins.
		silence, head time.Duration
		// keeps is the endpoint that keeps the stream.
		keeps int
		// leaves is when the caller leaves.
		leaves time.Duration
	}{
		{"first goes on early, other begins at once", shortSilence, 0, 1, time.Hour},
		{"first goes on early, other begins late", shortSilence, longSilence, 0, time.Hour},
		{"first goes on late, other begins late", longSilence, longSilence, 0, time.Hour},
		{"first goes on late, other begins early", longSilence, longSilence - maxStreamPause - 200*time.Millisecond, 1, time.Hour},
		{"caller leaves while the other hasn't begun", longSilence, longSilence, 0, shortSilence},
		{"caller leaves after the first has gone on", longSilence, longSilence, 0, longSilence + longSilence/4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			other := func(w http.ResponseWriter, r *http.Request, first int) {
				pause(r, tt.head)
				streamWith(longSilence/2, longSilence/2)(w, r, first)
			}
			r := newRig(t, 2, streamWith(tt.silence, longSilence/2, longSilence/2), other)
			ctx, cancel := context.WithTimeout(t.Context(), tt.leaves)
			defer cancel()
			status, body, err := r.get(ctx, "/stream/1")
			ended := time.Now()
			// The other one is left while the stream still goes on.
			must.True(t, awaitLeft(r, 1-tt.keeps).Before(ended) || tt.leaves < time.Hour)
			must.False(t, r.wasTold("e0 failed"))
			must.False(t, r.wasTold("e1 failed"))
			if tt.leaves < time.Hour {
				awaitLeft(r, tt.keeps)
				return
			}
			_, left := r.count(tt.keeps)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, rigStream, body)
			must.Eq(t, 0, left)
		})
	}
}

// awaitLeft waits until the caller of an endpoint's request has left, and returns when that was.
func awaitLeft(r *rig, endpoint int) time.Time {
	for left := 0; left == 0; _, left = r.count(endpoint) {
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left[endpoint][0]
}
