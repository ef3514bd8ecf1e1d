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
	// TLS is nil for plain TCP, which may dial loopback only.
	TLS    *tls.Config
	Limits Limits
	// Dial replaces the TCP dialler when it is not nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls other VMs by their peer address. It is safe for concurrent use.
type Client struct {
	tls    *tls.Config
	limits Limits
	dial   func(ctx context.Context, address string) (net.Conn, error)
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	gates  *gates
}

// NewClient returns a client without connections; the first call to a peer
// dials it.
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
		gates: newGates(limits),
	}
	if c.dial == nil {
		c.dial = dialTCP
	}
	return c
}

// Close ends all pooled connections. That a peer has already reset one of them
// is no error.
func (c *Client) Close() error {
	c.pool.Close()
	return nil
}

// Hello introduces this VM to a peer.
func (c *Client) Hello(ctx context.Context, address string, in *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	return call(ctx, c, address, "Hello", in, sycpeerpb.DRPCPeerClient.Hello)
}

// RecordsFrom reads log records from one peer.
func (c *Client) RecordsFrom(ctx context.Context, address string, in *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	return call(ctx, c, address, "Records", in, sycpeerpb.DRPCPeerClient.Records)
}

// SnapshotFrom reads a chunk of a snapshot from one peer.
func (c *Client) SnapshotFrom(ctx context.Context, address string, in *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	return call(ctx, c, address, "Snapshot", in, sycpeerpb.DRPCPeerClient.Snapshot)
}

// Borrow asks a peer for rate tokens.
func (c *Client) Borrow(ctx context.Context, address string, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	return call(ctx, c, address, "Borrow", in, sycpeerpb.DRPCPeerClient.Borrow)
}

// Share sends a digest to a peer.
func (c *Client) Share(ctx context.Context, address string, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	return call(ctx, c, address, "Share", in, sycpeerpb.DRPCPeerClient.Share)
}

// Outcome asks a peer about an idempotency claim.
func (c *Client) Outcome(ctx context.Context, address string, in *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	return call(ctx, c, address, "Outcome", in, sycpeerpb.DRPCPeerClient.Outcome)
}

// call runs one call under the client's bounds. It fails with *AddressError,
// *BackoffError or *BusyError when nothing was sent.
func call[I, O any](ctx context.Context, c *Client, address, name string, in *I,
	f func(sycpeerpb.DRPCPeerClient, context.Context, *I) (*O, error),
) (*O, error) {
	if err := checkAddress(address, c.tls); err != nil {
		return nil, err
	}
	gate, err := c.gates.enter(address, time.Now())
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
	gate.leave(reachable(err), time.Now())
	countCall("client", name, result(err))
	if err != nil {
		span.RecordError(err)
		return nil, eris.Wrapf(err, "call %s of peer %s", name, address)
	}
	return out, nil
}

// reachable reports whether the peer itself answered, or the caller stopped
// waiting for it; neither counts as a failure of the peer.
func reachable(err error) bool {
	return err == nil || drpcerr.Code(err) != 0 || errors.Is(err, context.Canceled)
}

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

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
