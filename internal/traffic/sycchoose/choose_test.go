package sycchoose_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/traffic/sycchoose"
)

// state returns the state after records of the form kind, name, spec.
func state(t testing.TB, records ...[3]string) *sycconfig.State {
	t.Helper()
	s := sycconfig.NewState()
	for i, r := range records {
		op := fmt.Sprintf(`{"schema":2,"id":"t-%d","op":"put","kind":%q,"name":%q,"spec":%s}`, i, r[0], r[1], r[2])
		next, result := s.Apply(uint64(i), []byte(op))
		must.True(t, result.Accepted(), must.Sprint(result.Reason()))
		s = next
	}
	return s
}

// small returns a configuration with one customer, a model on two engines and the plain
// service "dock" on one endpoint. Each endpoint runs one request at a time.
func small(t *testing.T) *sycconfig.State {
	return state(
		t,
		[3]string{"customer", "a", `{"weight":1,"requests_per_second":1,"burst":1,"priority":3}`},
		[3]string{"endpoint", "e1", `{"address":"http://127.0.0.1:1","failure_domain":"x","type":"engine","models":["m"],"max_concurrent":1}`},
		[3]string{"endpoint", "e2", `{"address":"http://127.0.0.1:2","failure_domain":"x","type":"engine","models":["m"],"max_concurrent":1}`},
		[3]string{"endpoint", "s1", `{"address":"http://127.0.0.1:3","failure_domain":"x","type":"service","service":"dock","max_concurrent":1}`},
		[3]string{"version", "v1", `{"model":"m","weights":"w1","initial":true}`},
	)
}

// start returns a Chooser with its own loop.
func start(t *testing.T, config func() *sycconfig.State) *sycchoose.Chooser {
	t.Helper()
	loop := sycloop.New()
	t.Cleanup(func() { must.NoError(t, loop.Close()) })
	return sycchoose.New(sycchoose.Options{Loop: loop, Config: config, FailureDomain: "x", Seed: 1})
}

// TestChooseSpreadsAndBounds checks that two requests get different endpoints, that a third
// waits while both are full, and that it gets an endpoint once that is released.
func TestChooseSpreadsAndBounds(t *testing.T) {
	s := small(t)
	c := start(t, func() *sycconfig.State { return s })
	work := sycwork.Work{Customer: "a", Model: "m", Prompt: "hello", Deadline: time.Now().Add(time.Minute)}
	first, err := c.Choose(t.Context(), work)
	must.NoError(t, err)
	second, err := c.Choose(t.Context(), work)
	must.NoError(t, err)
	must.NotEq(t, first.Target().Endpoint, second.Target().Endpoint)
	must.Eq(t, "w1", first.Target().Weights)
	must.Eq(t, 3, first.Target().Priority)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Choose(ctx, work)
	must.Error(t, err)

	first.FirstToken()
	first.Done(sycwork.Result{Outcome: sycwork.Succeeded})
	first.Done(sycwork.Result{Outcome: sycwork.Succeeded})
	third, err := c.Choose(t.Context(), work)
	must.NoError(t, err)
	must.Eq(t, first.Target().Endpoint, third.Target().Endpoint)
}

// TestChooseRefuses checks the reasons of refusals that need no waiting.
func TestChooseRefuses(t *testing.T) {
	s := small(t)
	tests := []struct {
		name   string
		config *sycconfig.State
		work   sycwork.Work
		reason sycwork.Reason
	}{
		{"no configuration", nil, sycwork.Work{Model: "m"}, sycwork.NotReady},
		{"unknown model", s, sycwork.Work{Model: "n"}, sycwork.UnknownName},
		{"unknown weights", s, sycwork.Work{Model: "m", Weights: "w9"}, sycwork.UnknownName},
		{"unknown service", s, sycwork.Work{Service: "n"}, sycwork.NoEndpoint},
		{"all excluded", s, sycwork.Work{Service: "dock", Exclude: []string{"s1"}}, sycwork.NoEndpoint},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start(t, func() *sycconfig.State { return tt.config })
			_, err := c.Choose(t.Context(), tt.work)
			var refusal *sycwork.Refusal
			must.True(t, errors.As(err, &refusal))
			must.Eq(t, tt.reason, refusal.Reason)
		})
	}
}

// TestChooseGivesUpAtDeadline checks that a request that waits for an endpoint is refused at
// its deadline.
func TestChooseGivesUpAtDeadline(t *testing.T) {
	s := small(t)
	c := start(t, func() *sycconfig.State { return s })
	work := sycwork.Work{Service: "dock", Deadline: time.Now().Add(time.Minute)}
	_, err := c.Choose(t.Context(), work)
	must.NoError(t, err)
	work.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err = c.Choose(t.Context(), work)
	var refusal *sycwork.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, sycwork.Overloaded, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
}
