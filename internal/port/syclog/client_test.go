package syclog_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

func entry(id string) syclog.Entry {
	return syclog.Entry{ID: id, Data: json.RawMessage(`{"n":1}`)}
}

func TestAppendAndRead(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{RetainCount: 2})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	client := syclog.New(syclog.Options{Address: platform.URL()})
	t.Cleanup(func() { must.NoError(t, client.Close()) })

	first, err := client.Append(t.Context(), "s", entry("a"), entry("b"))
	must.NoError(t, err)
	must.EqOp(t, uint64(0), first)
	first, err = client.Append(t.Context(), "s", entry("c"))
	must.NoError(t, err)
	must.EqOp(t, uint64(2), first)
	page, err := client.Read(t.Context(), "s", 0, 10, 0)
	must.NoError(t, err)
	must.EqOp(t, uint64(1), page.First)
	must.EqOp(t, uint64(3), page.Next)
	must.SliceLen(t, 2, page.Records)
	must.EqOp(t, "c", page.Records[1].ID)
	must.EqOp(t, uint64(2), page.Records[1].Offset)
}

// TestErrors checks the error and the number of tries of an append for each kind of
// response.
func TestErrors(t *testing.T) {
	cases := []struct {
		name string
		// statuses are the statuses of the responses, the last one for all
		// further tries. With 0 the server closes the connection without a
		// response.
		statuses []int
		tries    int64
		check    func(error) bool
	}{
		{"accepted", []int{200}, 1, func(err error) bool { return err == nil }},
		{"rate limited, then accepted", []int{429, 200}, 2, func(err error) bool { return err == nil }},
		{"outage", []int{503}, 3, is[*syclog.UnavailableError]},
		{"no response", []int{0}, 1, is[*syclog.LostError]},
		{"server fault", []int{500}, 1, is[*syclog.LostError]},
		{"too large", []int{413}, 1, is[*syclog.RefusedError]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tries atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n := int(tries.Add(1)) - 1
				status := c.statuses[min(n, len(c.statuses)-1)]
				if status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(status)
				fmt.Fprint(w, `{"first_offset":7}`)
			}))
			t.Cleanup(server.Close)
			client := syclog.New(syclog.Options{Address: server.URL, Backoff: time.Millisecond})
			t.Cleanup(func() { must.NoError(t, client.Close()) })
			_, err := client.Append(t.Context(), "s", entry("a"))
			must.True(t, c.check(err), must.Sprint(err))
			must.EqOp(t, c.tries, tries.Load())
		})
	}
}

// is reports whether the error is or wraps an E.
func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// An append that couldn't connect to the log certainly had no effect.
func TestUnreachableLogIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := "http://" + listener.Addr().String()
	must.NoError(t, listener.Close())
	client := syclog.New(syclog.Options{Address: address, Backoff: time.Millisecond})
	_, err = client.Append(t.Context(), "s", entry("a"))
	must.True(t, is[*syclog.UnavailableError](err), must.Sprint(err))
}

func TestRetryAfterIsReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	t.Cleanup(server.Close)
	client := syclog.New(syclog.Options{Address: server.URL, Tries: 1})
	_, err := client.Append(t.Context(), "s", entry("a"))
	var unavailable *syclog.UnavailableError
	must.True(t, errors.As(err, &unavailable))
	must.EqOp(t, 7*time.Second, unavailable.RetryAfter)
}

func TestJitterIsLimited(t *testing.T) {
	for tries := 1; tries < 100; tries++ {
		wait := syclog.Jitter(time.Millisecond, time.Second, tries)
		must.Between(t, 0, wait, time.Second)
		must.LessEq(t, time.Millisecond<<min(tries-1, 16), wait)
	}
}
