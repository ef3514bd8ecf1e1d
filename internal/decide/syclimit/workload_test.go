package syclimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ideal is one token bucket for all VMs; its refusals are the customer's own
// fault.
type ideal struct {
	tokens float64
	at     time.Duration
}

func (b *ideal) take(now time.Duration, f faults) bool {
	b.tokens = min(f.burst, b.tokens+f.rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// thinned drops arrivals, so that a steady process becomes one whose rate varies.
func (fl *fleet) thinned() bool {
	if fl.f.level == nil {
		return false
	}
	part := float64(fl.now-fl.f.warm) / float64(fl.f.length-fl.f.warm)
	return fl.rng.Float64() > fl.f.level(part)
}

// wrongful is by how much the granted requests fall short of those within the
// rate.
func (f figures) wrongful() int { return max(0, f.conforming-f.granted) }

// morning is the load tool's shape of a customer that keeps to its rate: a
// high peak, then a low one.
func morning(part float64) float64 {
	level := 0.1 + 0.9*math.Pow(math.Sin(2*math.Pi*part), 2)
	if part >= 0.5 {
		level *= 0.15
	}
	return level
}

// greedy returns the shape of a customer that sends some times its rate in a
// quarter of the run.
func greedy(excess float64) func(part float64) float64 {
	return func(part float64) float64 {
		if part >= 0.25 && part < 0.5 {
			return 1
		}
		return morning(part) * 0.7 / excess
	}
}

// patron is a customer of a deployment with its traffic.
type patron struct {
	name        string
	rate, burst float64
	excess      float64
	near        int // VMs per failure domain
	delay       time.Duration
}

func patrons() []patron {
	const bottlers, dairies = 3, 2
	return []patron{
		{"rota", 30, 60, 0, bottlers, 2 * time.Millisecond},
		{"gorce", 6, 12, 0, bottlers, 2 * time.Millisecond},
		{"pieniny", 4, 8, 5, bottlers, 2 * time.Millisecond},
		{"union", 32, 64, 0, dairies, time.Millisecond},
		{"epirus", 6, 12, 0, dairies, time.Millisecond},
		{"drivers", 5, 10, 4, dairies, time.Millisecond},
	}
}

// traffic is the run of the load tool with a factor on all rates.
func (p patron) traffic(factor float64) faults {
	f := faults{
		vms: 8, near: p.near, rate: p.rate, burst: p.burst, delay: p.delay, drift: 0.0005,
		warm: 5 * time.Second, length: 25 * time.Second,
	}
	f.load, f.level = 0.7*p.rate*factor, morning
	if p.excess > 0 {
		f.load, f.level = p.excess*p.rate*factor, greedy(p.excess)
	}
	return f
}

// Few requests inside the rate may be refused, also to a customer that sends
// several times its rate.
func TestFewWrongfulRefusals(t *testing.T) {
	const seeds = 20
	for _, p := range patrons() {
		f := p.traffic(1.5)
		most := 0.01
		if p.excess > 0 {
			most = 0.04
		}
		t.Run(p.name, func(t *testing.T) {
			within, wrongful := 0, 0
			for seed := range uint64(seeds) {
				got := newFleet(f, seed).run()
				within += got.conforming
				wrongful += got.wrongful()
				must.LessEq(t, 1e-6, overspend(got.spends, f.rate, f.burst))
			}
			t.Logf("%d requests inside the rate, %d refused", within, wrongful)
			must.LessEq(t, most*float64(within), float64(wrongful))
		})
	}
}

// A customer whose burst is smaller than the number of VMs must be served. Its
// tokens lie at all of them, so that the target is lower.
func TestSmallBurstsAreServed(t *testing.T) {
	cases := []struct {
		name        string
		rate, burst float64
		most        float64
	}{
		{name: "burst 1", rate: 1, burst: 1, most: 0.2},
		{name: "burst 2", rate: 1, burst: 2, most: 0.2},
		{name: "burst 5", rate: 2, burst: 5, most: 0.04},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := faults{
				vms: 8, near: 3, rate: c.rate, burst: c.burst, load: 0.8 * c.rate,
				delay: 3 * time.Millisecond, drift: 0.0005, warm: 10 * time.Second, length: 70 * time.Second,
			}
			within, wrongful := 0, 0
			for seed := range uint64(10) {
				got := newFleet(f, seed).run()
				within += got.conforming
				wrongful += got.wrongful()
				must.LessEq(t, 1e-6, overspend(got.spends, f.rate, f.burst))
			}
			t.Logf("%d requests inside the rate, %d refused", within, wrongful)
			must.LessEq(t, c.most*float64(within), float64(wrongful))
		})
	}
}

// BenchmarkDeployments reports the refusals of requests within the rate, by
// customer and the factor on all rates.
func BenchmarkDeployments(b *testing.B) {
	for _, p := range patrons() {
		for _, factor := range []float64{1.5, 2, 3} {
			f := p.traffic(factor)
			b.Run(fmt.Sprintf("%s/%.1f", p.name, factor), func(b *testing.B) {
				var sum figures
				wrongful, over := 0, -f.burst
				for i := range b.N {
					got := newFleet(f, uint64(i)).run()
					sum.add(got)
					sum.conforming += got.conforming
					wrongful += got.wrongful()
					over = max(over, overspend(got.spends, f.rate, f.burst))
				}
				b.ReportMetric(float64(wrongful)/float64(b.N), "wrongful/run")
				b.ReportMetric(float64(sum.conforming)/float64(b.N), "within/run")
				report(b, f, sum, over)
			})
		}
	}
}
