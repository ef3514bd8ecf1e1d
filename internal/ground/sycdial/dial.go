// Package sycdial opens a VM's outgoing TCP connections from the VM's own IP
// number, so that the other side can tell which VM connects.
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
	// DefaultTimeout is the usual limit of the time to open a connection.
	DefaultTimeout = 2 * time.Second
	// idleTimeout is how long an idle HTTP connection is kept open.
	idleTimeout = time.Minute
	// ipBindAddressNoPort is the socket option IP_BIND_ADDRESS_NO_PORT of Linux.
	// With it, the kernel chooses the source port at connect instead of bind, so
	// that a port can be used for several destinations at once.
	ipBindAddressNoPort = 24
)

// Func opens a connection to an address, like net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a function that opens TCP connections with the given source IP
// number. Opening a connection fails after the timeout.
func From(source netip.Addr, timeout time.Duration) Func {
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)),
		Control:   setBindNoPort,
	}
	return dialer.DialContext
}

// setBindNoPort sets IP_BIND_ADDRESS_NO_PORT on a socket.
func setBindNoPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored: connections work without the option, but fewer can
		// be open at once.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
	})
}

// Transport returns an HTTP transport that opens its connections with dial. It
// uses no proxy, and keeps up to idlePerHost idle connections to each host.
func Transport(dial Func, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}
