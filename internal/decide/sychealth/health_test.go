package sychealth_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

func TestHealth(t *testing.T) {
	const (
		success = sychealth.Success
		slow    = sychealth.Slow
		failure = sychealth.Failure
		refused = sychealth.Unreachable
		answer  = sychealth.PollAnswered
		elapsed = sychealth.Elapsed
	)
	tests := []struct {
		name   string
		events []sychealth.Event
		want   sychealth.State
	}{
		{"nothing", nil, sychealth.Healthy},
		{"one failure", []sychealth.Event{failure}, sychealth.Suspect},
		{"cleared", []sychealth.Event{failure, success, success, success}, sychealth.Healthy},
		{"failures with successes between", []sychealth.Event{failure, failure, success, failure}, sychealth.Suspect},
		{"suspicion ends", []sychealth.Event{failure, elapsed, elapsed, elapsed, elapsed, elapsed}, sychealth.Healthy},
		{"fails again after suspicion", []sychealth.Event{failure, elapsed, elapsed, elapsed, elapsed, elapsed, failure, failure}, sychealth.Out},
		{"failures in a row", []sychealth.Event{failure, failure, failure}, sychealth.Out},
		{"connection refused", []sychealth.Event{refused}, sychealth.Out},
		{"a few slow", []sychealth.Event{slow, slow}, sychealth.Healthy},
		{"slow", []sychealth.Event{slow, slow, slow}, sychealth.Suspect},
		{"lastingly slow", []sychealth.Event{slow, slow, slow, slow, slow, slow, slow, slow, slow, slow, slow}, sychealth.Out},
		{"probed after the pause", []sychealth.Event{refused, elapsed}, sychealth.Probing},
		{"listens again", []sychealth.Event{refused, answer}, sychealth.Probing},
		{"answers polls but fails", []sychealth.Event{failure, failure, failure, answer}, sychealth.Out},
		{"probe fails", []sychealth.Event{refused, elapsed, failure}, sychealth.Out},
		{"probe succeeds", []sychealth.Event{refused, elapsed, success}, sychealth.Suspect},
		{"back", []sychealth.Event{refused, elapsed, success, success, success}, sychealth.Healthy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := sychealth.New(1)
			now := time.Duration(0)
			for _, e := range tt.events {
				now += time.Second
				h.Observe(now, e)
			}
			must.Eq(t, tt.want, h.State())
		})
	}
}

func TestPauseGrowsAndIsBounded(t *testing.T) {
	h := sychealth.New(1)
	now := time.Duration(0)
	h.Observe(now, sychealth.Unreachable)
	first := h.OutUntil()
	must.False(t, h.Observe(first-1, sychealth.Elapsed))
	var last time.Duration
	for range 20 {
		now = h.OutUntil()
		must.True(t, h.Observe(now, sychealth.Elapsed))
		must.True(t, h.Observe(now, sychealth.Unreachable))
		last = h.OutUntil() - now
	}
	must.Greater(t, 4*first, last)
	must.LessEq(t, 10*time.Second, last)
}
