package sycfeed

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
)

// target is an engine to poll.
type target struct {
	name    string
	address string
}

// pollDue starts the polls that are due and returns the time to the next look.
func (f *Feed) pollDue(ctx context.Context) time.Duration {
	var targets []target
	wait := configPeriod
	f.options.Loop.Do(func(now time.Duration) {
		f.plan.Members(f.options.Members(now))
		names, next := f.plan.Due(now)
		for _, name := range names {
			targets = append(targets, target{name: name, address: f.addresses[name]})
		}
		wait = next - now
	})
	for _, t := range targets {
		f.tomb.Go(func() error {
			f.poll(ctx, t)
			return nil
		})
	}
	return wait
}

// poll asks an engine for its load.
func (f *Feed) poll(ctx context.Context, t target) {
	start := time.Now()
	answer, err := get[loadAnswer](ctx, f.client, t.address+"/v1/load", pollTimeout)
	if ctx.Err() != nil {
		return
	}
	polls.Inc()
	if err != nil {
		pollErrors.Inc()
		f.failed(t, err)
		return
	}
	end := time.Now()
	report, age := answer.report(), ageOf(answer.AsOf, end)
	f.options.Loop.Do(func(now time.Duration) {
		if f.addresses[t.name] != t.address {
			return
		}
		f.options.Sink.RoundTrip(t.name, end.Sub(start))
		if f.plan.Ended(now, t.name, sycpoll.Answered, planned(report, answer.AsOf)).Take {
			f.newest[t.name] = report
			f.options.Sink.Report(now, t.name, age, report)
			f.news.add(t.name, now-end.Sub(start), answer.AsOf, report)
		}
	})
}

// failed takes a poll that brought no report.
func (f *Feed) failed(t target, err error) {
	outcome := sycpoll.Unanswered
	if unreachable(err) {
		outcome = sycpoll.Refused
	}
	f.options.Loop.Do(func(now time.Duration) {
		if f.addresses[t.name] != t.address {
			return
		}
		v := f.plan.Ended(now, t.name, outcome, sycpoll.Report{})
		if outcome == sycpoll.Refused {
			f.options.Sink.Unreachable(now, t.name)
		}
		if v.Silent {
			f.options.Sink.Silent(now, t.name)
		}
		if v.Tell {
			f.news.warn(t.name)
			f.options.Urgent()
		}
	})
}

func planned(r sycdispatch.Report, asOf time.Time) sycpoll.Report {
	return sycpoll.Report{
		Incarnation: r.Incarnation,
		AsOf:        asOf.UnixNano(),
		Busy:        r.Running+r.Waiting > 0,
	}
}
