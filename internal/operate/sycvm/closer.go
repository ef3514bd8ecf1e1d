package sycvm

import (
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
)

// closers are run once, the last added first.
type closers struct {
	once sync.Once
	list []func() error
	err  error
}

func (c *closers) add(f func() error) { c.list = append(c.list, f) }

func (c *closers) close() error {
	c.once.Do(func() {
		for i := len(c.list) - 1; i >= 0; i-- {
			c.err = errors.Join(c.err, c.list[i]())
		}
	})
	return c.err
}

// serve runs a server until it is closed, and waits for it then.
func (v *VM) serve(server *http.Server, listener net.Listener) {
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	v.closers.add(func() error {
		server.Close()
		err := <-done
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
}

// seed derives a VM's random seed from its address.
func seed(address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(address))
	return h.Sum64()
}
