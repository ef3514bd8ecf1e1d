// Package sycdial opens a VM's outgoing connections from the VM's own address,
// so that the other side sees which VM calls.
package sycdial

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	// DefaultTimeout bounds the time to open a connection.
	DefaultTimeout = 2 * time.Second
	// idleTime is how long an idle connection is kept.
	idleTime = time.Minute
	// bindNoPort is IP_BIND_ADDRESS_NO_PORT: the port is chosen when the
	// connection is made, so that ports are unique per destination only.
	bindNoPort = 24
)

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a function that opens TCP connections from the given IP number
// within the timeout.
func From(source netip.Addr, timeout time.Duration) Func {
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)),
		Control:   delayPort,
	}
	return dialer.DialContext
}

func delayPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option connections still work, with fewer ports.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindNoPort, 1)
	})
}

// Transport returns an HTTP transport whose connections the function opens. It
// uses no proxy and keeps up to the given number of idle connections to each host.
func Transport(dial Func, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTime,
	}
}
