package sycservice

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// bookPath is the suffix of the path of a booking call. The route's prefix, which
// stands before it, is ignored.
const bookPath = "/book"

// outcome holds how the service treats a call.
type outcome struct {
	// ran is false if a fault refuses the call before it has any effect.
	ran bool
	// status and answer are the status and the body of the response.
	status int
	answer Answer
	// dropConnection is set if the connection is closed without a response.
	dropConnection bool
	// noResponse is set if the connection stays open without a response until the
	// caller closes it.
	noResponse bool
	// delay is the time by which the response is delayed after the call has run.
	delay time.Duration
}

// Answer is the body of the service's responses, which echoes the call so that a
// test can tell which call a response belongs to.
type Answer struct {
	// Attempt identifies the router's attempt, from the call's Sycamorecart-Attempt
	// header.
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Booking is set in the response to a booking call.
	Booking *Booking `json:"booking,omitempty"`
}

// serve handles every call except those to the paths under /admin.
func (s *Service) serve(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(w, r.Request)
	if err != nil {
		return nil
	}
	if !sycpause.For(r.Context(), time.Duration(s.Faults().Delay)) {
		return nil
	}
	o := s.run(newCall(r.Request, body))
	if !o.ran {
		w.Header().Set(notRunHeader, "true")
		w.Header().Set("Retry-After", "1")
	}
	if o.dropConnection {
		panic(http.ErrAbortHandler)
	}
	if o.noResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sycpause.For(r.Context(), o.delay) {
		return nil
	}
	w.Header().Set(attemptHeader, o.answer.Attempt)
	return sycserver.WriteJSON(w, o.status, o.answer)
}

// run logs a call, counts down the faults that affect it and returns its outcome. A
// booking call that isn't refused books its slot.
func (s *Service) run(call Call) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{
		ran:    !consume(&s.faults.Refuse),
		status: http.StatusOK,
		answer: Answer{Attempt: call.Attempt, Method: call.Method, Path: call.Path, Body: call.Body},
		delay:  time.Duration(s.faults.Late),
	}
	call.Ran = o.ran
	s.calls = append(s.calls, call)
	if !o.ran {
		o.status = http.StatusServiceUnavailable
		return o
	}
	if call.Method == http.MethodPost && strings.HasSuffix(call.Path, bookPath) {
		o.answer.Booking = s.book(call.Body)
	}
	o.dropConnection = consume(&s.faults.Lose)
	o.noResponse = !o.dropConnection && consume(&s.faults.Hang)
	if consume(&s.faults.Fail) {
		o.status = http.StatusInternalServerError
	}
	if consume(&s.faults.Cross) {
		o.answer = Answer{Attempt: "other-" + call.Attempt, Method: call.Method, Path: call.Path, Body: "other"}
	}
	return o
}

// bookRequest is the body of a booking call.
type bookRequest struct {
	Slot string `json:"slot"`
}

// book books the slot that a call's body names. It returns nil if the body isn't a
// bookRequest. The caller holds mu.
func (s *Service) book(body string) *Booking {
	var q bookRequest
	if json.Unmarshal([]byte(body), &q) != nil {
		return nil
	}
	booking := Booking{Slot: q.Slot, Confirmation: len(s.bookings) + 1}
	s.bookings = append(s.bookings, booking)
	return &booking
}

// consume decrements a positive count and reports whether it was positive.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
