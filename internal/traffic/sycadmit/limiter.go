package sycadmit

import (
	"context"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// defaultRetryAfter is how long a caller should wait before it retries a request that was
// refused over the limit of public routes or because the VM is stopping.
const defaultRetryAfter = time.Second

// Limiter admits requests by their customers' limits. It implements sycwork.Limiter.
type Limiter struct {
	// options has its unset settings filled in.
	options Options
	// tomb ends the limiter's goroutines.
	tomb tomb.Tomb
	// public limits the requests on public routes.
	public *rate.Limiter
	// control must be accessed on the control loop only.
	control *control
	// wake passes the time of the next tick to the timer goroutine.
	wake chan time.Duration
}

var _ sycwork.Limiter = (*Limiter)(nil)

// verdict is the decision on a waiting request.
type verdict struct {
	// refusal says why the request is refused. It is nil if the request got a permit.
	refusal *sycwork.Refusal
	// at is the time of the decision on the control loop.
	at time.Duration
}

// New starts a limiter. It accrues nothing before the first Refresh. The caller must have
// opened the listener of the VM's peer address before, which proves that the process that
// used the address earlier has ended.
func New(o Options) *Limiter {
	o.Settings = o.Settings.Defaults()
	l := &Limiter{
		options: o,
		public:  rate.NewLimiter(rate.Limit(o.Settings.PublicRate), o.Settings.PublicBurst),
		wake:    make(chan time.Duration, 1),
	}
	l.control = newControl(l)
	o.Loop.OnPause(maxPause(o.Roster.ListLag()), l.control.restartSlots)
	l.tomb.Go(l.timer)
	if o.Propose != nil {
		l.tomb.Go(l.runTakeovers)
	}
	return l
}

// maxPause returns the longest process pause after which a VM keeps its rate slots. Other
// VMs take the slots over when the platform's list hasn't shown the VM for longer than
// listLag, and the platform removes it from the list only after the pause has begun. So
// three quarters of the lag are safe.
func maxPause(listLag time.Duration) time.Duration { return listLag / 4 * 3 }

// Close stops the limiter's goroutines and waits for them. Waiting requests are refused.
func (l *Limiter) Close() error {
	l.options.Loop.Do(func(time.Duration) { l.control.closed = true })
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// Admit waits for a permit of the customer. An empty customer stands for a request on a
// public route. The error is a *sycwork.Refusal if the request gets no permit, or the
// context's error if the caller stops waiting.
func (l *Limiter) Admit(ctx context.Context, customer string) error {
	if customer == "" {
		return l.admitPublic()
	}
	for {
		v, err := l.awaitVerdict(ctx, customer)
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

// admitPublic admits a request on a public route, which belongs to no customer.
func (l *Limiter) admitPublic() error {
	if l.public.Allow() {
		return nil
	}
	countRefusal("open")
	return &sycwork.Refusal{
		Reason:     sycwork.OverRate,
		Message:    "too many requests on open routes",
		RetryAfter: defaultRetryAfter,
	}
}

// awaitVerdict queues a request on the control loop and waits for its verdict.
func (l *Limiter) awaitVerdict(ctx context.Context, customer string) (verdict, error) {
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

// stopping returns the refusal of a request while the limiter is closing.
func stopping() *sycwork.Refusal {
	return &sycwork.Refusal{Reason: sycwork.NotReady, Message: "the VM is stopping", RetryAfter: defaultRetryAfter}
}

// timer runs the control loop's ticks at the times that setWake passes.
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

// setWake sets the time of the next tick. It must be called on the control loop and does
// not block.
func (l *Limiter) setWake(at time.Duration) {
	select {
	case <-l.wake:
	default:
	}
	l.wake <- at
}

// refusal converts a rejection by the rate limiter to the refusal that the caller gets.
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
