// Package sycserver is the HTTP server that the stand-ins share. It can be
// taken down and up again on the same address, as a crashed process would be.
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

// AnyAddress listens on a free loopback port.
const AnyAddress = "127.0.0.1:0"

// Server serves HTTP on one address until it is closed.
type Server struct {
	tomb     tomb.Tomb
	listener *gate
	http     *http.Server
	// handlers is read-locked by each running handler.
	handlers sync.RWMutex
}

// New listens on the address and serves the handler. An empty address stands
// for AnyAddress.
func New(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = AnyAddress
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{listener: newGate(inner)}
	ctx := s.tomb.Context(context.Background())
	s.http = &http.Server{
		Handler:     s.counted(handler),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.tomb.Go(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return s, nil
}

// counted lets Close wait for the running handlers.
func (s *Server) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.RLock()
		defer s.handlers.RUnlock()
		if !s.tomb.Alive() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Address is the address listened on, as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL is the base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address() }

// Down resets all connections, and new ones as they come, until Up.
func (s *Server) Down() { s.listener.setDown(true) }

// Up accepts connections again.
func (s *Server) Up() { s.listener.setDown(false) }

// Close drops all connections and waits for the handlers.
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

// WriteJSON answers with the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(value)
}
