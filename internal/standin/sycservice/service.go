// Package sycservice implements a stand-in for a plain service, whose endpoints
// aren't engines. It books slots and logs every call, so that a test can tell which
// calls ran and how often. A slot is any name that a caller gives.
package sycservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

const (
	// maxBody limits the body of a call, in bytes.
	maxBody = 16 << 20
	// attemptHeader carries the id of the router's attempt in calls and responses.
	attemptHeader = "Sycamorecart-Attempt"
	// notRunHeader is "true" in the response to a call that had no effect.
	notRunHeader = "Sycamorecart-Not-Run"
)

// Call is an entry of the call log.
type Call struct {
	// Time is when the call's body had been read and its delay had passed.
	Time time.Time `json:"time"`
	// Attempt identifies the router's attempt.
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Query is the URL's query, still encoded.
	Query string `json:"query,omitempty"`
	// IdempotencyKey is the call's Idempotency-Key header.
	IdempotencyKey string      `json:"idempotency_key,omitempty"`
	Body           string      `json:"body"`
	Header         http.Header `json:"header"`
	// Ran is false if the service refused the call before it had any effect.
	Ran bool `json:"ran"`
}

// Booking is the result of a booking call.
type Booking struct {
	// Slot is the slot's name, as the caller gave it.
	Slot string `json:"slot"`
	// Confirmation is the number of the booking, counted from 1.
	Confirmation int `json:"confirmation"`
}

// Faults describes the faults that the service simulates. An integer is the number
// of coming calls that the fault affects. Several faults can affect the same call,
// but a refused call counts down only Refuse, and a lost call doesn't count down Hang.
type Faults struct {
	// Delay delays every call before it runs.
	Delay sycrecord.Duration `json:"delay"`
	// Late delays every response after its call has run.
	Late sycrecord.Duration `json:"late"`
	// Refuse responds with status 503 and the header that tells that the call didn't run.
	Refuse int `json:"refuse"`
	// Lose runs the call and closes the connection without a response.
	Lose int `json:"lose"`
	// Hang runs the call and never responds.
	Hang int `json:"hang"`
	// Cross runs the call and responds with another attempt's id and body, as if the
	// service had mixed up two responses.
	Cross int `json:"cross"`
	// Fail runs the call and responds with status 500.
	Fail int `json:"fail"`
}

// Options configures a service.
type Options struct {
	// Address is the address to listen on, as host:port. The default is a free
	// loopback port.
	Address string
}

// Service is a plain service that listens on one address.
type Service struct {
	server *sycserver.Server

	// mu guards the fields below.
	mu       sync.Mutex
	faults   Faults
	calls    []Call
	bookings []Booking
}

// New starts a service. It serves the paths under /admin, by which tests control the
// service, and treats every other path as a call.
func New(o Options) (*Service, error) {
	s := &Service{}
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.serve),
		bunrouter.WithMethodNotAllowedHandler(s.serve),
	)
	router.GET("/admin/calls", s.getCalls)
	router.GET("/admin/bookings", s.getBookings)
	router.GET("/admin/faults", s.getFaults)
	router.POST("/admin/faults", s.postFaults)
	server, err := sycserver.New(o.Address, router)
	if err != nil {
		return nil, eris.Wrap(err, "service stand-in")
	}
	s.server = server
	return s, nil
}

// URL returns the service's base URL, without a trailing slash.
func (s *Service) URL() string { return s.server.URL() }

// Address returns the service's address, as host:port.
func (s *Service) Address() string { return s.server.Address() }

// Watch starts to count how often the texts occur in the bytes received from
// clients.
func (s *Service) Watch(texts ...string) { s.server.Watch(texts...) }

// Sightings returns how often texts given to Watch have been received.
func (s *Service) Sightings() int { return s.server.Sightings() }

// Down resets all open connections, and every new connection until Up is called.
func (s *Service) Down() { s.server.Down() }

// Up makes the service accept connections again after Down.
func (s *Service) Up() { s.server.Up() }

// Close stops the service and waits for its handlers to return.
func (s *Service) Close() error { return s.server.Close() }

// Calls returns the call log in order of arrival.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// Bookings returns all bookings in the order in which they were made. A slot can be
// booked more than once.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking{}, s.bookings...)
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults, with the counts that remain.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) getCalls(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, s.Calls())
}

func (s *Service) getBookings(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, s.Bookings())
}

func (s *Service) getFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, s.Faults())
}

// postFaults sets the faults that the body names and keeps all other faults.
func (s *Service) postFaults(w http.ResponseWriter, r bunrouter.Request) error {
	faults := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	s.SetFaults(faults)
	return sycserver.WriteJSON(w, http.StatusOK, faults)
}

// newCall returns the log entry of a call with the given body.
func newCall(r *http.Request, body []byte) Call {
	return Call{
		Time:           time.Now(),
		Attempt:        r.Header.Get(attemptHeader),
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Body:           string(body),
		Header:         r.Header.Clone(),
	}
}

// readBody reads a call's body, of at most maxBody bytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
}
