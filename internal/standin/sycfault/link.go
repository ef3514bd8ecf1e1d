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
	// chunkSize is the maximum number of bytes read at once.
	chunkSize = 16 << 10
	// maxChunks is the number of chunks that may wait for delivery in one direction of a
	// connection before the proxy stops reading.
	maxChunks = 256
)

// link is a client's connection through a proxy, with the proxy's connection to the target.
type link struct {
	proxy *Proxy
	// source is the client's name by Options.Source; empty if it has none.
	source string
	// client is the connection that the client opened.
	client net.Conn
	// target is the connection that the proxy opened to its target.
	target net.Conn
	// toClient counts the bytes sent to the client since the link's fault was set.
	toClient atomic.Int64
	// lossy is set once bytes were discarded. No later bytes may be delivered, as TCP never
	// delivers a stream with a gap.
	lossy atomic.Bool
	// once makes reset act on the first call only.
	once sync.Once
	// closed is closed when the link is reset.
	closed chan struct{}
}

// chunk is data that was read from one side and waits for delivery to the other.
type chunk struct {
	// due is when the data may be delivered, after the fault's latency.
	due  time.Time
	data []byte
}

// run forwards bytes in both directions until both have ended, then closes both
// connections.
func (l *link) run() {
	var group tomb.Tomb
	group.Go(func() error {
		group.Go(func() error { return l.forward(l.target, l.client, false) })
		return l.forward(l.client, l.target, true)
	})
	_ = group.Wait()
	l.close()
}

// forward forwards bytes in one direction. It passes on a clean end of the stream by
// closing the write side of to, and resets the link in all other cases.
func (l *link) forward(from, to net.Conn, toTarget bool) error {
	chunks := make(chan chunk, maxChunks)
	var reader tomb.Tomb
	reader.Go(func() error {
		defer close(chunks)
		return l.read(from, chunks)
	})
	clean := l.write(to, chunks, toTarget)
	if !clean {
		l.reset()
	}
	for range chunks {
		// Discard the rest: the reader may be blocked on a full channel.
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

// read sends what it reads to chunks, with the time of its delivery. It returns io.EOF at a
// clean end of the stream, or the read error.
func (l *link) read(from net.Conn, chunks chan<- chunk) error {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{due: time.Now().Add(l.proxy.delay(l.source)), data: buffer[:n]}
		}
		if err != nil {
			return err
		}
	}
}

// write delivers the chunks at their due times, subject to the fault in force. It reports
// false if the link must be reset.
func (l *link) write(to net.Conn, chunks <-chan chunk, toTarget bool) bool {
	for c := range chunks {
		if !l.proxy.sleep(time.Until(c.due)) {
			return false
		}
		fault, ok := l.awaitUnstalled()
		if !ok {
			return false
		}
		if fault.loses(toTarget) {
			l.lossy.Store(true)
			continue
		}
		if l.lossy.Load() || !l.deliver(to, c.data, fault, toTarget) {
			return false
		}
	}
	return true
}

// awaitUnstalled waits until the link's fault has no Stall and returns that fault. It reports
// false if the link was reset or the proxy closed before.
func (l *link) awaitUnstalled() (Fault, bool) {
	for {
		fault, changed := l.proxy.current(l.source)
		if !fault.Stall {
			return fault, true
		}
		select {
		case <-changed:
		case <-l.closed:
			return fault, false
		case <-l.proxy.tomb.Dying():
			return fault, false
		}
	}
}

// deliver writes a chunk to one side, cut at the limit of the fault's TruncateAfter. It
// reports false if the chunk reached the limit or the write failed.
func (l *link) deliver(to net.Conn, data []byte, fault Fault, toTarget bool) bool {
	truncated := false
	if !toTarget && fault.TruncateAfter > 0 {
		left := fault.TruncateAfter - l.toClient.Load()
		truncated = left <= int64(len(data))
		data = data[:min(int64(len(data)), max(left, 0))]
	}
	if !toTarget {
		// Count before the write: once the client has the bytes, a test may set the next
		// fault, which resets the count.
		l.toClient.Add(int64(len(data)))
	}
	_, err := to.Write(data)
	return err == nil && !truncated
}

// faultChanged applies the link's new fault. It restarts the count of TruncateAfter, and
// resets the link if the fault says so or if a loss of bytes ends.
func (l *link) faultChanged(f Fault) {
	l.toClient.Store(0)
	healed := l.lossy.Load() && !f.LoseToClient && !f.LoseToTarget
	if f.Cut || f.Reset || healed {
		l.reset()
	}
}

// reset closes both connections with a TCP reset, once.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.closed)
		resetConn(l.client)
		resetConn(l.target)
	})
}

// close closes both connections without forcing a reset.
func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// closeWrite tells the peer that no more bytes follow; the read side stays open.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// resetConn closes a connection with a TCP reset, which discards unsent data.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
