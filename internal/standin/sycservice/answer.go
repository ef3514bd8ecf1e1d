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

// bookPath ends the path of a booking, whatever prefix its route has.
const bookPath = "/book"

// effect is what a call comes to.
type effect struct {
	ran    bool
	status int
	answer Answer
	lose   bool
	hang   bool
	late   time.Duration
}

// Answer is the body of the service's answers.
type Answer struct {
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Booking is set in the answer to a booking.
	Booking *Booking `json:"booking,omitempty"`
}

func (s *Service) answer(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(w, r.Request)
	if err != nil {
		return nil
	}
	if !sycpause.For(r.Context(), time.Duration(s.Faults().Delay)) {
		return nil
	}
	e := s.run(newCall(r.Request, body))
	if !e.ran {
		w.Header().Set(notRunHeader, "true")
		w.Header().Set("Retry-After", "1")
	}
	if e.lose {
		panic(http.ErrAbortHandler)
	}
	if e.hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sycpause.For(r.Context(), e.late) {
		return nil
	}
	w.Header().Set(attemptHeader, e.answer.Attempt)
	return sycserver.WriteJSON(w, e.status, e.answer)
}

// run records the call and lets it take effect unless it is refused.
func (s *Service) run(call Call) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := effect{
		ran:    !takeOne(&s.faults.Refuse),
		status: http.StatusOK,
		answer: Answer{Attempt: call.Attempt, Method: call.Method, Path: call.Path, Body: call.Body},
		late:   time.Duration(s.faults.Late),
	}
	call.Ran = e.ran
	s.calls = append(s.calls, call)
	if !e.ran {
		e.status = http.StatusServiceUnavailable
		return e
	}
	if call.Method == http.MethodPost && strings.HasSuffix(call.Path, bookPath) {
		e.answer.Booking = s.book(call.Body)
	}
	e.lose = takeOne(&s.faults.Lose)
	e.hang = !e.lose && takeOne(&s.faults.Hang)
	if takeOne(&s.faults.Fail) {
		e.status = http.StatusInternalServerError
	}
	if takeOne(&s.faults.Cross) {
		e.answer = Answer{Attempt: "other-" + call.Attempt, Method: call.Method, Path: call.Path, Body: "other"}
	}
	return e
}

type bookRequest struct {
	Slot string `json:"slot"`
}

// book books the slot that the body names. The caller holds mu.
func (s *Service) book(body string) *Booking {
	var q bookRequest
	if json.Unmarshal([]byte(body), &q) != nil {
		return nil
	}
	booking := Booking{Slot: q.Slot, Confirmation: len(s.bookings) + 1}
	s.bookings = append(s.bookings, booking)
	return &booking
}

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
