package sycfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	pieceSize = 16 << 10
	// maxPieces is the number of pieces under way in one direction.
	maxPieces = 256
)

// link is one connection through a proxy.
type link struct {
	proxy  *Proxy
	source string
	client net.Conn
	target net.Conn
	// toClient counts the bytes sent to the client since the fault was set.
	toClient atomic.Int64
	// lossy is set once bytes were discarded; nothing may follow the hole.
	lossy atomic.Bool
	once  sync.Once
	// gone is closed when the link was reset.
	gone chan struct{}
}

type piece struct {
	due  time.Time
	data []byte
}

// run passes bytes on in both directions until both have ended.
func (l *link) run() {
	var group tomb.Tomb
	group.Go(func() error {
		group.Go(func() error { return l.direction(l.target, l.client, false) })
		return l.direction(l.client, l.target, true)
	})
	_ = group.Wait()
	l.close()
}

// direction passes bytes on in one direction.
func (l *link) direction(from, to net.Conn, toTarget bool) error {
	pieces := make(chan piece, maxPieces)
	var reader tomb.Tomb
	reader.Go(func() error {
		defer close(pieces)
		return l.read(from, pieces)
	})
	clean := l.write(to, pieces, toTarget)
	if !clean {
		l.reset()
	}
	for range pieces {
		// The reader may wait for room.
	}
	if err := reader.Wait(); err != nil && !errors.Is(err, io.EOF) {
		l.reset()
		return nil
	}
	if clean {
		closeWrite(to)
	}
	return nil
}

// read ends with io.EOF at a clean end.
func (l *link) read(from net.Conn, pieces chan<- piece) error {
	for {
		buffer := make([]byte, pieceSize)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{due: time.Now().Add(l.proxy.delay(l.source)), data: buffer[:n]}
		}
		if err != nil {
			return err
		}
	}
}

// write reports whether all pieces were handled.
func (l *link) write(to net.Conn, pieces <-chan piece, toTarget bool) bool {
	for p := range pieces {
		if !l.proxy.sleep(time.Until(p.due)) {
			return false
		}
		fault, ok := l.unstalled()
		if !ok {
			return false
		}
		if fault.loses(toTarget) {
			l.lossy.Store(true)
			continue
		}
		if l.lossy.Load() || !l.deliver(to, p.data, fault, toTarget) {
			return false
		}
	}
	return true
}

// unstalled waits for the end of a stall and returns the fault then in force.
func (l *link) unstalled() (Fault, bool) {
	for {
		fault, changed := l.proxy.current(l.source)
		if !fault.Stall {
			return fault, true
		}
		select {
		case <-changed:
		case <-l.gone:
			return fault, false
		case <-l.proxy.tomb.Dying():
			return fault, false
		}
	}
}

func (l *link) deliver(to net.Conn, data []byte, fault Fault, toTarget bool) bool {
	truncated := false
	if !toTarget && fault.TruncateAfter > 0 {
		left := fault.TruncateAfter - l.toClient.Load()
		truncated = left <= int64(len(data))
		data = data[:min(int64(len(data)), max(left, 0))]
	}
	if !toTarget {
		// Counted before they leave: a client that has them may set the next fault.
		l.toClient.Add(int64(len(data)))
	}
	_, err := to.Write(data)
	return err == nil && !truncated
}

// faultChanged applies a new fault to the open connection.
func (l *link) faultChanged(f Fault) {
	l.toClient.Store(0)
	healed := l.lossy.Load() && !f.LoseToClient && !f.LoseToTarget
	if f.Cut || f.Reset || healed {
		l.reset()
	}
}

// reset drops both connections at once.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.gone)
		resetConn(l.client)
		resetConn(l.target)
	})
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
