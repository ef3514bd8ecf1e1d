package syclimit_test

import (
	"testing"
	"time"
)

// BenchmarkFleet reports for each load, fault and mechanism: the admitted fraction
// of the requests that the limit allows, the rejected fraction of all requests, the
// overspend in requests, messages per second and VM, and the mean wait.
func BenchmarkFleet(b *testing.B) {
	base := scenario{vms: 8, domainSize: 3, rate: 200, burst: 50, load: 160, delay: 3 * time.Millisecond, drift: 0.0005, length: 20 * time.Second}
	cases := []struct {
		name string
		set  func(f *scenario)
	}{
		{"balanced-80%", func(*scenario) {}},
		{"skewed-80%", func(f *scenario) { f.skew = true }},
		{"balanced-95%", func(f *scenario) { f.load = 190 }},
		{"skewed-95%", func(f *scenario) { f.load, f.skew = 190, true }},
		{"balanced-300%", func(f *scenario) { f.load = 600 }},
		{"skewed-300%", func(f *scenario) { f.load, f.skew = 600, true }},
		{"small-balanced-80%", func(f *scenario) { f.rate, f.burst, f.load, f.length = 2, 5, 1.6, 2*time.Minute }},
		{"small-skewed-80%", func(f *scenario) { f.rate, f.burst, f.load, f.length, f.skew = 2, 5, 1.6, 2*time.Minute, true }},
		{"tight-skewed-80%", func(f *scenario) { f.burst, f.skew = 20, true }},
		{"shift-80%", func(f *scenario) { f.shift = true }},
		{"shift-95%", func(f *scenario) { f.load, f.shift = 190, true }},
		{"shift-slow-80%", func(f *scenario) { f.shift, f.delay = true, 40*time.Millisecond }},
		{"slot-lost-80%", func(f *scenario) { f.fractions = lastLost }},
		{"slot-lost-95%", func(f *scenario) { f.load, f.fractions = 190, lastLost }},
		{"loss-5%", func(f *scenario) { f.loss, f.skew = 0.05, true }},
		{"one-way-cut", func(f *scenario) { f.muteLastVM = true }},
		{"herd", func(f *scenario) { f.restartAll = true }},
		{"crashes", func(f *scenario) { f.crashes = 8 }},
		{"pauses", func(f *scenario) { f.pauses = 8 }},
	}
	for _, c := range cases {
		f := base
		c.set(&f)
		for _, m := range mechanisms(f) {
			b.Run(c.name+"/"+m.name, func(b *testing.B) {
				var sum figures
				over := -f.burst
				var recovered time.Duration
				for i := range b.N {
					got := newFleet(m.scenario, uint64(i)).run()
					over = max(over, overspend(got.spends, f.rate, f.burst))
					sum.add(got)
					recovered += recovery(got.spends, f)
				}
				if f.shift {
					b.ReportMetric(float64(recovered.Milliseconds())/float64(b.N), "ms-to-rate")
				}
				report(b, f, sum, over)
			})
		}
	}
}

// lastLost gives all VMs but the last an equal fraction. Nobody accrues the last VM's.
func lastLost(i, n int) float64 {
	if i == n-1 {
		return 0
	}
	return 1 / float64(n)
}

// mechanism is a way to limit a customer over several VMs, set up by a scenario.
type mechanism struct {
	name     string
	scenario scenario
}

// mechanisms returns the compared mechanisms: fractions with loans (escrow), fixed
// fractions without loans (split), and one VM that accrues and lends everything
// (granter).
func mechanisms(f scenario) []mechanism {
	split, granter := f, f
	split.noLending = true
	granter.fractions = func(i, n int) float64 {
		if i == n/2 {
			return 1
		}
		return 0
	}
	granter.settings.LendFraction = 1
	return []mechanism{{"escrow", f}, {"split", split}, {"granter", granter}}
}

// add adds the counts of another run that BenchmarkFleet reports.
func (f *figures) add(g figures) {
	f.offered += g.offered
	f.granted += g.granted
	f.rejected += g.rejected
	f.messages += g.messages
	f.waited += g.waited
}

// report writes the metrics of a benchmark from the sum of its runs.
func report(b *testing.B, f scenario, sum figures, over float64) {
	seconds := f.length.Seconds() * float64(b.N)
	possible := min(float64(sum.offered), f.rate*seconds+f.burst*float64(b.N))
	b.ReportMetric(float64(sum.granted)/possible, "admitted/possible")
	b.ReportMetric(float64(sum.rejected)/float64(sum.offered), "refused/offered")
	b.ReportMetric(over, "overspend")
	b.ReportMetric(float64(sum.messages)/seconds/float64(f.vms), "messages/s/VM")
	b.ReportMetric(sum.waited.Seconds()*1000/float64(max(sum.granted, 1)), "ms-wait")
}

// recovery returns the time from the shift of the load until 95% of the requests of
// one second are admitted.
func recovery(spends []time.Duration, f scenario) time.Duration {
	const step = 50 * time.Millisecond
	for from := f.length / 2; from+time.Second < f.length; from += step {
		count := 0.0
		for _, at := range spends {
			if at >= from && at < from+time.Second {
				count++
			}
		}
		if count >= 0.95*f.load {
			return from - f.length/2
		}
	}
	return f.length / 2
}
