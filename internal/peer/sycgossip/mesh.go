// Package sycgossip exchanges state between the VMs of a deployment by gossip,
// several times a second. The state of a VM includes its requests at each endpoint,
// the usage of its customers, its newest log records and the rollouts it knows.
//
// In an exchange, one VM sends its state to another VM, a peer, in an RPC and
// receives the peer's state in the reply. The node decides which peers it calls.
package sycgossip

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// exchangeTimeout limits one exchange, including the dial.
	exchangeTimeout = 600 * time.Millisecond
	// minKickPause is the least time between two exchanges with all peers outside the
	// periods.
	minKickPause = 20 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	tcpUserTimeout = 1500 * time.Millisecond
	// acceptRetryDelay is the wait after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

var (
	// callsDone counts the exchanges started by this VM that succeeded.
	callsDone = metrics.GetOrCreateCounter(`sycamorecart_gossip_calls_total{result="done"}`)
	// callsFailed counts the exchanges started by this VM that failed.
	callsFailed = metrics.GetOrCreateCounter(`sycamorecart_gossip_calls_total{result="failed"}`)
)

// Node provides the state of this VM, and applies the state received from peers.
// Its methods are called from several goroutines.
type Node interface {
	// Period returns the time until the next exchange with the peers.
	Period() time.Duration
	// Peers returns the addresses of the VMs to call now. With all set these are all
	// peers, else those whose turn it is. This VM's own address is ignored.
	Peers(all bool) []string
	// State returns the state to send to the peer with the given address.
	State(peer string) *sycgossippb.State
	// Receive applies state that a peer sent, in a request or in a reply.
	Receive(s *sycgossippb.State)
	// Answered records that a peer has answered a call of this VM.
	Answered(peer string)
	// Answer returns the state to reply to a peer that sent the state s.
	Answer(s *sycgossippb.State) *sycgossippb.State
}

// Options configures a Mesh.
type Options struct {
	// Listener accepts connections of peers. The mesh closes it.
	Listener net.Listener
	// Self is this VM's address, by which peers call it.
	Self string
	// Node provides and applies the state.
	Node Node
}

// Mesh exchanges state with all peers. It keeps one connection to each peer that
// it calls.
type Mesh struct {
	// tomb stops the mesh's goroutines and waits for them.
	tomb    tomb.Tomb
	options Options
	// rpc serves the calls of peers.
	rpc *drpcserver.Server
	// mu guards links.
	mu sync.Mutex
	// links has the link to each peer by the peer's address.
	links map[string]*link
	// kick wakes the mesh for an immediate exchange with all peers.
	kick chan struct{}
}

// link is the state of the exchanges with one peer. The mutex of the mesh guards
// it.
type link struct {
	// conn is the connection for calls to the peer, nil if there's none.
	conn *drpcconn.Conn
	// calling is set while a call to the peer is in progress.
	calling bool
}

// New starts a mesh, which exchanges state with each peer once a period.
func New(o Options) (*Mesh, error) {
	mux := drpcmux.New()
	m := &Mesh{
		options: o,
		links:   map[string]*link{},
		kick:    make(chan struct{}, 1),
	}
	if err := sycgossippb.DRPCRegisterGossip(mux, gossipServer{mesh: m}); err != nil {
		return nil, eris.Wrap(err, "register gossip")
	}
	m.rpc = drpcserver.New(mux)
	m.tomb.Go(m.accept)
	m.tomb.Go(func() error {
		timer := time.NewTimer(o.Node.Period())
		defer timer.Stop()
		for {
			select {
			case <-m.tomb.Dying():
				return nil
			case <-timer.C:
				m.startCalls(false)
				timer.Reset(o.Node.Period())
			case <-m.kick:
				m.startCalls(true)
				m.pause(minKickPause)
			}
		}
	})
	return m, nil
}

// pause waits for a time or until the mesh is closed.
func (m *Mesh) pause(d time.Duration) {
	select {
	case <-m.tomb.Dying():
	case <-time.After(d):
	}
}

// Kick starts an exchange with all peers now, or soon if there has just been one. Peers
// with a call in progress are left out. Kick doesn't wait for the exchanges.
func (m *Mesh) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Calls returns how many exchanges this process has started that succeeded, and how many that
// failed.
func Calls() (done, failed uint64) { return callsDone.Get(), callsFailed.Get() }

// Close closes the listener and all connections, and waits for their goroutines.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	_ = m.options.Listener.Close()
	m.mu.Lock()
	for _, l := range m.links {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
	m.mu.Unlock()
	return m.tomb.Wait()
}

// gossipServer implements the generated server interface.
type gossipServer struct{ mesh *Mesh }

// Exchange applies a peer's state and returns this VM's state.
func (s gossipServer) Exchange(_ context.Context, in *sycgossippb.State) (*sycgossippb.State, error) {
	s.mesh.options.Node.Receive(in)
	return s.mesh.options.Node.Answer(in), nil
}

// accept serves each accepted connection in a goroutine of its own until the mesh
// is closed.
func (m *Mesh) accept() error {
	for {
		conn, err := m.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || !m.tomb.Alive() {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		m.tomb.Go(func() error {
			ctx := m.tomb.Context(context.Background())
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			_ = m.rpc.ServeOne(ctx, conn)
			_ = conn.Close()
			return nil
		})
	}
}

// startCalls starts a call to each peer that the node wants to call now, or to all its peers.
// Peers with a call in progress are left out.
func (m *Mesh) startCalls(all bool) {
	for _, peer := range m.options.Node.Peers(all) {
		if peer == m.options.Self || !m.markCalling(peer) {
			continue
		}
		m.tomb.Go(func() error {
			m.call(peer)
			return nil
		})
	}
}

// markCalling marks a call to the peer as in progress. It returns false if another one is.
func (m *Mesh) markCalling(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	if l == nil {
		l = &link{}
		m.links[peer] = l
	}
	if l.calling {
		return false
	}
	l.calling = true
	return true
}

// call makes one exchange with a peer. If it fails, the connection is closed.
func (m *Mesh) call(peer string) {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), exchangeTimeout)
	defer cancel()
	conn, err := m.connect(ctx, peer)
	if err == nil {
		var out *sycgossippb.State
		out, err = sycgossippb.NewDRPCGossipClient(conn).Exchange(ctx, m.options.Node.State(peer))
		if err == nil {
			m.options.Node.Receive(out)
			m.options.Node.Answered(peer)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	l.calling = false
	if err == nil {
		callsDone.Inc()
		return
	}
	callsFailed.Inc()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// connect returns the connection for calls to a peer, and dials it if there's none.
func (m *Mesh) connect(ctx context.Context, peer string) (*drpcconn.Conn, error) {
	m.mu.Lock()
	conn := m.links[peer].conn
	m.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	conn = drpcconn.New(raw)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[peer].conn = conn
	return conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket, so that the kernel closes a
// connection whose peer doesn't acknowledge data.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored, because each exchange also has a deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
