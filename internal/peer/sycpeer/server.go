package sycpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// acceptRetryDelay is the wait after a failed accept, for example when the process
// is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

var (
	// rejectedHandshakes counts the connections closed because the TLS handshake
	// failed.
	rejectedHandshakes = metrics.GetOrCreateCounter(`sycamorecart_peer_rejected_total{reason="certificate"}`)
	// rejectedConns counts the connections closed because Limits.ServerConns
	// others were open.
	rejectedConns = metrics.GetOrCreateCounter(`sycamorecart_peer_rejected_total{reason="connections"}`)
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Listener accepts the peers' connections. The server closes it.
	Listener net.Listener
	// TLS configures mutual TLS. If nil, connections are plain TCP, and the
	// listener's address must be loopback.
	TLS *tls.Config
	// Handlers handles the calls.
	Handlers Handlers
	// Limits bounds the server's calls and connections; zero fields get their
	// defaults.
	Limits Limits
}

// Server serves the calls of peers.
type Server struct {
	// tomb stops the server's goroutines and waits for them.
	tomb     tomb.Tomb
	listener net.Listener
	// tls is nil for plain TCP.
	tls    *tls.Config
	limits Limits
	// rpc serves the calls of a connection.
	rpc *drpcserver.Server
	// conns holds one element for each open connection. Its capacity is
	// Limits.ServerConns.
	conns chan struct{}
}

// NewServer starts a server. It fails with *AddressError if TLS is off and the
// listener's address isn't loopback.
func NewServer(o ServerOptions) (*Server, error) {
	if err := checkAddress(o.Listener.Addr().String(), o.TLS); err != nil {
		return nil, err
	}
	limits := o.Limits.Defaults()
	mux := drpcmux.New()
	d := &dispatcher{
		handlers:   o.Handlers,
		timeout:    limits.CallTimeout,
		inProgress: make(chan struct{}, limits.ServerCalls),
	}
	if err := sycpeerpb.DRPCRegisterPeer(mux, d); err != nil {
		return nil, eris.Wrap(err, "register peer calls")
	}
	s := &Server{
		listener: o.Listener,
		tls:      o.TLS,
		limits:   limits,
		rpc:      drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(limits)}),
		conns:    make(chan struct{}, limits.ServerConns),
	}
	s.tomb.Go(s.accept)
	return s, nil
}

// managerOptions returns the options of a drpc connection, for both the client and
// the server. With SoftCancel a canceled call doesn't close its connection.
func managerOptions(l Limits) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: l.MaxMessage},
		SoftCancel: true,
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, and waits for their goroutines.
// It may be called more than once.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	err := s.listener.Close()
	if waitErr := s.tomb.Wait(); waitErr != nil {
		return waitErr
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "close peer listener")
}

// accept starts a goroutine for each accepted connection until the server is closed.
func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.startConn(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) || !s.tomb.Alive() {
			return nil
		}
		logrus.Warnf("peer: accept failed: %v", err)
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(acceptRetryDelay):
		}
	}
}

// startConn serves a connection in a goroutine of its own, or closes it if
// Limits.ServerConns connections are open.
func (s *Server) startConn(conn net.Conn) {
	select {
	case s.conns <- struct{}{}:
	default:
		rejectedConns.Inc()
		_ = conn.Close()
		return
	}
	s.tomb.Go(func() error {
		defer func() { <-s.conns }()
		s.serve(conn)
		return nil
	})
}

// serve serves the calls of one connection until the peer or the server closes it. If
// TLS is on, it makes the handshake first, and closes the connection if that fails or
// takes longer than Limits.CallTimeout.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ctx := s.tomb.Context(context.Background())
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	counted := newCountedConn(conn)
	if s.tls == nil {
		_ = s.rpc.ServeOne(ctx, counted)
		return
	}
	secure := tls.Server(counted, s.tls)
	handshake, cancel := context.WithTimeout(ctx, s.limits.CallTimeout)
	defer cancel()
	if err := secure.HandshakeContext(handshake); err != nil {
		rejectedHandshakes.Inc()
		logrus.Warnf("peer: rejected %s: %v", conn.RemoteAddr(), err)
		return
	}
	_ = s.rpc.ServeOne(ctx, secure)
}
