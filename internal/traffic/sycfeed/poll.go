package sycfeed

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
)

// target is an engine to poll, with its base URL.
type target struct {
	// name is the name of the engine's record.
	name    string
	address string
}

// pollDue starts the polls that are due and returns the time until the next one may be due.
func (f *Feed) pollDue(ctx context.Context) time.Duration {
	var targets []target
	wait := configPeriod
	f.options.Loop.Do(func(now time.Duration) {
		f.plan.SetMembers(f.options.Members(now))
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

// poll fetches an engine's load report and applies it on the control loop. A report from an
// address that the engine no longer has is dropped.
func (f *Feed) poll(ctx context.Context, t target) {
	start := time.Now()
	response, err := get[loadResponse](ctx, f.client, t.address+"/v1/load", pollTimeout)
	if ctx.Err() != nil {
		return
	}
	polls.Inc()
	if err != nil {
		pollErrors.Inc()
		f.pollFailed(t, err)
		return
	}
	end := time.Now()
	report, age := response.report(), ageOf(response.AsOf, end)
	f.options.Loop.Do(func(now time.Duration) {
		if f.addresses[t.name] != t.address {
			return
		}
		f.options.Sink.RoundTrip(t.name, end.Sub(start))
		if f.plan.Ended(now, t.name, sycpoll.Answered, planReport(report, response.AsOf)).Apply {
			f.newest[t.name] = report
			f.options.Sink.Report(now, t.name, age, report)
			f.outbox.add(t.name, now-end.Sub(start), response.AsOf, report)
		}
	})
}

// pollFailed records on the control loop that a poll got no load report.
func (f *Feed) pollFailed(t target, err error) {
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
		if v.Warn {
			f.outbox.addUnreached(t.name)
			f.options.Urgent()
		}
	})
}

// planReport returns the part of a load report that the plan needs.
func planReport(r sycdispatch.Report, asOf time.Time) sycpoll.Report {
	return sycpoll.Report{
		Incarnation: r.Incarnation,
		AsOf:        asOf.UnixNano(),
		Busy:        r.Running+r.Waiting > 0,
	}
}
