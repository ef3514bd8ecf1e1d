// Package sycfault is a TCP proxy that injects faults between two processes.
package sycfault

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

const (
	anyAddress  = "127.0.0.1:0"
	dialTimeout = 5 * time.Second
	// acceptPause is the time between a failed accept and the next.
	acceptPause = 10 * time.Millisecond
)

// Options configures a proxy.
type Options struct {
	// Address is where to listen; empty takes a free loopback port.
	Address string
	// Seed seeds the jitter.
	Seed uint64
	// Fault is in force from the start.
	Fault Fault
	// Source names the client of a connection, so that SetFrom can tell clients
	// apart; nil names none.
	Source func(client net.Conn) string
}

// Proxy passes connections on to its target.
type Proxy struct {
	tomb     tomb.Tomb
	listener net.Listener
	target   string
	source   func(net.Conn) string

	mu    sync.Mutex
	rng   *rand.Rand
	fault Fault
	// from holds the faults of the sources that have one of their own.
	from map[string]Fault
	// changed is closed and replaced whenever a fault changes.
	changed chan struct{}
	// links holds the open connections.
	links map[*link]struct{}
}

// New listens and passes connections on to the target, a host:port.
func New(target string, o Options) (*Proxy, error) {
	if o.Address == "" {
		o.Address = anyAddress
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "fault proxy: listen on %s", o.Address)
	}
	p := &Proxy{
		listener: listener,
		target:   target,
		source:   o.Source,
		from:     map[string]Fault{},
		rng:      rand.New(rand.NewPCG(o.Seed, 2)),
		fault:    o.Fault,
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	p.tomb.Go(p.accept)
	return p, nil
}

// Address is the address that the proxy listens on, as host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// URL is the proxy's address as a base URL.
func (p *Proxy) URL() string { return "http://" + p.Address() }

// Set replaces the fault of the connections whose source has none of its own.
func (p *Proxy) Set(f Fault) {
	p.change(func() { p.fault = f })
}

// SetFrom gives the connections from a source a fault of their own.
func (p *Proxy) SetFrom(source string, f Fault) {
	p.change(func() { p.from[source] = f })
}

// change applies a change of the faults to the open connections.
func (p *Proxy) change(apply func()) {
	p.mu.Lock()
	before := make(map[*link]Fault, len(p.links))
	for l := range p.links {
		before[l] = p.faultOf(l.source)
	}
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
	after := make(map[*link]Fault, len(p.links))
	for l := range p.links {
		after[l] = p.faultOf(l.source)
	}
	p.forgetResets()
	p.mu.Unlock()
	for l, fault := range after {
		if fault != before[l] {
			l.faultChanged(fault)
		}
	}
}

// forgetResets keeps a reset from being repeated. The caller holds mu.
func (p *Proxy) forgetResets() {
	p.fault.Reset = false
	for source, f := range p.from {
		f.Reset = false
		p.from[source] = f
	}
}

// faultOf is the fault of a source. The caller holds mu.
func (p *Proxy) faultOf(source string) Fault {
	if f, ok := p.from[source]; ok {
		return f
	}
	return p.fault
}

// Schedule sets the faults of the steps at their times, in the background.
func (p *Proxy) Schedule(steps []Step) {
	start := time.Now()
	p.tomb.Go(func() error {
		for _, step := range steps {
			if !p.sleep(time.Until(start.Add(step.At))) {
				return nil
			}
			p.Set(step.Fault)
		}
		return nil
	})
}

// Close drops all connections and waits for the goroutines.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	err := p.listener.Close()
	p.mu.Lock()
	links := p.open()
	p.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
	if werr := p.tomb.Wait(); werr != nil {
		return werr
	}
	return err
}

// open lists the open links. The caller holds mu.
func (p *Proxy) open() []*link {
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) current(source string) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(source), p.changed
}

// delay is the latency of one piece.
func (p *Proxy) delay(source string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faultOf(source)
	d := f.Latency
	if f.Jitter > 0 {
		d += time.Duration(p.rng.Int64N(int64(f.Jitter)))
	}
	return d
}

func (p *Proxy) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.tomb.Dying():
		return false
	}
}

func (p *Proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process may be out of descriptors for a while.
			p.sleep(acceptPause)
			continue
		}
		p.tomb.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

func (p *Proxy) serve(client net.Conn) {
	if !p.tomb.Alive() {
		resetConn(client)
		return
	}
	source := ""
	if p.source != nil {
		source = p.source(client)
	}
	if fault, _ := p.current(source); fault.Cut {
		resetConn(client)
		return
	}
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	l := &link{proxy: p, source: source, client: client, target: target, gone: make(chan struct{})}
	if !p.register(l) {
		l.reset()
		return
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// register reports false where the link may not exist any more.
func (p *Proxy) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultOf(l.source).Cut || !p.tomb.Alive() {
		return false
	}
	p.links[l] = struct{}{}
	return true
}
