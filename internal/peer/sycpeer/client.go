package sycpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcpool"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// TLS configures mutual TLS. If nil, connections are plain TCP, and only
	// loopback addresses may be dialled.
	TLS *tls.Config
	// Limits bounds the client's calls; zero fields get their defaults.
	Limits Limits
	// Dial opens a connection to a peer's address. If nil, the client uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client makes RPCs to peers, each identified by its peer address (IP number and
// port). It is safe for concurrent use.
type Client struct {
	// tls is nil for plain TCP.
	tls    *tls.Config
	limits Limits
	// dial opens a connection, without the TLS handshake.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// pool keeps idle connections by peer address.
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// limiter limits the calls to each peer.
	limiter *callLimiter
}

// NewClient returns a client without open connections. Each peer is dialled at
// the first RPC to it.
func NewClient(o ClientOptions) *Client {
	limits := o.Limits.Defaults()
	c := &Client{
		tls:    o.TLS,
		limits: limits,
		dial:   o.Dial,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  limits.IdleTimeout,
			KeyCapacity: limits.CallsPerPeer,
		}),
		limiter: newCallLimiter(limits),
	}
	if c.dial == nil {
		c.dial = dialTCP
	}
	return c
}

// Close closes all pooled connections. Errors of closing are ignored, because a
// peer may already have reset a connection.
func (c *Client) Close() error {
	c.pool.Close()
	return nil
}

// Hello introduces this VM to a peer, which replies with the peers it knows.
func (c *Client) Hello(ctx context.Context, address string, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	return call(ctx, c, address, "Hello", in, sycpeerpb.DRPCPeerClient.Hello)
}

// RecordsFrom reads records of a log stream from one peer's copy.
func (c *Client) RecordsFrom(ctx context.Context, address string, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	return call(ctx, c, address, "Records", in, sycpeerpb.DRPCPeerClient.Records)
}

// SnapshotFrom reads one chunk of a peer's snapshot of a log stream.
func (c *Client) SnapshotFrom(ctx context.Context, address string, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	return call(ctx, c, address, "Snapshot", in, sycpeerpb.DRPCPeerClient.Snapshot)
}

// Borrow asks a peer to lend permits of the rate limiter to this VM.
func (c *Client) Borrow(ctx context.Context, address string, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	return call(ctx, c, address, "Borrow", in, sycpeerpb.DRPCPeerClient.Borrow)
}

// Share sends a digest of load, service and evidence to a peer.
func (c *Client) Share(ctx context.Context, address string, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	return call(ctx, c, address, "Share", in, sycpeerpb.DRPCPeerClient.Share)
}

// Outcome asks a peer for the outcome of an HTTP request that the peer ran under a
// claim of its own.
func (c *Client) Outcome(ctx context.Context, address string, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	return call(ctx, c, address, "Outcome", in, sycpeerpb.DRPCPeerClient.Outcome)
}

// call makes one RPC within the client's limits, and traces and counts it. f is the
// generated client's method, and name is its name. If the RPC isn't allowed, nothing
// is sent and the error is *AddressError, *BackoffError or *BusyError.
func call[I, O any](ctx context.Context, c *Client, address, name string, in *I,
	f func(sycpeerpb.DRPCPeerClient, context.Context, *I) (*O, error),
) (*O, error) {
	if err := checkAddress(address, c.tls); err != nil {
		return nil, err
	}
	peer, err := c.limiter.acquire(address, time.Now())
	if err != nil {
		countCall("client", name, "held")
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.limits.CallTimeout)
	defer cancel()
	ctx, span := startClientSpan(ctx, name)
	defer span.End()
	conn := c.pool.Get(ctx, address, c.connect)
	out, err := f(sycpeerpb.NewDRPCPeerClient(conn), ctx, in)
	peer.release(reachable(err), time.Now())
	countCall("client", name, result(err))
	if err != nil {
		span.RecordError(err)
		return nil, eris.Wrapf(err, "call %s of peer %s", name, address)
	}
	return out, nil
}

// reachable reports whether the RPC's result does not count as a failure of the
// peer: it succeeded, the peer answered with an error, or the caller canceled it.
func reachable(err error) bool {
	return err == nil || drpcerr.Code(err) != 0 || errors.Is(err, context.Canceled)
}

// connect dials a peer, and makes the TLS handshake if TLS is configured.
func (c *Client) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	var transport drpc.Transport = newCountedConn(raw)
	if c.tls != nil {
		secure := tls.Client(newCountedConn(raw), c.tls)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrap(err, "handshake")
		}
		transport = secure
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions(c.limits)}), nil
}

// dialTCP is the default of ClientOptions.Dial.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
