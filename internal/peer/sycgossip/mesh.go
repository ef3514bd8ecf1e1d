// Package sycgossip exchanges the state of VMs several times a second.
//
// Of each pair of VMs the one with the lower address calls and the other
// answers, so that one call carries both ways. A VM that has not heard of
// another for some periods calls whichever way.
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
	// callTimeout bounds one exchange, the dial included.
	callTimeout = 600 * time.Millisecond
	// quietPeriods is the number of periods without a word after which a VM calls
	// one that should have called it.
	quietPeriods = 3
	// userTimeout is when the kernel gives up data that is not acknowledged.
	userTimeout = 1500 * time.Millisecond
)

var (
	callsDone   = metrics.GetOrCreateCounter(`sycamorecart_gossip_calls_total{result="done"}`)
	callsFailed = metrics.GetOrCreateCounter(`sycamorecart_gossip_calls_total{result="failed"}`)
)

// Node is the VM's side of the exchange.
type Node interface {
	// Peers lists the addresses of the other VMs.
	Peers() []string
	// State returns what to tell the VM at that address.
	State(peer string) *sycgossippb.State
	// Receive takes in what another VM tells.
	Receive(s *sycgossippb.State)
	// Answer returns what to answer to another VM's state.
	Answer(s *sycgossippb.State) *sycgossippb.State
}

// Options configures a Mesh.
type Options struct {
	// Listener is owned by the mesh from New on.
	Listener net.Listener
	// Self is this VM's address as others know it.
	Self   string
	Period time.Duration
	Node   Node
}

// Mesh keeps one connection to each other VM.
type Mesh struct {
	tomb    tomb.Tomb
	options Options
	rpc     *drpcserver.Server
	mu      sync.Mutex
	links   map[string]*link
	kick    chan struct{}
}

// link is the connection to another VM; the mesh's mutex guards it.
type link struct {
	conn  *drpcconn.Conn
	busy  bool
	heard time.Time
}

// New starts to exchange.
func New(o Options) (*Mesh, error) {
	mux := drpcmux.New()
	m := &Mesh{
		options: o,
		links:   map[string]*link{},
		kick:    make(chan struct{}, 1),
	}
	if err := sycgossippb.DRPCRegisterGossip(mux, answerer{mesh: m}); err != nil {
		return nil, eris.Wrap(err, "register gossip")
	}
	m.rpc = drpcserver.New(mux)
	m.tomb.Go(m.accept)
	m.tomb.Go(func() error {
		ticker := time.NewTicker(o.Period)
		defer ticker.Stop()
		for {
			all := false
			select {
			case <-m.tomb.Dying():
				return nil
			case <-ticker.C:
			case <-m.kick:
				all = true
			}
			m.round(all)
		}
	})
	return m, nil
}

// Kick tells all other VMs now, whoever's turn it is.
func (m *Mesh) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Close ends all connections and waits for their goroutines.
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

type answerer struct{ mesh *Mesh }

// Exchange implements the call of other VMs.
func (a answerer) Exchange(_ context.Context, in *sycgossippb.State) (*sycgossippb.State, error) {
	a.mesh.noteHeard(in.Address)
	a.mesh.options.Node.Receive(in)
	return a.mesh.options.Node.Answer(in), nil
}

func (m *Mesh) accept() error {
	for {
		conn, err := m.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || !m.tomb.Alive() {
			return nil
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
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

func (m *Mesh) round(all bool) {
	for _, peer := range m.options.Node.Peers() {
		if peer == m.options.Self || !m.begin(peer, all) {
			continue
		}
		m.tomb.Go(func() error {
			m.call(peer)
			return nil
		})
	}
}

// begin reports whether this VM should call the peer now.
func (m *Mesh) begin(peer string, all bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	if l == nil {
		l = &link{}
		m.links[peer] = l
	}
	if l.busy {
		return false
	}
	quiet := time.Since(l.heard) > quietPeriods*m.options.Period
	if !all && !quiet && m.options.Self > peer {
		return false
	}
	l.busy = true
	return true
}

func (m *Mesh) noteHeard(peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[peer]; l != nil {
		l.heard = time.Now()
	}
}

func (m *Mesh) call(peer string) {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	conn, err := m.connect(ctx, peer)
	if err == nil {
		var out *sycgossippb.State
		out, err = sycgossippb.NewDRPCGossipClient(conn).Exchange(ctx, m.options.Node.State(peer))
		if err == nil {
			m.noteHeard(peer)
			m.options.Node.Receive(out)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	l.busy = false
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

func (m *Mesh) connect(ctx context.Context, peer string) (*drpcconn.Conn, error) {
	m.mu.Lock()
	conn := m.links[peer].conn
	m.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Control: limitSilence}
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

// limitSilence makes the kernel end a connection whose data is not acknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option the call's own deadline still holds.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
