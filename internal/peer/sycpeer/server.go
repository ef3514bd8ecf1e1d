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

// acceptPause is the wait after a failed accept, such as for want of file
// descriptors.
const acceptPause = 50 * time.Millisecond

var (
	rejectedCertificate = metrics.GetOrCreateCounter(`sycamorecart_peer_rejected_total{reason="certificate"}`)
	rejectedConns       = metrics.GetOrCreateCounter(`sycamorecart_peer_rejected_total{reason="connections"}`)
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Listener is owned by the server from New on.
	Listener net.Listener
	// TLS is nil for plain TCP, which only loopback addresses may use.
	TLS      *tls.Config
	Handlers Handlers
	Limits   Limits
}

// Server answers the calls of other VMs.
type Server struct {
	tomb     tomb.Tomb
	listener net.Listener
	tls      *tls.Config
	limits   Limits
	rpc      *drpcserver.Server
	// conns holds one entry per open connection.
	conns chan struct{}
}

// NewServer starts to serve. It fails with *AddressError when the listener's
// address may not be used.
func NewServer(o ServerOptions) (*Server, error) {
	if err := checkAddress(o.Listener.Addr().String(), o.TLS); err != nil {
		return nil, err
	}
	limits := o.Limits.Defaults()
	mux := drpcmux.New()
	calls := &service{
		handlers: o.Handlers,
		timeout:  limits.CallTimeout,
		slots:    make(chan struct{}, limits.ServerCalls),
	}
	if err := sycpeerpb.DRPCRegisterPeer(mux, calls); err != nil {
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

func managerOptions(l Limits) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: l.MaxMessage},
		SoftCancel: true,
	}
}

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops to serve, ends all connections and waits for their goroutines.
// It may be called again.
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

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.start(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) || !s.tomb.Alive() {
			return nil
		}
		logrus.Warnf("peer: accept failed: %v", err)
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(acceptPause):
		}
	}
}

func (s *Server) start(conn net.Conn) {
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

// serve runs one connection until its peer or the server ends it.
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
		rejectedCertificate.Inc()
		logrus.Warnf("peer: turned away %s: %v", conn.RemoteAddr(), err)
		return
	}
	_ = s.rpc.ServeOne(ctx, secure)
}
