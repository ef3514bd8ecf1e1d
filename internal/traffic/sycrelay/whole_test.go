package sycrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowBody is a request's body that comes in pieces, with a pause before each.
type slowBody struct {
	pieces []string
	pause  time.Duration
}

// Read returns the next piece.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][n:]; b.pieces[0] == "" {
		b.pieces = b.pieces[1:]
	}
	return n, nil
}

// TestRejectedCallerMaySendItsBody guards against a caller that gets a reset instead of a rejection: it
// sends its whole body before it reads, slowly, and this VM rejects it before it has read that.
func TestRejectedCallerMaySendItsBody(t *testing.T) {
	const pieces, gap = 16, 100 * time.Millisecond
	for _, status := range []string{"404", "503"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 1, reset)
			if status == "503" {
				r.config = nil
			}
			conn, err := net.Dial("tcp", r.address)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			piece := rigLong[:len(rigLong)/4]
			_, err = fmt.Fprintf(conn, "POST /none/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*len(piece))
			must.NoError(t, err)
			for range pieces {
				time.Sleep(gap)
				_, err = io.WriteString(conn, piece)
				must.NoError(t, err)
			}
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			_, err = io.ReadAll(answer.Body)
			must.NoError(t, err)
			must.StrHasPrefix(t, status, answer.Status)
			must.False(t, answer.Close)
		})
	}
}

// TestWholeRequestGetsAnAnswer guards against a request that was read whole and gets neither an answer nor
// a refusal though an endpoint was sound. An answer that its endpoint broke off after it had begun must
// not look whole. After each whole answer the connection must serve a further request.
func TestWholeRequestGetsAnAnswer(t *testing.T) {
	full, echo := answerWith(0, http.StatusServiceUnavailable, "Not-Run", ""), answerWith(0, http.StatusOK, "", "answer")
	late := func(w http.ResponseWriter, r *http.Request, first int) {
		pause(r, longSilence)
		streamWith()(w, r, first)
	}
	tests := []struct {
		name, path string
		endpoints  []rigEndpoint
		// body is the request's, nil for none. It is sent in chunks.
		body   io.Reader
		status int
		// answer is the whole answer, empty for any. It must be cut if cut is set.
		answer string
		cut    bool
	}{
		{"once, silent before", "/once/1", []rigEndpoint{answerWith(longSilence, 200, "", "answer"), full}, nil, 200, "answer", false},
		{"once, silent before the buffer is full", "/once/2", []rigEndpoint{longAnswer(0, longSilence, 0), full}, nil, 200, rigLong, false},
		{"once, silent after the buffer is full", "/once/3", []rigEndpoint{longAnswer(0, 0, longSilence), full}, nil, 200, rigLong, false},
		{"once, broken before", "/once/4", []rigEndpoint{reset, echo}, nil, 502, "", false},
		{"once, broken before the buffer is full", "/once/5", []rigEndpoint{longAnswer(0, broken, 0), echo}, nil, 502, "", false},
		{"once, broken after the buffer is full", "/once/6", []rigEndpoint{longAnswer(0, 0, broken), echo}, nil, 200, rigLong, true},
		{"once, full", "/once/7", []rigEndpoint{full, full}, nil, 503, "", false},
		{"call, silent before, other full", "/call/1", []rigEndpoint{answerWith(longSilence, 200, "", "answer"), full}, nil, 502, "", false},
		{"call, silent before the buffer is full", "/call/2", []rigEndpoint{longAnswer(0, longSilence, 0), full}, nil, 200, rigLong, false},
		{"call, silent after the buffer is full", "/call/3", []rigEndpoint{longAnswer(0, 0, longSilence), full}, nil, 200, rigLong, false},
		{"call, broken before", "/call/4", []rigEndpoint{reset, echo}, nil, 200, "answer", false},
		{"call, broken before the buffer is full", "/call/5", []rigEndpoint{longAnswer(0, broken, 0), echo}, nil, 200, "answer", false},
		{"call, broken after the buffer is full", "/call/6", []rigEndpoint{longAnswer(0, 0, broken), echo}, nil, 200, rigLong, true},
		{"call, broken, other full", "/call/7", []rigEndpoint{reset, full}, nil, 502, "", false},
		{"single, silent before", "/single/1", []rigEndpoint{late, full}, nil, 200, rigStream, false},
		{"single, silent after an event", "/single/2", []rigEndpoint{streamWith(longSilence), full}, nil, 200, rigStream, false},
		{"single, broken before", "/single/3", []rigEndpoint{reset, streamWith()}, nil, 502, "", false},
		{"single, broken after an event", "/single/4", []rigEndpoint{streamWith(broken), streamWith()}, nil, 200, rigStream, true},
		{"stream, silent before, other full", "/stream/1", []rigEndpoint{late, full}, nil, 502, "", false},
		{"stream, silent after an event, other full", "/stream/2", []rigEndpoint{streamWith(longSilence), full}, nil, 200, rigStream, false},
		{"stream, broken before", "/stream/3", []rigEndpoint{reset, streamWith()}, nil, 200, rigStream, false},
		{"stream, broken after an event", "/stream/4", []rigEndpoint{streamWith(broken), streamWith()}, nil, 200, rigStream, false},
		{"stream, broken after an event, other full", "/stream/5", []rigEndpoint{streamWith(broken), full}, nil, 200, rigStream, true},
		{"large body", "/once/8", []rigEndpoint{echo}, strings.NewReader(strings.Repeat(rigLong, 8)), 200, "answer", false},
		{"slow body", "/once/9", []rigEndpoint{echo}, &slowBody{[]string{"a", "b", "c"}, longSilence / 2}, 200, "answer", false},
		{"large body, endpoint doesn't read it", "/once/10", []rigEndpoint{full}, strings.NewReader(strings.Repeat(rigLong, 8)), 503, "", false},
		{"unknown route, large body", "/none/1", []rigEndpoint{full}, strings.NewReader(strings.Repeat(rigLong, 8)), 404, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, tt.endpoints...)
			transport := &http.Transport{DisableCompression: true}
			t.Cleanup(transport.CloseIdleConnections)
			reused := false
			for i, body := range []io.Reader{tt.body, nil} {
				trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
				ctx := httptrace.WithClientTrace(t.Context(), trace)
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+tt.path, body)
				must.NoError(t, err)
				request.ContentLength = -1
				if body == nil {
					request.ContentLength = 0
				}
				answer, err := transport.RoundTrip(request)
				must.NoError(t, err)
				data, err := io.ReadAll(answer.Body)
				must.NoError(t, answer.Body.Close())
				must.Eq(t, tt.status, answer.StatusCode)
				must.Eq(t, tt.cut, err != nil)
				if tt.answer != "" {
					must.Eq(t, tt.cut, string(data) != tt.answer)
				}
				must.Eq(t, i == 1 && !tt.cut, reused)
			}
		})
	}
}
