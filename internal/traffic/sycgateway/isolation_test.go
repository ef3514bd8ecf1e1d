package sycgateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
	"sycamorecart.example/sycamorecart/internal/traffic/sycgateway"
)

// send sends a request with exactly the given headers.
func (r *testGateway) send(t *testing.T, method, path, body string, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header = header.Clone()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	return resp
}

// TestKeysNeverReachAnEndpoint sends keys in all parts of requests. No key may
// reach an endpoint, and a key may only be accepted in the headers for it.
func TestKeysNeverReachAnEndpoint(t *testing.T) {
	s, e := newService(t), newEngine(t)
	r := newTestGateway(t, nil, serviceTarget("service1", s.URL()), engineTarget("e1", e.URL()))
	// The longer timeouts keep a slow machine from repeating calls, which would
	// change the number of calls counted below.
	r.state = applyRecords(t, r.state,
		record{"route", "slots", map[string]any{"prefix": "/slots", "type": "service", "service": "slots", "repeatable": true, "timeout": "1m"}},
		record{"route", "open", map[string]any{"prefix": "/open", "type": "service", "service": "slots", "repeatable": true, "open": true, "timeout": "1m"}},
	)
	bearer := "Bearer " + testKey
	other := testKey + "-2"
	cases := []struct {
		name, path, body string
		header           http.Header
		status           int
		code             string
	}{
		{"bearer", "/slots/x", "", http.Header{"Authorization": {bearer}}, 200, ""},
		{"X-Api-Key", "/slots/x", "", http.Header{"X-Api-Key": {testKey}}, 200, ""},
		{"same key twice", "/slots/x", "", http.Header{"Authorization": {bearer}, "X-Api-Key": {testKey}}, 200, ""},
		{"also in the query", "/slots/x?a=1&api_key=" + testKey + "&q=" + testKey, "", http.Header{"Authorization": {bearer}}, 200, ""},
		{"also in a cookie", "/slots/x", "", http.Header{"Authorization": {bearer}, "Cookie": {"a=1; k=" + testKey}}, 200, ""},
		{"also in another header", "/slots/x", "", http.Header{"Authorization": {bearer}, "X-Trace": {"t=" + testKey}}, 200, ""},
		{"another's key in a header", "/slots/x", "", http.Header{"Authorization": {bearer}, "X-Trace": {other}}, 200, ""},
		{"open route", "/open/x?k=" + other, "", http.Header{"Authorization": {bearer}, "Api-Key": {"x"}}, 200, ""},
		{"open route without a key", "/open/x", "", http.Header{}, 200, ""},
		{"model", "/v1/completions", completionBody("p", false), http.Header{"Authorization": {bearer}, "Cookie": {testKey}}, 200, ""},
		{"in the path", "/slots/" + testKey, "", http.Header{"Authorization": {bearer}}, 400, "misplaced_key"},
		{"in the body", "/slots/x", "k=" + testKey, http.Header{"Authorization": {bearer}}, 400, "misplaced_key"},
		{"two keys", "/slots/x", "", http.Header{"Authorization": {bearer}, "X-Api-Key": {other}}, 400, "conflicting_keys"},
		{"two keys on an open route", "/open/x", "", http.Header{"Authorization": {bearer, "Bearer " + other}}, 400, "conflicting_keys"},
		{"no key", "/slots/x", "", http.Header{}, 401, "missing_key"},
		{"key in the query only", "/slots/x?api_key=" + testKey, "", http.Header{}, 401, "missing_key"},
		{"wrong key", "/slots/x", "", http.Header{"Authorization": {"Bearer nobody's"}}, 401, "invalid_key"},
		{"another scheme", "/slots/x", "", http.Header{"Authorization": {"Basic " + testKey}}, 401, "invalid_key"},
	}
	wrong := 0
	for _, c := range cases {
		resp := r.send(t, http.MethodPost, c.path, c.body, c.header)
		body := readBody(t, resp)
		if resp.StatusCode != c.status || !strings.Contains(body, c.code) {
			t.Logf("%s: status %d, %s", c.name, resp.StatusCode, body)
			wrong++
		}
	}
	received, err := json.Marshal([]any{receivedCalls(s), e.Requests()})
	must.NoError(t, err)
	must.False(t, strings.Contains(string(received), testKey))
	must.Eq(t, 9, len(receivedCalls(s)))
	must.Eq(t, 1, len(e.Requests()))
	t.Logf("%d requests tried, %d wrong", len(cases), wrong)
	must.Eq(t, 0, wrong)
}

