package sycthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

// TestNewsOfALimit guards against a limit that is missed, or lifted by an answer from before it was named.
func TestNewsOfALimit(t *testing.T) {
	const s = time.Second
	// answer is one that came at a time, to a request sent at another.
	type answer struct {
		at, sentAt time.Duration
		rate       float64
	}
	tests := []struct {
		name    string
		answers []answer
		want    sycthrottle.Change
		rate    float64
	}{
		{"none", []answer{{s, 0, 0}}, sycthrottle.Unchanged, 0},
		{"named", []answer{{s, 0, 2}}, sycthrottle.Named, 2},
		{"the same again", []answer{{s, 0, 2}, {2 * s, s, 2}}, sycthrottle.Unchanged, 2},
		{"lower, in an older answer", []answer{{3 * s, 2 * s, 2}, {4 * s, 0, 1}}, sycthrottle.Changed, 1},
		{"higher, in an older answer", []answer{{3 * s, 2 * s, 2}, {4 * s, 3 * s, 4}}, sycthrottle.Unchanged, 2},
		{"higher, in a later answer", []answer{{3 * s, 2 * s, 2}, {4 * s, 3*s + 1, 4}}, sycthrottle.Changed, 4},
		{"lifted by an older answer", []answer{{3 * s, 2 * s, 2}, {4 * s, 2 * s, 0}}, sycthrottle.Unchanged, 2},
		{"lifted by a later answer", []answer{{3 * s, 2 * s, 2}, {5 * s, 4 * s, 0}}, sycthrottle.Lifted, 0},
		{"confirmed meanwhile", []answer{{3 * s, 2 * s, 2}, {5 * s, 3 * s, 2}, {6 * s, 4 * s, 0}}, sycthrottle.Unchanged, 2},
		{"named again", []answer{{3 * s, 2 * s, 2}, {5 * s, 4 * s, 0}, {6 * s, 0, 3}}, sycthrottle.Named, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			throttle := sycthrottle.New(0, "a", "e", []sycthrottle.VM{{Address: "a", FailureDomain: "z", Runs: true}})
			var got sycthrottle.Change
			for _, a := range tt.answers {
				got = throttle.Observe(a.at, a.sentAt, a.rate)
			}
			must.Eq(t, tt.want, got)
			must.Eq(t, tt.rate, throttle.Rate())
		})
	}
}

// TestLimitsWithTheSameNumber guards against VMs that disagree for good about a limit.
func TestLimitsWithTheSameNumber(t *testing.T) {
	reports := []sycthrottle.Report{{Rate: 3, Number: 1}, {Rate: 2, Number: 1}, {Rate: 0, Number: 1}, {Rate: 9, Number: 0}}
	for seed := range uint64(20) {
		throttle := sycthrottle.New(0, "a", "e", nil)
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(reports)) {
			throttle.Receive(0, fmt.Sprint("vm", i), "1", reports[i])
		}
		must.Eq(t, 2, throttle.Rate(), must.Sprintf("seed %d", seed))
	}
}

// TestReturnedRequestMayBeSent guards against a limit that is used up by requests that weren't sent.
func TestReturnedRequestMayBeSent(t *testing.T) {
	throttle := sycthrottle.New(0, "a", "e", []sycthrottle.VM{{Address: "a", FailureDomain: "z", Runs: true}})
	throttle.Observe(0, 0, 1)
	must.False(t, throttle.Take(0))
	must.True(t, throttle.Take(time.Second))
	after, ok := throttle.Wait(time.Second)
	must.False(t, ok)
	must.Eq(t, time.Second, after)
	throttle.Return()
	must.True(t, throttle.Take(time.Second))
}

// TestReportOfManyRequestsDoesNotStarve guards against an endpoint that gets no requests for long since another VM
// reports all that it has ever sent.
func TestReportOfManyRequestsDoesNotStarve(t *testing.T) {
	vms := []sycthrottle.VM{{Address: "a", FailureDomain: "z", Runs: true}, {Address: "b", FailureDomain: "z", Runs: true}}
	throttle := sycthrottle.New(0, "a", "e", vms)
	throttle.Observe(0, 0, 1)
	throttle.Heard(0, 0, "b", "1")
	throttle.Receive(10*time.Second, "b", "1", sycthrottle.Report{Rate: 1, Number: 1, Sent: 1000})
	throttle.Heard(20*time.Second, 20*time.Second, "b", "1")
	must.True(t, throttle.Take(20*time.Second))
}
