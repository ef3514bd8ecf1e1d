package sycrelay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// fakeFleet is a fleet whose selections no longer hold a number of times.
type fakeFleet struct {
	Fleet
	target *sycplace.Target
	// withdrawn is how many selections don't hold when they are used.
	withdrawn int
	// excluded holds the endpoints that the last selection excluded, and resumable is set if its
	// request was resumable.
	excluded  []string
	resumable bool
	outcomes  []sycplace.Outcome
}

func (*fakeFleet) NewID() uint64 { return 1 }

func (f *fakeFleet) Permits(*sycplace.Request, *sycplace.Target) bool {
	f.withdrawn--
	return f.withdrawn < 0
}

func (f *fakeFleet) Retry(r *sycplace.Request, _ string, _ bool) (*sycplace.Target, *sycsuspect.Verdict) {
	f.excluded, f.resumable = append([]string(nil), r.Exclude...), r.Resumable
	return f.target, nil
}

func (*fakeFleet) Withdraw(uint64) {}

func (f *fakeFleet) FinishAttempt(_ uint64, o sycplace.Outcome, _ string, _ time.Duration) {
	f.outcomes = append(f.outcomes, o)
}

// fakeCodec is a codec whose endpoints run no request.
type fakeCodec struct{ Codec }

func (fakeCodec) Outgoing(*Call, Forward) http.Header              { return http.Header{} }
func (fakeCodec) Identify(http.Header) sycwire.Identity            { return sycwire.Identity{} }
func (fakeCodec) Notice(string, int, http.Header) sycplace.Notice  { return sycplace.Notice{} }
func (fakeCodec) Disposition(string, int, http.Header) Disposition { return NotRun }
func (fakeCodec) SetRetryAfter(http.Header, time.Duration)         {}

// TestWithdrawnSelectionIsNotUsed guards against a request that goes to an endpoint which has left or
// asked for a pause while the connection was being opened, and against one that loses an attempt by it.
func TestWithdrawnSelectionIsNotUsed(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	t.Cleanup(server.Close)
	target := &sycplace.Target{Endpoint: sycplace.Endpoint{ID: "e0", Address: strings.TrimPrefix(server.URL, "http://")}}
	fleet := &fakeFleet{target: target, withdrawn: maxUncounted + 1}
	client := sycwire.New(sycwire.Defaults())
	t.Cleanup(func() { _ = client.Close() })
	x := &exchange{
		relay:    &Relay{fleet: fleet, codec: fakeCodec{}, client: client, log: logrus.NewEntry(logrus.StandardLogger())},
		call:     &Call{Method: http.MethodGet, Target: "/", Host: "h"},
		route:    &sycsite.Route{Kind: sycsite.AtMostOnce, Attempts: 1},
		config:   &sycsite.Config{},
		ctx:      t.Context(),
		deadline: time.Now().Add(time.Minute),
		target:   target,
	}
	x.newRequest()
	for i := range maxUncounted + 1 {
		last := x.attempt(t.Context())
		must.False(t, last.arrived)
		must.False(t, x.ran)
		must.True(t, x.nextAttempt(t.Context(), last))
		must.Eq(t, 0, x.attempts)
		// Only after some such attempts another endpoint is asked for.
		must.Eq(t, i == maxUncounted, len(fleet.excluded) == 1)
	}
	must.Eq(t, 0, received.Load())
	must.Eq(t, []sycplace.Outcome{sycplace.Cancelled, sycplace.Cancelled, sycplace.Cancelled}, fleet.outcomes)
	must.True(t, x.attempt(t.Context()).arrived)
	must.Eq(t, 1, received.Load())
	must.Eq(t, 1, x.attempts)
}

// TestSameEndpointIsAskedAgain guards against a request that goes to an endpoint that has rejected it as a
// standby, instead of the one that only had other weights.
func TestSameEndpointIsAskedAgain(t *testing.T) {
	fleet := &fakeFleet{target: &sycplace.Target{}}
	x := &exchange{
		relay: &Relay{fleet: fleet}, call: &Call{}, route: &sycsite.Route{Kind: sycsite.Repeatable, Attempts: 3},
		attempts: 1, tried: []string{"e0"}, timeout: &answerTimeout{rejectedBy: []string{"e1"}, arrivals: 1},
	}
	must.Nil(t, x.takeStandby())
	must.True(t, x.nextAttempt(t.Context(), result{arrived: true, sameEndpoint: true}))
	must.Eq(t, []string{"e1"}, fleet.excluded)
	must.Eq(t, 1, x.attempts)
}

// TestLastAttemptIsNotResumable guards against a stream that is lost because the holder of the duties makes
// its engine break it off, although the stream has no attempt left.
func TestLastAttemptIsNotResumable(t *testing.T) {
	tests := []struct {
		name string
		kind sycsite.Kind
		// attempts is how many attempts the route allows, and made how many were made.
		attempts, made int
		resumable      bool
	}{
		{"first of two", sycsite.Stream, 2, 0, true},
		{"second of two", sycsite.Stream, 2, 1, false},
		{"second of three", sycsite.Stream, 3, 1, true},
		{"only one", sycsite.Stream, 1, 0, false},
		{"at most once", sycsite.AtMostOnce, 2, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := &fakeFleet{}
			x := &exchange{
				relay: &Relay{fleet: fleet}, call: &Call{}, ctx: t.Context(), attempts: tt.made, deadline: time.Now().Add(time.Minute),
				route: &sycsite.Route{Kind: tt.kind, Resumable: true, Attempts: tt.attempts},
			}
			x.newRequest()
			must.Eq(t, tt.resumable, x.request.Resumable)
			x.newStandby(nil, 0)
			must.Eq(t, tt.resumable, fleet.resumable)
		})
	}
}
