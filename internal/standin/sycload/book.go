package sycload

import (
	"context"
	"encoding/json"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// bookBody is the JSON body of a request to book a slot.
type bookBody struct {
	Slot string `json:"slot"`
}

// book sends the arrival's booking, with the slot as its Idempotency-Key, and checks
// the response.
func (r *runner) book(ctx context.Context, a *arrival) outcome {
	data, err := json.Marshal(bookBody{Slot: a.slot})
	if err != nil {
		return outcome{verdict: Failed, reason: err.Error()}
	}
	header := http.Header{"Idempotency-Key": {a.slot}}
	response, err := r.post(ctx, a, r.options.BookPath, data, header)
	if err != nil {
		return outcome{verdict: Failed, reason: "no answer: " + rootMessage(err)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readFailure(response)
	}
	var body sycservice.Answer
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return outcome{verdict: Failed, reason: "the response ended early"}
	}
	if body.Booking == nil || body.Booking.Slot != a.slot {
		return outcome{verdict: Wrong, reason: "the response confirms another booking"}
	}
	return outcome{verdict: Right}
}
