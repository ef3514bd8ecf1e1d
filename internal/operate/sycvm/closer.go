package sycvm

import (
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
)

// closers holds the functions that stop the parts of a VM. They are called once, in the
// reverse of the order in which they were added.
type closers struct {
	once sync.Once
	// list holds the functions in the order in which they were added.
	list []func() error
	// err joins the errors that the functions returned.
	err error
}

// add adds a function for close to call.
func (c *closers) add(f func() error) { c.list = append(c.list, f) }

// close calls the functions, or returns the same error as before if it has done so.
func (c *closers) close() error {
	c.once.Do(func() {
		for i := len(c.list) - 1; i >= 0; i-- {
			c.err = errors.Join(c.err, c.list[i]())
		}
	})
	return c.err
}

// serve runs a server in a goroutine and adds a closer that closes the server and waits
// until it has stopped.
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

// seedFrom returns a random seed that is derived from a VM's address.
func seedFrom(address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(address))
	return h.Sum64()
}
