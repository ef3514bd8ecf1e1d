package sycrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"sycamorecart.example/sycamorecart/internal/traffic/syccaller"
)

// reasons lists all reasons for which a connection may end.
var reasons = []syccaller.Reason{
	syccaller.CallerGone, syccaller.BrokenOff, syccaller.Deadline, syccaller.DrainCut, syccaller.Panic, syccaller.Internal,
}

// shortDeadline is the time that a call with the header Short has.
const shortDeadline = 300 * time.Millisecond

// endingCodec is a rig's codec whose calls may have a deadline.
type endingCodec struct{ rigCodec }

func (c endingCodec) Parse(r *http.Request) (*Call, error) {
	call, err := c.rigCodec.Parse(r)
	if strings.HasSuffix(r.URL.Path, "/short") {
		call.Timeout = shortDeadline
	}
	return call, err
}

// counts returns the values of a counter for all reasons.
func counts(counter func(syccaller.Reason) *metrics.Counter) []uint64 {
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

// TestEveryEndingHasItsReason guards against a connection that ends with a request read and no complete
// answer without a line, a counter and a finished attempt, and against a drain's cuts that look like callers'.
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
		reason   syccaller.Reason
		refunded bool
	}{
		{"caller leaves before", "/call/1", []rigEndpoint{silent}, leave, false, 0, syccaller.CallerGone, false},
		{"caller leaves within", "/single/1", []rigEndpoint{hour}, leave, true, 200, syccaller.CallerGone, false},
		{"endpoint breaks off a stream", "/single/1", []rigEndpoint{streamWith(broken)}, 0, true, 200, syccaller.BrokenOff, false},
		{"endpoint breaks off a long answer", "/call/1", []rigEndpoint{longAnswer(0, 0, broken)}, 0, true, 200, syccaller.BrokenOff, false},
		{"deadline before", "/call/short", []rigEndpoint{silent}, 0, false, 504, "", false},
		{"deadline within a stream", "/single/short", []rigEndpoint{hour}, 0, true, 200, syccaller.Deadline, false},
		{"deadline within a long answer", "/call/short", []rigEndpoint{longAnswer(0, 0, time.Hour)}, 0, true, 200, syccaller.Deadline, false},
		{"drain ends before", "/once/1", []rigEndpoint{silent}, cut, false, 0, syccaller.DrainCut, false},
		{"drain ends within", "/single/1", []rigEndpoint{hour}, cut, true, 200, syccaller.DrainCut, false},
		{"answered", "/stream/1", []rigEndpoint{streamWith()}, 0, true, 200, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, len(tt.endpoints), tt.endpoints...)
			r.relay.codec = endingCodec{}
			aborted, closed := counts(abortedCalls), counts(syccaller.CutConnections)
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
				return slices.Equal(aborted, counts(abortedCalls)) && slices.Equal(closed, counts(syccaller.CutConnections)) && r.unfinished() == 0
			}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
			must.Eq(t, tt.refunded, r.wasTold("refunded"))
		})
	}
}

// TestBodyBrokenOffByItsCaller guards against an upload that its caller breaks off and that ends without a
// reason.
func TestBodyBrokenOffByItsCaller(t *testing.T) {
	r := newRig(t, 1, reset)
	aborted, closed := counts(abortedCalls), counts(syccaller.CutConnections)
	body := io.MultiReader(strings.NewReader("a"), iotest.ErrReader(errors.New("broken off")))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.address+"/once/1", body)
	must.NoError(t, err)
	_, err = new(http.Transport).RoundTrip(request)
	must.Error(t, err)
	aborted[0]++
	closed[0]++
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return slices.Equal(aborted, counts(abortedCalls)) && slices.Equal(closed, counts(syccaller.CutConnections))
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}
