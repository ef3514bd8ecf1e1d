package sycfault_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newEcho starts a server that sends back every byte it receives, and returns its address.
func newEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// newProxy starts a proxy to an echo server and returns it with a connection through it.
func newProxy(t *testing.T, f sycfault.Fault) (*sycfault.Proxy, net.Conn) {
	t.Helper()
	proxy, err := sycfault.New(newEcho(t), sycfault.Options{Fault: f})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, proxy.Close()) })
	return proxy, dial(t, proxy)
}

// dial opens a connection through the proxy, closed at the end of the test.
func dial(t *testing.T, proxy *sycfault.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends a text and returns what is received until the wait is over or the connection
// ends.
func echo(conn net.Conn, text string, wait time.Duration) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	got := make([]byte, len(text))
	n, err := io.ReadFull(conn, got)
	return string(got[:n]), err
}

const (
	// long is the wait for a response that must arrive.
	long = 20 * time.Second
	// short is the wait for a response that must not arrive.
	short = 100 * time.Millisecond
)

func TestPassesBytesWithLatency(t *testing.T) {
	const latency = 20 * time.Millisecond
	_, conn := newProxy(t, sycfault.Fault{Latency: latency, Jitter: time.Millisecond})
	start := time.Now()
	got, err := echo(conn, "hello", long)
	must.NoError(t, err)
	must.Eq(t, "hello", got)
	must.GreaterEq(t, 2*latency, time.Since(start))
}

func TestFaultsOnOpenConnections(t *testing.T) {
	tests := []struct {
		name  string
		fault sycfault.Fault
		got   string
		// held is set if no response arrives but the connection stays open.
		held bool
		// heals is set if the response arrives once the fault is cleared.
		heals bool
	}{
		{"cut", sycfault.Fault{Cut: true}, "", false, false},
		{"reset", sycfault.Fault{Reset: true}, "", false, false},
		{"truncated", sycfault.Fault{TruncateAfter: 3}, "hel", false, false},
		{"stalled", sycfault.Fault{Stall: true}, "", true, true},
		{"lost to target", sycfault.Fault{LoseToTarget: true}, "", true, false},
		{"lost to client", sycfault.Fault{LoseToClient: true}, "", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			proxy, conn := newProxy(t, sycfault.Fault{})
			_, err := echo(conn, "before", long)
			must.NoError(t, err)
			proxy.Set(tt.fault)
			wait := long
			if tt.held {
				wait = short
			}
			got, err := echo(conn, "hello", wait)
			must.Eq(t, tt.got, got)
			must.Error(t, err)
			var timeout net.Error
			must.Eq(t, tt.held, asTimeout(err, &timeout))
			proxy.Set(sycfault.Fault{})
			if !tt.held {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(long))
			_, err = io.ReadFull(conn, make([]byte, 5))
			must.Eq(t, tt.heals, err == nil)
		})
	}
}

// asTimeout stores err in target if it is a net.Error and reports whether it is a timeout.
func asTimeout(err error, target *net.Error) bool {
	netErr, ok := err.(net.Error)
	*target = netErr
	return ok && netErr.Timeout()
}

func TestCutResetsNewConnections(t *testing.T) {
	proxy, err := sycfault.New(newEcho(t), sycfault.Options{Fault: sycfault.Fault{Cut: true}})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, proxy.Close()) })
	must.Error(t, dialAndEcho(proxy))
	proxy.Set(sycfault.Fault{})
	must.NoError(t, dialAndEcho(proxy))
}

// dialAndEcho opens a connection and echoes a text. Under Cut either step can fail, depending
// on when the reset arrives.
func dialAndEcho(proxy *sycfault.Proxy) error {
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = echo(conn, "hello", long)
	return err
}

func TestSourcesHaveTheirOwnFaults(t *testing.T) {
	names := make(chan string, 2)
	proxy, err := sycfault.New(newEcho(t), sycfault.Options{
		Source: func(net.Conn) string { return <-names },
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, proxy.Close()) })
	conns := map[string]net.Conn{}
	for _, name := range []string{"one", "two"} {
		names <- name
		conns[name] = dial(t, proxy)
		_, err := echo(conns[name], "hello", long)
		must.NoError(t, err)
	}
	proxy.SetFrom("one", sycfault.Fault{Cut: true})
	_, err = echo(conns["one"], "hello", long)
	must.Error(t, err)
	_, err = echo(conns["two"], "hello", long)
	must.NoError(t, err)
	proxy.Set(sycfault.Fault{Cut: true})
	_, err = echo(conns["two"], "hello", long)
	must.Error(t, err)
}

func TestScheduleIsSeeded(t *testing.T) {
	faults := []sycfault.Fault{{Cut: true}, {Stall: true}}
	one := sycfault.Alternate(7, time.Minute, time.Second, faults)
	must.Eq(t, one, sycfault.Alternate(7, time.Minute, time.Second, faults))
	must.NotEq(t, one, sycfault.Alternate(8, time.Minute, time.Second, faults))
	must.Eq(t, sycfault.Fault{}, one[len(one)-1].Fault)

	proxy, conn := newProxy(t, sycfault.Fault{})
	proxy.Schedule([]sycfault.Step{{At: time.Millisecond, Fault: sycfault.Fault{Cut: true}}})
	_ = conn.SetReadDeadline(time.Now().Add(long))
	_, err := conn.Read(make([]byte, 1))
	must.Error(t, err)
	var timeout net.Error
	must.False(t, asTimeout(err, &timeout))
}
