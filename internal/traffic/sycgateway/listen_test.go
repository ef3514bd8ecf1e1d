//go:build knownred

package sycgateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// refusingAddress refuses every connection. The port of a closed listener doesn't, as another
// process may get it.
const refusingAddress = "http://127.0.0.1:1"

// TestKnownRedNothingListens checks that a request whose connection is refused is sent to
// another endpoint, and is reported as not run if there is none.
func TestKnownRedNothingListens(t *testing.T) {
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
