//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the way from the VMs to one worker. It can lose what a VM sends for a time.
type link struct {
	listener net.Listener
	to       string
	// onOrder is called for each order that passes, and returns for how long the order's bytes are held
	// up. Nil holds up none.
	mu      sync.Mutex
	onOrder func(holder string) time.Duration
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	k := &link{listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k
}

// pass passes on a connection. What the VM has sent arrives, also if it has closed the connection meanwhile, as with
// a link whose lost packets are sent again.
func (k *link) pass(c net.Conn) {
	w, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(c, w)
		_ = c.Close()
	}()
	defer func() { _ = w.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if wait := k.hold(buffer[:n]); wait > 0 {
				time.Sleep(wait)
				if isReset(c) {
					// What a sender has sent is lost if it resets the connection.
					return
				}
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// Let the worker answer what has arrived before its connection ends.
			time.Sleep(50 * time.Millisecond)
			return
		}
	}
}

// isReset reports whether the VM has reset a connection. Closing it is no reset.
func isReset(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var next [1]byte
	_, err := c.Read(next[:])
	return errors.Is(err, syscall.ECONNRESET)
}

// hold returns for how long the link holds up the bytes.
func (k *link) hold(data []byte) time.Duration {
	k.mu.Lock()
	onOrder := k.onOrder
	k.mu.Unlock()
	if onOrder == nil || !bytes.HasPrefix(data, []byte("POST /order ")) {
		return 0
	}
	_, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	var o orderBody
	if json.Unmarshal(body, &o) != nil {
		return 0
	}
	return onOrder(o.Holder)
}
