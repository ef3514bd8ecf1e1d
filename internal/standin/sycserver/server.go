// Package sycserver implements the HTTP server that the stand-ins share. A
// stand-in replaces an external system in tests. The server can be taken down and
// up again on the same address, as if its process had crashed and restarted.
package sycserver

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// AnyAddress is an address to listen on that selects a free loopback port.
const AnyAddress = "127.0.0.1:0"

// Server serves HTTP on one address until it is closed.
type Server struct {
	tomb     tomb.Tomb
	listener *switchableListener
	http     *http.Server
	// handlers is read-locked by each running handler, so that Close can wait for
	// all of them by locking it.
	handlers sync.RWMutex
}

// New listens on the address and serves the handler. An empty address means
// AnyAddress.
func New(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = AnyAddress
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return NewOn(inner, handler), nil
}

// NewOn serves the handler on a listener, which Close closes.
func NewOn(inner net.Listener, handler http.Handler) *Server {
	s := &Server{listener: newSwitchableListener(inner)}
	ctx := s.tomb.Context(context.Background())
	s.http = &http.Server{
		Handler:     s.trackHandlers(handler),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.tomb.Go(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return s
}

// trackHandlers wraps a handler so that Close can wait for its running calls. It
// aborts requests that arrive after Close has started.
func (s *Server) trackHandlers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.RLock()
		defer s.handlers.RUnlock()
		if !s.tomb.Alive() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on, as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address() }

// Down resets all open connections, and every new connection until Up is called.
func (s *Server) Down() { s.listener.setDown(true) }

// Up makes the server accept connections again after Down.
func (s *Server) Up() { s.listener.setDown(false) }

// Close stops the server, resets all connections and waits for the running
// handlers to return.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	err := s.http.Close()
	s.listener.setDown(true)
	s.handlers.Lock()
	defer s.handlers.Unlock()
	if werr := s.tomb.Wait(); werr != nil {
		return werr
	}
	return err
}

// WriteJSON writes a response with the given status and the value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(value)
}
