package sycwire_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// identify reads the ID of a response from its header Id. Responses of runs always bear one.
func identify(h http.Header) sycwire.Identity {
	return sycwire.Identity{ID: h.Get("Id"), Required: h.Get("Run") != ""}
}

// sent is a request whose response bears the request's ID, if it has one.
type sent struct {
	id    string
	class sycwire.Class
	// shed is set if the response bears no ID although the request has one.
	shed bool
}

// send sends a request and returns the number of its connection and the response.
func (s sent) send(t *testing.T, client *sycwire.Client, e *endpoint) (number uint64, response *sycwire.Response) {
	t.Helper()
	r := request(e)
	r.ID, r.Class, r.Identify, r.Header = s.id, s.class, identify, http.Header{}
	if !s.shed {
		r.Header.Set("Id", s.id)
	}
	r.Proceed = func(c sycwire.Connection) bool { number = c.Number; return true }
	response, err := client.Do(t.Context(), r)
	must.NoError(t, err)
	response.Discard()
	must.NoError(t, response.Close())
	return number, response
}

// TestNoIDIsSentTwiceOnAConnection guards against a request whose response can't be told apart from a late
// copy of the response to an earlier send of the same request.
func TestNoIDIsSentTwiceOnAConnection(t *testing.T) {
	e := startEchoingEndpoint(t)
	client := newClient(t)
	first, _ := sent{id: "a"}.send(t, client, e)
	other, _ := sent{id: "b"}.send(t, client, e)
	again, _ := sent{id: "a"}.send(t, client, e)
	must.Eq(t, first, other)
	must.NotEq(t, first, again)
	// Both connections are kept for others.
	last, _ := sent{id: "c"}.send(t, client, e)
	must.Eq(t, again, last)
	must.Eq(t, 2, e.conns.Load())
}

// TestConnectionTakesABoundedNumberOfIDs guards against a connection whose IDs take memory without bound, or
// that forgets one of them.
func TestConnectionTakesABoundedNumberOfIDs(t *testing.T) {
	const limit = 1024
	e := startEchoingEndpoint(t)
	client := newClient(t)
	first, _ := sent{id: "0"}.send(t, client, e)
	for i := 1; i < limit; i++ {
		number, _ := sent{id: fmt.Sprint(i)}.send(t, client, e)
		must.Eq(t, first, number)
	}
	number, _ := sent{id: "0"}.send(t, client, e)
	must.NotEq(t, first, number)
	must.Eq(t, 2, e.conns.Load())
}

// startEchoingEndpoint starts an endpoint whose responses bear the ID of their request, empty if it has none.
func startEchoingEndpoint(t *testing.T) *endpoint {
	t.Helper()
	return startEndpointWith(t, func(conn *net.TCPConn, r *http.Request) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
}

// TestStrayResponseIsDiscarded guards against a response that is taken for that to another request, by its
// ID or because it lacks one.
func TestStrayResponseIsDiscarded(t *testing.T) {
	const run = "Run: 1\r\n"
	tests := []struct {
		name, stray string
	}{
		{"another ID", "Id: other\r\n"},
		{"another ID of a run", "Id: other\r\n" + run},
		{"a run without an ID", run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEndpointWith(t, func(conn *net.TCPConn, r *http.Request) bool {
				text := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
				if r.Header.Get("Id") == "b" {
					text = "HTTP/1.1 503 Full\r\n" + tt.stray + "Content-Length: 5\r\n\r\nstray" + text
				}
				_, err := io.WriteString(conn, text)
				return err == nil
			})
			client := newClient(t)
			first, _ := sent{id: "a"}.send(t, client, e)
			second, response := sent{id: "b"}.send(t, client, e)
			must.Eq(t, first, second)
			must.Eq(t, http.StatusOK, response.Status)
			must.Eq(t, "b", strings.Join(response.Header.Values("Id"), ","))
		})
	}
}

// TestConnectionAfterAResponseWithoutID guards against a request on a connection on which a late copy of a response
// without an ID would be taken for the one to it, and against connections that are given up needlessly.
func TestConnectionAfterAResponseWithoutID(t *testing.T) {
	caller, other, report, order := sent{id: "a"}, sent{id: "b"}, sent{class: "reports"}, sent{}
	tests := []struct {
		name          string
		first, second sent
		reused        bool
	}{
		{"two with IDs", caller, other, true},
		{"a shed", sent{id: "a", shed: true}, other, false},
		{"a shed before a call", sent{id: "a", shed: true}, report, false},
		{"a call after one with an ID", caller, report, true},
		{"an order after one with an ID", caller, order, true},
		{"a call's answer", report, other, false},
		{"an order's answer", order, other, false},
		{"an order's answer before a call", order, report, false},
		{"two orders", order, order, false},
		{"two of a class", report, report, true},
		{"two of different classes", report, sent{class: "events"}, false},
		{"an order after a call", report, order, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEchoingEndpoint(t)
			client := newClient(t)
			tt.first.send(t, client, e)
			tt.second.send(t, client, e)
			must.Eq(t, tt.reused, e.conns.Load() == 1)
		})
	}
}

// TestCallsOfAClassStayOnTheirConnection guards against calls that take the connections of requests with an ID one
// after the other, although their own is idle.
func TestCallsOfAClassStayOnTheirConnection(t *testing.T) {
	e := startEchoingEndpoint(t)
	client := newClient(t)
	for i := range 6 {
		sent{id: fmt.Sprint(i)}.send(t, client, e)
		sent{class: "reports"}.send(t, client, e)
	}
	must.Eq(t, 2, e.conns.Load())
}

// TestManyStrayResponsesAreGivenUp guards against an endpoint whose copies are read for ever, and against a request that
// counts as not sent because of them.
func TestManyStrayResponsesAreGivenUp(t *testing.T) {
	e := startEndpoint(t, func(conn *net.TCPConn) bool {
		_, err := io.WriteString(conn, strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", 3))
		return err == nil
	})
	r := request(e)
	r.ID, r.Identify = "a", identify
	_, err := newClient(t).Do(t.Context(), r)
	var send *sycwire.SendError
	must.True(t, errors.As(err, &send))
	must.True(t, send.Sent)
}
