package syclimit_test

import (
	"testing"
	"time"
)

// BenchmarkFleet reports, for each setting and fault: the part of the possible
// requests that was admitted, the refusals among requests within the rate, the
// overspend in requests, messages a second and the mean wait.
func BenchmarkFleet(b *testing.B) {
	base := faults{vms: 8, near: 3, rate: 200, burst: 50, load: 160, delay: 3 * time.Millisecond, drift: 0.0005, length: 20 * time.Second}
	cases := []struct {
		name string
		set  func(f *faults)
	}{
		{"balanced-80%", func(*faults) {}},
		{"skewed-80%", func(f *faults) { f.skew = true }},
		{"balanced-95%", func(f *faults) { f.load = 190 }},
		{"skewed-95%", func(f *faults) { f.load, f.skew = 190, true }},
		{"balanced-300%", func(f *faults) { f.load = 600 }},
		{"skewed-300%", func(f *faults) { f.load, f.skew = 600, true }},
		{"small-balanced-80%", func(f *faults) { f.rate, f.burst, f.load, f.length = 2, 5, 1.6, 2*time.Minute }},
		{"small-skewed-80%", func(f *faults) { f.rate, f.burst, f.load, f.length, f.skew = 2, 5, 1.6, 2*time.Minute, true }},
		{"tight-skewed-80%", func(f *faults) { f.burst, f.skew = 20, true }},
		{"shift-80%", func(f *faults) { f.shift = true }},
		{"shift-95%", func(f *faults) { f.load, f.shift = 190, true }},
		{"shift-slow-80%", func(f *faults) { f.shift, f.delay = true, 40*time.Millisecond }},
		{"slot-lost-80%", func(f *faults) { f.shares = lastLost }},
		{"slot-lost-95%", func(f *faults) { f.load, f.shares = 190, lastLost }},
		{"loss-5%", func(f *faults) { f.loss, f.skew = 0.05, true }},
		{"one-way-cut", func(f *faults) { f.cut = true }},
		{"herd", func(f *faults) { f.herd = true }},
		{"crashes", func(f *faults) { f.crashes = 8 }},
		{"pauses", func(f *faults) { f.pauses = 8 }},
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
					got := newFleet(m.faults, uint64(i)).run()
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

// lastLost leaves the last VM without its slot.
func lastLost(i, n int) float64 {
	if i == n-1 {
		return 0
	}
	return 1 / float64(n)
}

type mechanism struct {
	name   string
	faults faults
}

// mechanisms returns the ways that are compared: escrow with loans, a fixed
// split, and one VM that grants all tokens.
func mechanisms(f faults) []mechanism {
	split, granter := f, f
	split.apart = true
	granter.shares = func(i, n int) float64 {
		if i == n/2 {
			return 1
		}
		return 0
	}
	granter.settings.LendFraction = 1
	return []mechanism{{"escrow", f}, {"split", split}, {"granter", granter}}
}

func (f *figures) add(g figures) {
	f.offered += g.offered
	f.granted += g.granted
	f.refused += g.refused
	f.messages += g.messages
	f.waited += g.waited
}

func report(b *testing.B, f faults, sum figures, over float64) {
	seconds := f.length.Seconds() * float64(b.N)
	possible := min(float64(sum.offered), f.rate*seconds+f.burst*float64(b.N))
	b.ReportMetric(float64(sum.granted)/possible, "admitted/possible")
	b.ReportMetric(float64(sum.refused)/float64(sum.offered), "refused/offered")
	b.ReportMetric(over, "overspend")
	b.ReportMetric(float64(sum.messages)/seconds/float64(f.vms), "messages/s/VM")
	b.ReportMetric(sum.waited.Seconds()*1000/float64(max(sum.granted, 1)), "ms-wait")
}

// recovery is the time from the shift of the load until 95% of the requests of
// a second are admitted.
func recovery(spends []time.Duration, f faults) time.Duration {
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
