package sycadmit

import (
	"context"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// openRetry is when a refused request on an open route may come again.
const openRetry = time.Second

// Limiter implements sycwork.Limiter.
type Limiter struct {
	options Options
	tomb    tomb.Tomb
	open    *rate.Limiter
	// control belongs to the control loop.
	control *control
	// wake holds the time until which the timer must next sleep.
	wake chan time.Duration
}

var _ sycwork.Limiter = (*Limiter)(nil)

// verdict ends a request's wait.
type verdict struct {
	refusal *sycwork.Refusal
	// at is when the verdict was decided.
	at time.Duration
}

// New starts a limiter. It accrues nothing before the first Refresh. The
// listener of the VM's peer address must be open, which proves that the
// process that used it before is gone.
func New(o Options) *Limiter {
	o.Settings = o.Settings.Defaults()
	l := &Limiter{
		options: o,
		open:    rate.NewLimiter(rate.Limit(o.Settings.PublicRate), o.Settings.PublicBurst),
		wake:    make(chan time.Duration, 1),
	}
	l.control = newControl(l)
	o.Loop.Watch(stillPart(o.Roster.ListLag()), l.control.restart)
	l.tomb.Go(l.timer)
	if o.Propose != nil {
		l.tomb.Go(l.claim)
	}
	return l
}

// stillPart is how long a VM may stand still and keep its slots. The platform
// removes it from the list after that time began, and others claim its slots when
// the list has not shown it for longer than the lag.
func stillPart(listLag time.Duration) time.Duration { return listLag / 4 * 3 }

// Close ends the limiter's goroutines and waits for them. Requests that wait
// are refused.
func (l *Limiter) Close() error {
	l.options.Loop.Do(func(time.Duration) { l.control.closed = true })
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// Admit waits for a token of the customer. It fails with *sycwork.Refusal, or
// with the context's error when the caller has gone.
func (l *Limiter) Admit(ctx context.Context, customer string) error {
	if customer == "" {
		return l.admitOpen()
	}
	for {
		v, err := l.ask(ctx, customer)
		if err != nil {
			return err
		}
		if v.refusal != nil {
			return v.refusal
		}
		if l.options.Loop.Now()-v.at <= l.options.Settings.GrantTerm {
			admitted.Inc()
			return nil
		}
		expiredGrants.Inc()
	}
}

// admitOpen bounds the requests that no customer stands for.
func (l *Limiter) admitOpen() error {
	if l.open.Allow() {
		return nil
	}
	countRefusal("open")
	return &sycwork.Refusal{
		Reason:     sycwork.OverRate,
		Message:    "too many requests on open routes",
		RetryAfter: openRetry,
	}
}

// ask passes a request to the control loop and waits for its verdict.
func (l *Limiter) ask(ctx context.Context, customer string) (verdict, error) {
	decided := make(chan verdict, 1)
	var id uint64
	alive := l.options.Loop.Post(func(now time.Duration) {
		id = l.control.admit(now, customer, decided)
	})
	if !alive {
		return verdict{refusal: stopping()}, nil
	}
	select {
	case v := <-decided:
		return v, nil
	case <-ctx.Done():
		l.options.Loop.Post(func(time.Duration) { l.control.cancel(customer, id) })
		return verdict{}, ctx.Err()
	case <-l.tomb.Dying():
		return verdict{refusal: stopping()}, nil
	}
}

func stopping() *sycwork.Refusal {
	return &sycwork.Refusal{Reason: sycwork.NotReady, Message: "the VM is stopping", RetryAfter: openRetry}
}

// timer ticks the control state whenever a waiting request may have its turn.
func (l *Limiter) timer() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case at := <-l.wake:
			timer.Reset(at - l.options.Loop.Now())
		case <-timer.C:
			l.options.Loop.Post(l.control.tick)
		}
	}
}

// setWake replaces the time at which the timer fires. It does not block.
func (l *Limiter) setWake(at time.Duration) {
	select {
	case <-l.wake:
	default:
	}
	l.wake <- at
}

// refusal describes a refused request to its caller.
func refusal(a syclimit.Reject) *sycwork.Refusal {
	r := &sycwork.Refusal{Reason: sycwork.OverRate, RetryAfter: a.RetryAfter}
	switch a.Cause {
	case syclimit.NoSlots:
		r.Reason = sycwork.NoSlots
		r.Message = "no VM in reach accrues requests of the customer"
	case syclimit.NoLimit:
		r.Message = "the customer may run no requests"
	case syclimit.QueueFull:
		r.Message = "too many requests of the customer wait"
	default:
		r.Message = "the customer is over its rate"
	}
	return r
}