// TestServicesSeeOnlyWhatTheyShould checks the path, query and headers that a
// service receives. A client must not be able to set the header that names its
// customer.
func TestServicesSeeOnlyWhatTheyShould(t *testing.T) {
	s := newService(t)
	r := newTestGateway(t, nil, serviceTarget("service1", s.URL()))
	resp := r.post(t, "/slots/a%20b/?q=1%202&x", "body",
		"Sycamorecart-Customer", "c2", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "Cookie", "a=1")
	must.Eq(t, http.StatusOK, resp.StatusCode)
	_ = readBody(t, resp)
	must.Eq(t, 1, len(receivedCalls(s)))
	c := receivedCalls(s)[0]
	must.Eq(t, "/a b/", c.Path)
	must.Eq(t, "q=1%202&x", c.Query)
	must.Eq(t, "body", c.Body)
	must.Eq(t, []string{"c1"}, c.Header["Sycamorecart-Customer"])
	must.Eq(t, []string{"2"}, c.Header["X-Kept"])
	must.Eq(t, []string{"a=1"}, c.Header["Cookie"])
	must.MapNotContainsKey(t, c.Header, "X-Hop")
	_ = readBody(t, r.send(t, http.MethodGet, "/open/x", "", http.Header{"Sycamorecart-Customer": {"c2"}, "Authorization": {"Bearer " + testKey}}))
	must.MapNotContainsKey(t, receivedCalls(s)[1].Header, "Sycamorecart-Customer")
}

// TestWithdrawnKeyStopsOnAnOpenConnection checks that a withdrawn key is refused
// also on a connection that was opened before.
func TestWithdrawnKeyStopsOnAnOpenConnection(t *testing.T) {
	r := newTestGateway(t, nil, serviceTarget("service1", newService(t).URL()))
	must.Eq(t, http.StatusOK, r.post(t, "/slots/x", "").StatusCode)
	r.state = applyRecords(t, r.state, record{"key", "k1", map[string]any{"customer": "c1", "sha256": hashKey(testKey), "withdrawn": true}})
	resp := r.post(t, "/slots/x", "")
	must.Eq(t, http.StatusUnauthorized, resp.StatusCode)
	must.Eq(t, "not-run", resp.Header.Get("Sycamorecart-Outcome"))
	must.StrContains(t, readBody(t, resp), "invalid_key")
}

