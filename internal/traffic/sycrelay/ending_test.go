package sycrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycending"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// reasons lists all reasons for which a connection may end.
var reasons = []sycending.Reason{
	sycending.CallerGone, sycending.BrokenOff, sycending.Deadline, sycending.DrainCut, sycending.Panic, sycending.Internal,
}

// shortDeadline is the time that a call with the header Short has.
const shortDeadline = 300 * time.Millisecond

// endingCodec is a rig's codec that panics where a call's path or an endpoint's header says so.
type endingCodec struct{ rigCodec }

func (c endingCodec) Parse(r *http.Request) (*Call, error) {
	if strings.HasSuffix(r.URL.Path, "/parse") {
		panic("parse")
	}
	call, err := c.rigCodec.Parse(r)
	if strings.HasSuffix(r.URL.Path, "/short") {
		call.Timeout = shortDeadline
	}
	return call, err
}

func (c endingCodec) Outgoing(call *Call, f Forward) http.Header {
	if strings.HasSuffix(call.Path, "/outgoing") {
		panic("outgoing")
	}
	return c.rigCodec.Outgoing(call, f)
}

func (c endingCodec) Identify(h http.Header) sycwire.Identity {
	if h.Get("Identify") != "" {
		panic("identify")
	}
	return c.rigCodec.Identify(h)
}

func (c endingCodec) Notice(endpoint string, status int, h http.Header) sycplace.Notice {
	if h.Get("Notice") != "" {
		panic("notice")
	}
	return c.rigCodec.Notice(endpoint, status, h)
}

func (c endingCodec) Disposition(endpoint string, status int, h http.Header) Disposition {
	if h.Get("Disposition") != "" {
		panic("disposition")
	}
	return c.rigCodec.Disposition(endpoint, status, h)
}

// panicking returns an endpoint whose answer makes the codec panic in a method. It then works until the VM
// closes the connection.
func panicking(method string) rigEndpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(method, "1")
		send(w, "data: begun")
		pause(r, time.Hour)
	}
}

// counts returns the values of a counter for all reasons.
func counts(counter func(sycending.Reason) *metrics.Counter) []uint64 {
	var out []uint64
	for _, r := range reasons {
		out = append(out, counter(r).Get())
	}
	return out
}

// unfinished returns how many selected attempts aren't finished, less than 0 if some are finished twice.
func (f *rigFleet) unfinished() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for _, endpoint := range f.selected {
		if endpoint != "" {
			open++
		}
	}
	for _, what := range f.told {
		if !strings.HasSuffix(what, " last") && !strings.HasSuffix(what, " ended") && what != "refunded" {
			open--
		}
	}
	return open
}

// TestEveryEndingHasItsReason guards against a cut request without a line, a reason, a counter or a finished attempt.
func TestEveryEndingHasItsReason(t *testing.T) {
	const leave, cut = 1, 2
	hour := streamWith(time.Hour)
	silent := answerWith(time.Hour, http.StatusOK, "", "")
	tests := []struct {
		name, path string
		endpoints  []rigEndpoint
		// act is what the caller or the VM does once an endpoint has the request, or a part of the answer has
		// come if within is set.
		act    int
		within bool
		// status is the answer's, 0 for none. The reason is empty if the answer is complete.
		status   int
		reason   sycending.Reason
		refunded bool
	}{
		{"caller leaves before", "/call/1", []rigEndpoint{silent}, leave, false, 0, sycending.CallerGone, false},
		{"caller leaves within", "/single/1", []rigEndpoint{hour}, leave, true, 200, sycending.CallerGone, false},
		{"endpoint breaks off a stream", "/single/1", []rigEndpoint{streamWith(broken)}, 0, true, 200, sycending.BrokenOff, false},
		{"endpoint breaks off a long answer", "/call/1", []rigEndpoint{longAnswer(0, 0, broken)}, 0, true, 200, sycending.BrokenOff, false},
		{"deadline before", "/call/short", []rigEndpoint{silent}, 0, false, 504, "", false},
		{"deadline within a stream", "/single/short", []rigEndpoint{hour}, 0, true, 200, sycending.Deadline, false},
		{"deadline within a long answer", "/call/short", []rigEndpoint{longAnswer(0, 0, time.Hour)}, 0, true, 200, sycending.Deadline, false},
		{"drain ends before", "/once/1", []rigEndpoint{silent}, cut, false, 0, sycending.DrainCut, false},
		{"drain ends within", "/single/1", []rigEndpoint{hour}, cut, true, 200, sycending.DrainCut, false},
		{"panic without a call", "/call/parse", []rigEndpoint{hour}, 0, false, 500, "", false},
		{"panic before sending", "/once/outgoing", []rigEndpoint{hour}, 0, false, 500, "", true},
		{"panic before the first byte", "/once/1", []rigEndpoint{panicking("Disposition")}, 0, false, 500, "", false},
		{"panic after the first byte", "/stream/1", []rigEndpoint{streamWith(broken), panicking("Notice")}, 0, true, 200, sycending.Panic, false},
		{"answered", "/stream/1", []rigEndpoint{streamWith()}, 0, true, 200, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, len(tt.endpoints), tt.endpoints...)
			r.relay.codec = endingCodec{}
			aborted, closed := counts(abortedCalls), counts(sycending.CutConnections)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			act := func() {
				switch tt.act {
				case leave:
					cancel()
				case cut:
					r.callers.Cut()
				}
			}
			if !tt.within && tt.act != 0 {
				go func() {
					for received := 0; received == 0; received, _ = r.count(0) {
						time.Sleep(time.Millisecond)
					}
					act()
				}()
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+tt.path, nil)
			must.NoError(t, err)
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			status := 0
			answer, err := transport.RoundTrip(request)
			if err == nil {
				status = answer.StatusCode
				if tt.within {
					_, err = answer.Body.Read(make([]byte, 1))
					must.NoError(t, err)
					act()
				}
				_, err = io.Copy(io.Discard, answer.Body)
				must.NoError(t, answer.Body.Close())
			}
			must.Eq(t, tt.status, status)
			must.Eq(t, tt.reason != "", err != nil)
			for _, i := range []int{slices.Index(reasons, tt.reason)} {
				if i >= 0 {
					aborted[i]++
					closed[i]++
				}
			}
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				return slices.Equal(aborted, counts(abortedCalls)) && slices.Equal(closed, counts(sycending.CutConnections)) && r.unfinished() == 0
			}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
			must.Eq(t, tt.refunded, r.wasTold("refunded"))
		})
	}
}

