package sycwire

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestIdleTimeCountsASuspension guards against a request on a connection that has been idle for longer than its endpoint keeps
// it, because the VM was suspended meanwhile. The endpoint may have forgotten it without a word.
func TestIdleTimeCountsASuspension(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := New(Defaults())
	defer func() { _ = client.Close() }()
	var suspended time.Duration
	clock := client.now
	client.now = func() time.Duration { return clock() + suspended }
	send := func() (number uint64) {
		answer, err := client.Do(t.Context(), &Request{
			Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h",
			Proceed: func(c Connection) bool { number = c.Number; return true },
		})
		must.NoError(t, err)
		answer.Discard()
		must.NoError(t, answer.Close())
		return number
	}
	first := send()
	must.Eq(t, first, send())
	suspended = client.settings.IdleTime
	must.NotEq(t, first, send())
}
