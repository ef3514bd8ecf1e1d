package sycadmit_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
)

const (
	// customer is the name of the only customer in the tests.
	customer = "spring"
	// perSec and burst are its rate in requests per second and its burst in requests.
	perSec = 200
	burst  = 20
)

// customers holds the customer's record.
var customers = map[string]sycrecord.CustomerFields{customer: {Rate: perSec, Burst: burst, Weight: 1}}

// admission is a request that was admitted at some time between from, when it was sent, and
// to, when Admit returned. Both count from the start of the load.
type admission struct{ from, to time.Duration }

// load sends requests at a constant rate and records which were admitted.
type load struct {
	// mu guards the results of requests.
	mu sync.Mutex
	// wait waits for the requests that are still running.
	wait  sync.WaitGroup
	start time.Time
	// admitted lists the admitted requests.
	admitted []admission
	// offered counts the requests sent, refused those that got an error.
	offered int
	refused int
	// badRetry counts the errors that are no refusal with a positive RetryAfter.
	badRetry int
}

// send sends rate requests per second to the VMs in turn for the duration span, and waits
// until all have ended.
func (l *load) send(rate int, span time.Duration, vms []*vm) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-ticker.C
		v := vms[l.offered%len(vms)]
		l.offered++
		l.wait.Go(func() { l.admit(v) })
	}
	l.wait.Wait()
}

// admit sends a request to a VM and records the result.
func (l *load) admit(v *vm) {
	from := time.Since(l.start)
	err := v.limiter.Load().Admit(context.Background(), customer)
	to := time.Since(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.admitted = append(l.admitted, admission{from: from, to: to})
		return
	}
	l.refused++
	var refusal *sycwork.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		l.badRetry++
	}
}

// overspend returns the largest excess over burst + rate*length in any window, counting the
// requests that were certainly admitted within the window.
func (l *load) overspend() float64 {
	slices.SortFunc(l.admitted, func(a, b admission) int { return int(a.to - b.to) })
	worst := -float64(burst)
	for _, first := range l.admitted {
		inside := 0
		for _, last := range l.admitted {
			if last.from < first.from {
				continue
			}
			inside++
			length := (last.to - first.from).Seconds()
			worst = max(worst, float64(inside)-burst-perSec*length)
		}
	}
	return worst
}

// TestLimitsHoldOverTheFleet checks that 8 VMs together admit at most burst + rate*length
// requests in any window, whichever VMs get the requests, with faulty links and restarts.
func TestLimitsHoldOverTheFleet(t *testing.T) {
	cases := []struct {
		name        string
		skew        bool
		injectFault func(r *rig)
	}{
		{name: "balanced", injectFault: func(*rig) {}},
		{name: "all requests to one VM", skew: true, injectFault: func(*rig) {}},
		{name: "responses of half the VMs are lost", skew: true, injectFault: func(r *rig) {
			for _, v := range r.vms[4:] {
				r.proxies[v.address].Set(sycfault.Fault{LoseToClient: true})
			}
		}},
		{name: "slow links", skew: true, injectFault: func(r *rig) {
			for _, p := range r.proxies {
				p.Set(sycfault.Fault{Latency: 20 * time.Millisecond, Jitter: 20 * time.Millisecond})
			}
		}},
		{name: "all VMs restart", injectFault: func(r *rig) {
			time.Sleep(500 * time.Millisecond)
			for _, v := range r.vms[1:] {
				v.restart()
			}
			r.refresh()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 8, customers)
			targets := r.vms[:1]
			if !c.skew {
				targets = slices.Clone(r.vms)
			}
			l := &load{start: time.Now()}
			done := make(chan struct{})
			sent := metrics.GetOrCreateCounter(`sycamorecart_peer_calls_total{side="client",call="Borrow",result="ok"}`)
			bytes := metrics.GetOrCreateCounter(`sycamorecart_peer_bytes_total{direction="sent"}`)
			before, bytesBefore := sent.Get(), bytes.Get()
			go func() {
				defer close(done)
				l.send(2*perSec, 2*time.Second, targets)
			}()
			c.injectFault(r)
			<-done
			elapsed := time.Since(l.start).Seconds()
			t.Logf("offered %d, admitted %d, refused %d, overspend %.1f, loans asked %d, admitted of the allowance %.2f, %.0f B/s sent per VM",
				l.offered, len(l.admitted), l.refused, l.overspend(), sent.Get()-before,
				float64(len(l.admitted))/(burst+perSec*elapsed), float64(bytes.Get()-bytesBefore)/elapsed/float64(len(r.vms)))
			must.LessEq(t, 0, l.overspend())
			must.Zero(t, l.badRetry)
			must.Positive(t, len(l.admitted))
		})
	}
}
