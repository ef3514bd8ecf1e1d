package sycattempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
)

// always and never are the spend functions of a retry budget with and without retries
// left.
func always() bool { return true }
func never() bool  { return false }

// TestSteps checks the step after each failure of the cases.
func TestSteps(t *testing.T) {
	const (
		gen  = sycattempt.Generation
		rep  = sycattempt.Repeatable
		once = sycattempt.AtMostOnce
	)
	// failure is an event and the step that must follow.
	type failure struct {
		event sycattempt.Event
		step  sycattempt.Step
	}
	cases := []struct {
		name string
		kind sycattempt.Kind
		// delivered is set if a byte of the answer went to the caller.
		delivered bool
		// position is the number of tokens received before the failures.
		position int
		spend    func() bool
		events   []failure
		// notRun is what NotRun must return at the end.
		notRun bool
	}{
		{"once, unsent", once, false, 0, always, []failure{{sycattempt.Unsent, sycattempt.TryOther}}, true},
		{"once, refused", once, false, 0, always, []failure{{sycattempt.Refused, sycattempt.TryOther}}, true},
		{"once, broken", once, false, 0, always, []failure{{sycattempt.Broken, sycattempt.GiveUp}}, false},
		{"once, lost", once, false, 0, always, []failure{{sycattempt.Lost, sycattempt.GiveUp}}, false},
		{"repeatable, broken", rep, false, 0, always, []failure{{sycattempt.Broken, sycattempt.TryOther}}, false},
		{"repeatable, partly delivered", rep, true, 0, always, []failure{{sycattempt.Broken, sycattempt.GiveUp}}, false},
		{"repeatable, no budget", rep, false, 0, never, []failure{{sycattempt.Lost, sycattempt.GiveUp}}, false},
		{"unsent needs no budget", rep, false, 0, never, []failure{{sycattempt.Unsent, sycattempt.TryOther}}, true},
		{"refusal needs budget", rep, false, 0, never, []failure{{sycattempt.Refused, sycattempt.GiveUp}}, true},
		{"no target", gen, false, 0, always, []failure{{sycattempt.NoTarget, sycattempt.GiveUp}}, true},
		{
			"generation resumes, then tries another endpoint", gen, true, 3, never,
			[]failure{{sycattempt.Broken, sycattempt.Resume}, {sycattempt.Lost, sycattempt.TryOther}},
			false,
		},
		{
			"generation before its first token", gen, false, 0, never,
			[]failure{{sycattempt.Broken, sycattempt.Resume}, {sycattempt.Lost, sycattempt.GiveUp}},
			false,
		},
		{"generation restarts if nothing was delivered", gen, false, 3, always, []failure{{sycattempt.NoTarget, sycattempt.Restart}}, false},
		{"generation gives up if a part was delivered", gen, true, 3, always, []failure{{sycattempt.NoTarget, sycattempt.GiveUp}}, false},
		{"cancelled", gen, true, 3, always, []failure{{sycattempt.Cancelled, sycattempt.GiveUp}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := sycattempt.New(c.kind, 1, time.Hour, sycattempt.Defaults())
			p.Progress(c.position)
			if c.delivered {
				p.Delivered()
			}
			for _, e := range c.events {
				must.Eq(t, e.step, p.Decide(0, e.event, c.spend).Step)
			}
			must.Eq(t, c.notRun, p.NotRun())
		})
	}
}

// TestDeadlineEndsAtOnce checks that no attempt is planned for after the deadline.
func TestDeadlineEndsAtOnce(t *testing.T) {
	p := sycattempt.New(sycattempt.Repeatable, 1, time.Second, sycattempt.Defaults())
	must.Eq(t, sycattempt.GiveUp, p.Decide(time.Second, sycattempt.Unsent, always).Step)
}

// TestPlanInvariants draws events in random order. It checks that a request ends within
// its limits, that an at-most-once request isn't repeated once it may have run, that
// NotRun is true only if it can't have run, and that equal plans decide equally.
func TestPlanInvariants(t *testing.T) {
	settings := sycattempt.Defaults()
	rapid.Check(t, func(r *rapid.T) {
		kind := sycattempt.Kind(rapid.IntRange(0, 2).Draw(r, "kind"))
		seed := rapid.Uint64().Draw(r, "seed")
		p := sycattempt.New(kind, seed, time.Hour, settings)
		twin := sycattempt.New(kind, seed, time.Hour, settings)
		mayHaveRun, delivered := false, false
		position, failures := 0, 0
		for {
			if kind == sycattempt.Generation && rapid.Bool().Draw(r, "progress") {
				position++
				p.Progress(position)
				twin.Progress(position)
				mayHaveRun = true
			}
			if position > 0 && rapid.Bool().Draw(r, "delivered") {
				p.Delivered()
				twin.Delivered()
				delivered = true
			}
			event := sycattempt.Event(rapid.IntRange(0, 6).Draw(r, "event"))
			ran := event == sycattempt.Broken || event == sycattempt.Lost
			mayHaveRun = mayHaveRun || ran
			action := p.Decide(0, event, always)
			must.Eq(r, action, twin.Decide(0, event, always))
			failures++
			must.LessEq(r, settings.MaxAttempts, failures)
			must.Between(r, 0, action.Wait, settings.MaxWait)
			must.Eq(r, !mayHaveRun, p.NotRun())
			if action.Step == sycattempt.GiveUp {
				must.Eq(r, !mayHaveRun, action.NotRun)
				return
			}
			must.False(r, kind == sycattempt.AtMostOnce && mayHaveRun)
			must.False(r, delivered && action.Step == sycattempt.Restart)
			if action.Step == sycattempt.Restart {
				position = 0
			}
		}
	})
}

// TestOutageDoesNotMultiplyLoad checks the number of retries in an outage if every request
// is retried as often as the budget allows.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	const requests, perSecond = 2000, 100
	allowance := sycattempt.Allowance{RetryFraction: 0.2, Floor: 10}
	budgets := sycattempt.NewBudgets(allowance)
	retries := 0
	for i := range requests {
		now := time.Duration(i) * time.Second / perSecond
		b := budgets.Get(now, "endpoint")
		b.Request(now)
		for b.Allows(now) {
			b.Spend(now)
			retries++
		}
	}
	t.Logf("%d requests in an outage, %d retries", requests, retries)
	windows := float64(requests) / perSecond / 10
	must.LessEq(t, int(0.2*requests+10*(windows+1)), retries)
	must.Positive(t, retries)
}

// TestBudgetsForgetIdleNames checks that unused budgets are removed, so that memory is
// bounded by the names in use.
func TestBudgetsForgetIdleNames(t *testing.T) {
	budgets := sycattempt.NewBudgets(sycattempt.Allowance{Floor: 1})
	for _, name := range []string{"a", "b", "c"} {
		budgets.Get(0, name).Request(0)
	}
	must.Eq(t, 3, budgets.Len())
	budgets.Get(time.Minute, "d").Request(time.Minute)
	must.Eq(t, 1, budgets.Len())
}
