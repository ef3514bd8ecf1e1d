package sychealth_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

func TestHealth(t *testing.T) {
	const (
		success     = sychealth.Success
		slow        = sychealth.Slow
		failure     = sychealth.Failure
		unreachable = sychealth.Unreachable
		polled      = sychealth.PollAnswered
		elapsed     = sychealth.Elapsed
	)
	tests := []struct {
		name   string
		events []sychealth.Event
		want   sychealth.State
	}{
		{"no events", nil, sychealth.Healthy},
		{"one failure", []sychealth.Event{failure}, sychealth.Suspect},
		{"failure, then enough successes", []sychealth.Event{failure, success, success, success}, sychealth.Healthy},
		{"failures with a success between", []sychealth.Event{failure, failure, success, failure}, sychealth.Suspect},
		{"suspicion expires", []sychealth.Event{failure, elapsed, elapsed, elapsed, elapsed, elapsed}, sychealth.Healthy},
		{"fails again after suspicion expired", []sychealth.Event{failure, elapsed, elapsed, elapsed, elapsed, elapsed, failure, failure}, sychealth.Out},
		{"failures in a row", []sychealth.Event{failure, failure, failure}, sychealth.Out},
		{"connection refused", []sychealth.Event{unreachable}, sychealth.Out},
		{"too few slow attempts", []sychealth.Event{slow, slow}, sychealth.Healthy},
		{"enough slow attempts", []sychealth.Event{slow, slow, slow}, sychealth.Suspect},
		{"slow attempts while suspect", []sychealth.Event{slow, slow, slow, slow, slow, slow, slow, slow, slow, slow, slow}, sychealth.Out},
		{"probed after the pause", []sychealth.Event{unreachable, elapsed}, sychealth.Probing},
		{"unreachable endpoint answers a poll", []sychealth.Event{unreachable, polled}, sychealth.Probing},
		{"failing endpoint answers a poll", []sychealth.Event{failure, failure, failure, polled}, sychealth.Out},
		{"probe fails", []sychealth.Event{unreachable, elapsed, failure}, sychealth.Out},
		{"probe succeeds", []sychealth.Event{unreachable, elapsed, success}, sychealth.Suspect},
		{"healthy again after a probe", []sychealth.Event{unreachable, elapsed, success, success, success}, sychealth.Healthy},
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
