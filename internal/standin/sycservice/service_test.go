package sycservice_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

func TestCallsAndFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults sycservice.Faults
		// status is 0 if no response is expected.
		status int
		// attempt is the expected attempt id in the response.
		attempt string
		ran     bool
		// bookings is the expected number of bookings.
		bookings int
	}{
		{"books", sycservice.Faults{}, 200, "a-1", true, 1},
		{"late", sycservice.Faults{Delay: sycrecord.Duration(time.Millisecond), Late: 1}, 200, "a-1", true, 1},
		{"refused", sycservice.Faults{Refuse: 1}, 503, "a-1", false, 0},
		{"connection dropped", sycservice.Faults{Lose: 1}, 0, "", true, 1},
		{"no response", sycservice.Faults{Hang: 1}, 0, "", true, 1},
		{"crossed", sycservice.Faults{Cross: 1}, 200, "other-a-1", true, 1},
		{"fails", sycservice.Faults{Fail: 1}, 500, "a-1", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service, err := sycservice.New(sycservice.Options{})
			must.NoError(t, err)
			t.Cleanup(func() { must.NoError(t, service.Close()) })
			service.SetFaults(tt.faults)
			response := book(t, service)
			if tt.status == 0 {
				must.Nil(t, response)
			} else {
				must.Eq(t, tt.status, response.StatusCode)
				must.Eq(t, tt.attempt, response.Header.Get("Sycamorecart-Attempt"))
				must.Eq(t, !tt.ran, response.Header.Get("Sycamorecart-Not-Run") == "true")
			}
			calls := service.Calls()
			must.Len(t, 1, calls)
			must.Eq(t, "key", calls[0].IdempotencyKey)
			must.Eq(t, tt.ran, calls[0].Ran)
			must.Len(t, tt.bookings, service.Bookings())
		})
	}
}

// book books a slot and returns the response, or nil if there is none within 1 s.
func book(t *testing.T, service *sycservice.Service) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, service.URL()+"/book", strings.NewReader(`{"slot":"dock 4"}`))
	must.NoError(t, err)
	request.Header.Set("Sycamorecart-Attempt", "a-1")
	request.Header.Set("Idempotency-Key", "key")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	must.NoError(t, response.Body.Close())
	return response
}

func TestOtherCallsAreEchoed(t *testing.T) {
	service, err := sycservice.New(sycservice.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, service.Close()) })
	response, err := http.Get(service.URL() + "/stock/7?depot=2")
	must.NoError(t, err)
	defer response.Body.Close()
	var echoed sycservice.Answer
	must.NoError(t, json.NewDecoder(response.Body).Decode(&echoed))
	must.Eq(t, "/stock/7", echoed.Path)
	must.Eq(t, "depot=2", service.Calls()[0].Query)
}
