// Package sycfault provides a TCP proxy that injects network faults, such as latency, resets
// and lost bytes, between a client and a target.
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
	// anyAddress is the default listen address, a free loopback port.
	anyAddress = "127.0.0.1:0"
	// dialTimeout is the maximum time to connect to the target.
	dialTimeout = 5 * time.Second
	// acceptPause is the time between a failed accept and the next try.
	acceptPause = 10 * time.Millisecond
)

// Options configures a proxy.
type Options struct {
	// Address is the host:port to listen on; empty for a free loopback port.
	Address string
	// Seed seeds the random generator of the jitter.
	Seed uint64
	// Fault is the fault in force until Set replaces it.
	Fault Fault
	// Source returns the name of a connection's client, which SetFrom uses to select
	// connections. If nil, clients have no names.
	Source func(client net.Conn) string
}

// Proxy forwards TCP connections to its target, subject to the faults that are set.
type Proxy struct {
	tomb     tomb.Tomb
	listener net.Listener
	// target is the host:port that connections are forwarded to.
	target string
	// source is Options.Source.
	source func(net.Conn) string

	mu sync.Mutex
	// rng draws the jitter.
	rng *rand.Rand
	// fault is the fault of the sources that aren't in sourceFaults.
	fault Fault
	// sourceFaults holds the faults set by SetFrom, by source.
	sourceFaults map[string]Fault
	// changed is closed whenever faults are set, and replaced by a new channel.
	// Connections that a Stall holds up wait for it and then check their fault again.
	changed chan struct{}
	// links holds the open connections.
	links map[*link]struct{}
}

// New starts a proxy that forwards connections to the target, a host:port, until Close.
func New(target string, o Options) (*Proxy, error) {
	if o.Address == "" {
		o.Address = anyAddress
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "fault proxy: listen on %s", o.Address)
	}
	p := &Proxy{
		listener:     listener,
		target:       target,
		source:       o.Source,
		sourceFaults: map[string]Fault{},
		rng:          rand.New(rand.NewPCG(o.Seed, 2)),
		fault:        o.Fault,
		changed:      make(chan struct{}),
		links:        map[*link]struct{}{},
	}
	p.tomb.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on, as host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// URL returns the proxy's address as a base URL without a trailing slash.
func (p *Proxy) URL() string { return "http://" + p.Address() }

// Set replaces the fault of all connections, open and new, except those whose source has a
// fault set by SetFrom.
func (p *Proxy) Set(f Fault) {
	p.change(func() { p.fault = f })
}

// SetFrom sets the fault of the connections from a source, open and new. From then on Set
// doesn't affect that source.
func (p *Proxy) SetFrom(source string, f Fault) {
	p.change(func() { p.sourceFaults[source] = f })
}

// change calls apply, which changes the faults, with mu held. It then applies the new faults
// to the open links whose fault differs from before.
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

// forgetResets clears Reset in all faults, so that a reset is applied only once. The caller
// must hold mu.
func (p *Proxy) forgetResets() {
	p.fault.Reset = false
	for source, f := range p.sourceFaults {
		f.Reset = false
		p.sourceFaults[source] = f
	}
}

// faultOf returns the fault in force for a source. The caller must hold mu.
func (p *Proxy) faultOf(source string) Fault {
	if f, ok := p.sourceFaults[source]; ok {
		return f
	}
	return p.fault
}

// Schedule starts to set the faults of the steps at their times, as Set does, and returns at
// once. Close ends the schedule.
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

// Close stops listening, resets all connections and waits for the proxy's goroutines.
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

// open returns the open links. The caller must hold mu.
func (p *Proxy) open() []*link {
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// current returns the fault in force for a source and a channel that is closed when any
// fault changes.
func (p *Proxy) current(source string) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(source), p.changed
}

// delay returns the latency and a random jitter for one chunk from a source's connection.
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

// sleep waits for a duration and reports false if the proxy is closed before it is over.
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

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process may have run out of file descriptors temporarily.
			p.sleep(acceptPause)
			continue
		}
		p.tomb.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

// serve connects to the target and forwards the client's connection until it ends.
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
	l := &link{proxy: p, source: source, client: client, target: target, closed: make(chan struct{})}
	if !p.register(l) {
		l.reset()
		return
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// register adds a link to the open links. It reports false if the link must be reset instead,
// because its source's fault became Cut or the proxy was closed while it connected.
func (p *Proxy) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultOf(l.source).Cut || !p.tomb.Alive() {
		return false
	}
	p.links[l] = struct{}{}
	return true
}
