package syclimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// centralBucket is one token bucket for all VMs. A request that it rejects is over
// the customer's rate.
type centralBucket struct {
	permits float64
	at      time.Duration
}

// take spends a permit and reports whether there was one.
func (b *centralBucket) take(now time.Duration, f scenario) bool {
	b.permits = min(f.burst, b.permits+f.rate*(now-b.at).Seconds())
	b.at = now
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}

// skipArrival reports whether to drop an arrival. This turns a constant load into one
// of the given shape.
func (fl *fleet) skipArrival() bool {
	if fl.f.loadShape == nil {
		return false
	}
	progress := float64(fl.now-fl.f.warmup) / float64(fl.f.length-fl.f.warmup)
	return fl.rng.Float64() > fl.f.loadShape(progress)
}

// wrongRejections returns how many fewer requests were granted than a central bucket
// would have granted.
func (f figures) wrongRejections() int { return max(0, f.conforming-f.granted) }

// twoPeaks returns the fraction of the highest load that a customer sends at a
// progress of the run between 0 and 1. Like the load tool's customers that keep to
// their rate, it has a high peak, then a low one.
func twoPeaks(progress float64) float64 {
	level := 0.1 + 0.9*math.Pow(math.Sin(2*math.Pi*progress), 2)
	if progress >= 0.5 {
		level *= 0.15
	}
	return level
}

// overload returns the load of a customer that sends a multiple of its rate in the
// second quarter of the run and keeps to its rate otherwise.
func overload(excess float64) func(progress float64) float64 {
	return func(progress float64) float64 {
		if progress >= 0.25 && progress < 0.5 {
			return 1
		}
		return twoPeaks(progress) * 0.7 / excess
	}
}

// workload is a customer of a deployment with its traffic.
type workload struct {
	name        string
	rate, burst float64
	excess      float64 // multiple of the rate that is sent in the overload; 0 for none
	domainSize  int     // VMs per failure domain
	delay       time.Duration
}

// workloads returns the customers of the load tool's two deployments.
func workloads() []workload {
	// The VMs per failure domain of the two deployments.
	const bottlers, dairies = 3, 2
	return []workload{
		{"rota", 30, 60, 0, bottlers, 2 * time.Millisecond},
		{"gorce", 6, 12, 0, bottlers, 2 * time.Millisecond},
		{"pieniny", 4, 8, 5, bottlers, 2 * time.Millisecond},
		{"union", 32, 64, 0, dairies, time.Millisecond},
		{"epirus", 6, 12, 0, dairies, time.Millisecond},
		{"drivers", 5, 10, 4, dairies, time.Millisecond},
	}
}

// traffic returns the run of the load tool with the sent rate multiplied by a factor.
func (w workload) traffic(factor float64) scenario {
	f := scenario{
		vms: 8, domainSize: w.domainSize, rate: w.rate, burst: w.burst, delay: w.delay, drift: 0.0005,
		warmup: 5 * time.Second, length: 25 * time.Second,
	}
	f.load, f.loadShape = 0.7*w.rate*factor, twoPeaks
	if w.excess > 0 {
		f.load, f.loadShape = w.excess*w.rate*factor, overload(w.excess)
	}
	return f
}

// At most 1% of the requests within the rate may be rejected, and 4% for a customer
// that sends several times its rate.
func TestFewWrongRejections(t *testing.T) {
	const seeds = 20
	for _, w := range workloads() {
		f := w.traffic(1.5)
		maxWrong := 0.01
		if w.excess > 0 {
			maxWrong = 0.04
		}
		t.Run(w.name, func(t *testing.T) {
			within, wrong := 0, 0
			for seed := range uint64(seeds) {
				got := newFleet(f, seed).run()
				within += got.conforming
				wrong += got.wrongRejections()
				must.LessEq(t, 1e-6, overspend(got.spends, f.rate, f.burst))
			}
			t.Logf("%d requests within the rate, %d rejected", within, wrong)
			must.LessEq(t, maxWrong*float64(within), float64(wrong))
		})
	}
}

// A customer whose burst is smaller than the number of VMs must be served. Its permits
// are spread over all VMs, so more wrong rejections are allowed.
func TestSmallBurstsAreServed(t *testing.T) {
	cases := []struct {
		name        string
		rate, burst float64
		maxWrong    float64 // rejected fraction of the requests within the rate
	}{
		{name: "burst 1", rate: 1, burst: 1, maxWrong: 0.2},
		{name: "burst 2", rate: 1, burst: 2, maxWrong: 0.2},
		{name: "burst 5", rate: 2, burst: 5, maxWrong: 0.04},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := scenario{
				vms: 8, domainSize: 3, rate: c.rate, burst: c.burst, load: 0.8 * c.rate,
				delay: 3 * time.Millisecond, drift: 0.0005, warmup: 10 * time.Second, length: 70 * time.Second,
			}
			within, wrong := 0, 0
			for seed := range uint64(10) {
				got := newFleet(f, seed).run()
				within += got.conforming
				wrong += got.wrongRejections()
				must.LessEq(t, 1e-6, overspend(got.spends, f.rate, f.burst))
			}
			t.Logf("%d requests within the rate, %d rejected", within, wrong)
			must.LessEq(t, c.maxWrong*float64(within), float64(wrong))
		})
	}
}

// BenchmarkDeployments reports the rejections of requests within the rate, by customer
// and by the factor on the sent rate.
func BenchmarkDeployments(b *testing.B) {
	for _, w := range workloads() {
		for _, factor := range []float64{1.5, 2, 3} {
			f := w.traffic(factor)
			b.Run(fmt.Sprintf("%s/%.1f", w.name, factor), func(b *testing.B) {
				var sum figures
				wrong, over := 0, -f.burst
				for i := range b.N {
					got := newFleet(f, uint64(i)).run()
					sum.add(got)
					sum.conforming += got.conforming
					wrong += got.wrongRejections()
					over = max(over, overspend(got.spends, f.rate, f.burst))
				}
				b.ReportMetric(float64(wrong)/float64(b.N), "wrongful/run")
				b.ReportMetric(float64(sum.conforming)/float64(b.N), "within/run")
				report(b, f, sum, over)
			})
		}
	}
}
