package sycload

import (
	"context"
	"encoding/json"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

type bookBody struct {
	Slot string `json:"slot"`
}

// book books the arrival's slot, once.
func (r *runner) book(ctx context.Context, a *arrival) outcome {
	data, err := json.Marshal(bookBody{Slot: a.slot})
	if err != nil {
		return outcome{verdict: Failed, reason: err.Error()}
	}
	header := http.Header{"Idempotency-Key": {a.slot}}
	response, err := r.post(ctx, a, r.options.BookPath, data, header)
	if err != nil {
		return outcome{verdict: Failed, reason: "no answer: " + cause(err)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failure(response)
	}
	var answer sycservice.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return outcome{verdict: Failed, reason: "the answer broke off"}
	}
	if answer.Booking == nil || answer.Booking.Slot != a.slot {
		return outcome{verdict: Wrong, reason: "the answer is to another booking"}
	}
	return outcome{verdict: Right}
}
