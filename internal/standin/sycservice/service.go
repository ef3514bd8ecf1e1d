// Package sycservice stands in for a plain application service. It books slots
// and records every call, so that a test can tell what ran how often.
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
	maxBody       = 16 << 20
	attemptHeader = "Sycamorecart-Attempt"
	notRunHeader  = "Sycamorecart-Not-Run"
)

// Call is an entry of the log of calls.
type Call struct {
	Time           time.Time   `json:"time"`
	Attempt        string      `json:"attempt"`
	Method         string      `json:"method"`
	Path           string      `json:"path"`
	Query          string      `json:"query,omitempty"`
	IdempotencyKey string      `json:"idempotency_key,omitempty"`
	Body           string      `json:"body"`
	Header         http.Header `json:"header"`
	// Ran is false where the service refused the call before it had any effect.
	Ran bool `json:"ran"`
}

// Booking is a slot that was booked.
type Booking struct {
	Slot string `json:"slot"`
	// Confirmation is unique per booking, from 1.
	Confirmation int `json:"confirmation"`
}

// Faults is what is wrong with the service. The counts are of coming calls.
type Faults struct {
	// Delay holds every call before it runs, Late after it has run.
	Delay sycrecord.Duration `json:"delay"`
	Late  sycrecord.Duration `json:"late"`
	// Refuse answers 503 and says that the call did not run.
	Refuse int `json:"refuse"`
	// Lose runs the call and closes the connection.
	Lose int `json:"lose"`
	// Hang runs the call and gives no answer.
	Hang int `json:"hang"`
	// Cross runs the call and answers with another attempt's id and body.
	Cross int `json:"cross"`
	// Fail runs the call and answers 500.
	Fail int `json:"fail"`
}

// Options configures a service.
type Options struct {
	// Address is where to listen.
	Address string
}

// Service answers plain HTTP calls.
type Service struct {
	server *sycserver.Server

	mu       sync.Mutex
	faults   Faults
	calls    []Call
	bookings []Booking
}

// New starts a service.
func New(o Options) (*Service, error) {
	s := &Service{}
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.answer),
		bunrouter.WithMethodNotAllowedHandler(s.answer),
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

// URL is the service's base URL, without a trailing slash.
func (s *Service) URL() string { return s.server.URL() }

// Address is the service's address, as host:port.
func (s *Service) Address() string { return s.server.Address() }

// Watch counts from now on how often the texts come in.
func (s *Service) Watch(texts ...string) { s.server.Watch(texts...) }

// Sightings is how often watched texts have come in.
func (s *Service) Sightings() int { return s.server.Sightings() }

// Down resets all connections until Up.
func (s *Service) Down() { s.server.Down() }

// Up accepts connections again.
func (s *Service) Up() { s.server.Up() }

// Close stops the service and waits for its handlers.
func (s *Service) Close() error { return s.server.Close() }

// Calls returns all calls received, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// Bookings returns all bookings, in order; a slot may be booked more than once.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking{}, s.bookings...)
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the present faults.
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

// postFaults changes the faults that the body names and keeps the others.
func (s *Service) postFaults(w http.ResponseWriter, r bunrouter.Request) error {
	faults := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	s.SetFaults(faults)
	return sycserver.WriteJSON(w, http.StatusOK, faults)
}

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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
}
