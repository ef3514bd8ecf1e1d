package sycgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycgateway"
)

// refusingAddress refuses every connection. The port of a closed listener doesn't, as another
// process may get it.
const refusingAddress = "http://127.0.0.1:1"

// TestNothingListens checks that a request whose connection is refused is sent to
// another endpoint, and is reported as not run if there is none.
func TestNothingListens(t *testing.T) {
	s := newService(t)
	r := newTestGateway(t, nil, serviceTarget("service1", refusingAddress), serviceTarget("service2", s.URL()))
	alone := newTestGateway(t, nil, serviceTarget("service1", refusingAddress))
	const tries = 10
	for try := range tries {
		body := fmt.Sprint(try)
		resp := r.post(t, "/book/book", body)
		must.StrContains(t, readBody(t, resp), body)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		must.Eq(t, 1, runsByBody(s)[body])
	}
	resp := alone.post(t, "/book/book", "alone")
	must.StrContains(t, readBody(t, resp), "no_endpoint")
	must.Eq(t, "not-run", resp.Header.Get("Sycamorecart-Outcome"))
	must.Eq(t, "1", resp.Header.Get("Retry-After"))
}

// TestDeadlineBeforeAnyEndpointListens guards against a timeout without Retry-After for a request
// that no endpoint has taken, if its deadline passes during a later attempt.
func TestDeadlineBeforeAnyEndpointListens(t *testing.T) {
	cases := []struct{ path, body string }{
		{"/book/book", "x"},
		{"/v1/completions", completionBody("hi", false)},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			var dials atomic.Int32
			r := newTestGateway(t, func(o *sycgateway.Options) {
				o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if dials.Add(1) > 1 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			}, serviceTarget("service1", refusingAddress), engineTarget("e1", refusingAddress))
			r.state = applyRecords(t, r.state, record{"route", "chat", map[string]any{"prefix": "/", "type": "model", "models": []string{"m"}, "timeout": "600ms"}})
			resp := r.post(t, c.path, c.body)
			must.StrContains(t, readBody(t, resp), "no_endpoint")
			must.Eq(t, "not-run", resp.Header.Get("Sycamorecart-Outcome"))
			must.Eq(t, "1", resp.Header.Get("Retry-After"))
		})
	}
}