// TestBodyBrokenOffByItsCaller guards against an upload that its caller breaks off and that ends without a reason.
func TestBodyBrokenOffByItsCaller(t *testing.T) {
	r := newRig(t, 1, reset)
	aborted, closed := counts(abortedCalls), counts(sycending.CutConnections)
	body := io.MultiReader(strings.NewReader("a"), iotest.ErrReader(errors.New("broken off")))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.address+"/once/1", body)
	must.NoError(t, err)
	_, err = new(http.Transport).RoundTrip(request)
	must.Error(t, err)
	aborted[0]++
	closed[0]++
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return slices.Equal(aborted, counts(abortedCalls)) && slices.Equal(closed, counts(sycending.CutConnections))
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestPanicClosesTheEndpointsConnection guards against an endpoint that works on after a panic.
func TestPanicClosesTheEndpointsConnection(t *testing.T) {
	for _, method := range []string{"Identify", "Notice", "Disposition"} {
		r := newRig(t, 1, panicking(method))
		r.relay.codec = endingCodec{}
		status, body, err := r.get(t.Context(), "/once/1")
		must.NoError(t, err)
		must.Eq(t, http.StatusInternalServerError, status)
		must.Eq(t, "{\"error\":\"panic\",\"id\":\"1\"}\n", body)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			_, left := r.count(0)
			return left == 1
		}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	}
}

// TestPanicUnderAStandbyKeepsTheStream guards against a panic in the search for another endpoint that ends the process or the stream.
func TestPanicUnderAStandbyKeepsTheStream(t *testing.T) {
	tests := []struct {
		name    string
		standby rigEndpoint
	}{
		{"rejection, notice", answerWith(0, http.StatusServiceUnavailable, "Notice", "")},
		{"rejection, disposition", answerWith(0, http.StatusServiceUnavailable, "Disposition", "")},
		{"answer, identify", panicking("Identify")},
		{"answer, disposition", panicking("Disposition")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, streamWith(longSilence), tt.standby)
			r.relay.codec = endingCodec{}
			status, body, err := r.get(t.Context(), "/stream/1")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, rigStream, body)
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.unfinished() == 0 }),
				wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
			received, _ := r.count(1)
			must.Eq(t, 1, received)
		})
	}
}

// panickingFleet is a fleet that panics when an attempt is finished.
type panickingFleet struct{ rigFleet }

func (*panickingFleet) Withdraw(uint64) {}

func (*panickingFleet) FinishAttempt(uint64, sycplace.Outcome, string, time.Duration) {
	panic("finish")
}

// TestPanicLeavesTheTimeoutUnlocked guards against a call that hangs after a panic, as its timeout can't be stopped.
func TestPanicLeavesTheTimeoutUnlocked(t *testing.T) {
	r := newRig(t, 2, streamWith())
	x := &exchange{
		relay: New(Options{Fleet: &panickingFleet{}, Codec: endingCodec{}}), call: &Call{}, request: &sycplace.Request{},
		route: r.config.Match("h", "/stream/1"), target: r.targets[0],
	}
	var cancelled atomic.Bool
	done := make(chan struct{})
	close(done)
	s := &standby{exchange: x, cancel: func() { cancelled.Store(true) }, done: done}
	timeout := &answerTimeout{cancel: func() {}, standby: s}
	func() {
		defer func() { must.NotNil(t, recover()) }()
		timeout.admitEvent(true)
	}()
	timeout.stop()
	must.True(t, cancelled.Load())
}