// TestNotReady checks the response of a VM that isn't ready.
func TestNotReady(t *testing.T) {
	r := newTestGateway(t, func(o *sycgateway.Options) { o.Ready = func() bool { return false } })
	resp := r.post(t, "/slots/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, "not-run", resp.Header.Get("Sycamorecart-Outcome"))
	must.StrContains(t, readBody(t, resp), "not_ready")
}

// TestMalformedRequests writes raw requests, most of which Go's HTTP client can't
// send. Malformed and ambiguous requests must be rejected and reach no service.
func TestMalformedRequests(t *testing.T) {
	s := newService(t)
	r := newTestGateway(t, func(o *sycgateway.Options) {
		o.Limits.Body = 1000
		o.Limits.Bodies = 2000
	}, serviceTarget("service1", s.URL()))
	auth := "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name, request string
		status        int
	}{
		{"plain", "POST /slots/x HTTP/1.1\r\n" + auth + "Content-Length: 2\r\n\r\nab", 200},
		{"chunks", "POST /slots/x HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200},
		{"two lengths", "POST /slots/x HTTP/1.1\r\n" + auth + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab", 400},
		{"unsupported encoding", "POST /slots/x HTTP/1.1\r\n" + auth + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		{"old version", "GET /slots/x HTTP/1.0\r\n" + auth + "\r\n", 505},
		{"upgrade", "GET /slots/x HTTP/1.1\r\n" + auth + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 400},
		{"unknown method", "TRACE /slots/x HTTP/1.1\r\n" + auth + "\r\n", 501},
		{"relative path", "GET /open/../slots/x HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"encoded relative path", "GET /open/%2e%2e/slots HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"encoded slash", "GET /open/a%2fb HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"empty part", "GET //slots/x HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"forged header", "GET /slots/x HTTP/1.1\r\n" + auth + "Sycamorecart_Customer: c2\r\n\r\n", 400},
		{"header with a space", "GET /slots/x HTTP/1.1\r\n" + auth + "A B: 1\r\n\r\n", 400},
		{"many headers", "GET /slots/x HTTP/1.1\r\n" + auth + strings.Repeat("A: 1\r\n", 200) + "\r\n", 431},
		{"large body", "POST /slots/x HTTP/1.1\r\n" + auth + "Content-Length: 1001\r\n\r\n", 413},
		{"large chunks", "POST /slots/x HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", 413},
		{"body that breaks off", "POST /slots/x HTTP/1.1\r\n" + auth + "Content-Length: 9\r\n\r\nab", 400},
		{"no route", "GET /v2/x HTTP/1.1\r\n" + auth + "\r\n", 404},
		{"wrong method", "GET /v1/completions HTTP/1.1\r\n" + auth + "\r\n", 405},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, c.request)
			must.NoError(t, err)
			if c.name == "body that breaks off" {
				must.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, c.status, resp.StatusCode, must.Sprint(readBody(t, resp)))
		})
	}
	must.Eq(t, 2, len(receivedCalls(s)))
}

// TestBadRequestsNameThePlace checks that errors about invalid JSON requests name
// the field or the byte at fault.
func TestBadRequestsNameThePlace(t *testing.T) {
	r := newTestGateway(t, nil)
	cases := []struct{ body, place string }{
		{`{"model":"m",}`, "byte 14"},
		{`{"model":1}`, "model"},
		{`{"model":"m"} x`, "byte 15"},
		{`{"messages":[{"role":"user","content":"x"}]}`, "model is missing"},
		{`{"model":"m"}`, "messages"},
		{`{"model":"m","messages":[{"role":"user","content":"x"},{"content":"y"}]}`, "messages[1].role"},
		{`{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`, "messages[0].content[0].type"},
		{`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0}`, "max_tokens"},
		{`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`, "n must be 1"},
	}
	for _, c := range cases {
		resp := r.post(t, "/v1/chat/completions", c.body)
		must.Eq(t, http.StatusBadRequest, resp.StatusCode)
		must.StrContains(t, readBody(t, resp), c.place)
	}
	resp := r.post(t, "/v1/chat/completions", `{"model":"other","messages":[{"role":"user","content":"x"}]}`)
	must.Eq(t, http.StatusNotFound, resp.StatusCode)
	must.StrContains(t, readBody(t, resp), "model_not_found")
	must.StrContains(t, readBody(t, r.send(t, http.MethodGet, "/v1/models", "", http.Header{"X-Api-Key": {testKey}})), `"id":"m"`)
}

// TestSlowReaderIsCutOff requests a response that is larger than the sockets'
// buffers and doesn't read it. The write deadline must end the request.
func TestSlowReaderIsCutOff(t *testing.T) {
	s := newService(t)
	r := newTestGateway(t, func(o *sycgateway.Options) { o.Limits.Write = 50 * time.Millisecond }, serviceTarget("service1", s.URL()))
	r.state = applyRecords(t, r.state, record{"route", "slots", map[string]any{
		"prefix": "/slots", "type": "service", "service": "slots", "repeatable": true, "timeout": "1m",
	}})
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	body := strings.Repeat("x", 8<<20-1)
	fmt.Fprintf(conn, "POST /slots/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	for {
		r.chooser.mu.Lock()
		results := slices.Clone(r.chooser.results)
		r.chooser.mu.Unlock()
		if len(results) > 0 {
			must.Eq(t, sycwork.Cancelled, results[0].Outcome)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHalfClosedClientGetsNoEmptyResponse closes the client's sending side after
// the request. The gateway then sees the client as gone, but must not send an empty
// response that looks complete.
func TestHalfClosedClientGetsNoEmptyResponse(t *testing.T) {
	r := newTestGateway(t, nil, serviceTarget("service1", newService(t).URL()))
	for range 5 {
		conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
		must.NoError(t, err)
		fmt.Fprintf(conn, "GET /slots/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			must.StrContains(t, readBody(t, resp), "attempt")
		}
		must.NoError(t, conn.Close())
	}
}

// TestLongServiceResponseIsStreamed checks that a response over the buffer limit
// arrives complete, and that one whose connection to the service breaks off doesn't
// look complete to the client.
func TestLongServiceResponseIsStreamed(t *testing.T) {
	s := newService(t)
	r := newTestGateway(t, func(o *sycgateway.Options) { o.Limits.Answer = 10 }, serviceTarget("service1", s.URL()))
	proxy := newProxy(t, s.Address())
	cut := newTestGateway(t, func(o *sycgateway.Options) { o.Limits.Answer = 10 }, serviceTarget("service1", proxy.URL()))
	long := strings.Repeat("long ", 4000)
	must.StrContains(t, readBody(t, r.post(t, "/slots/x", long)), long)
	s.SetFaults(sycservice.Faults{})
	const tries = 5
	for try := range tries {
		proxy.Set(sycfault.Fault{TruncateAfter: int64(1000 + try*1000)})
		req, err := http.NewRequest(http.MethodPost, cut.server.URL+"/slots/x", strings.NewReader(long))
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			must.NoError(t, resp.Body.Close())
		}
		must.Error(t, err)
	}
	t.Logf("%d long answers cut, 0 ended cleanly", tries)
}
