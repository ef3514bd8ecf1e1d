package sycpeer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// bytesReceived counts the bytes received from peers, including TLS overhead.
	bytesReceived = metrics.GetOrCreateCounter(`sycamorecart_peer_bytes_total{direction="received"}`)
	// bytesSent counts the bytes sent to peers, including TLS overhead.
	bytesSent = metrics.GetOrCreateCounter(`sycamorecart_peer_bytes_total{direction="sent"}`)
)

// countedConn counts the bytes received and sent on a connection between VMs.
type countedConn struct {
	net.Conn
}

func newCountedConn(c net.Conn) net.Conn { return countedConn{Conn: c} }

// Read reads from the connection and counts the bytes received.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesReceived.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesSent.Add(n)
	return n, err
}
