package sycquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
)

const (
	rate  = 1000.0
	burst = 1000.0
)

func limits(rate, burst float64) []sycquota.Limit {
	return []sycquota.Limit{{Customer: "c", Rate: rate, Burst: burst}}
}

func TestAdmitWithinBurstThenRate(t *testing.T) {
	f := sycquota.New(true, sycquota.Headroom{})
	f.Configure(0, limits(rate, burst))
	_, ok := f.Admit(0, "c", burst)
	must.True(t, ok)
	after, ok := f.Admit(0, "c", 500)
	must.False(t, ok)
	must.Eq(t, 500*time.Millisecond, after)
	_, ok = f.Admit(500*time.Millisecond, "c", 500)
	must.True(t, ok)
	_, ok = f.Admit(0, "unlimited", 1e9)
	must.True(t, ok)
}

func TestRefusalIsGivenBack(t *testing.T) {
	f := sycquota.New(true, sycquota.Headroom{})
	f.Configure(0, limits(rate, burst))
	_, ok := f.Admit(0, "c", burst)
	must.True(t, ok)
	f.Refund("c", burst)
	_, ok = f.Admit(0, "c", burst)
	must.True(t, ok)
}

func TestRestartHasNoBurstUntilTold(t *testing.T) {
	f := sycquota.New(false, sycquota.Headroom{})
	f.Configure(0, limits(rate, burst))
	_, ok := f.Admit(0, "c", 100)
	must.False(t, ok)
	f.SetMembers(0, []string{"b"})
	f.Receive(0, "b", "b1", []sycquota.Usage{{Customer: "c", Spent: 30000, Level: 700}})
	_, ok = f.Admit(0, "c", 100)
	must.True(t, ok, must.Sprint("what the other spent long ago is not owed"))
	_, ok = f.Admit(0, "c", 700)
	must.False(t, ok)
	f.Receive(0, "b", "b2", []sycquota.Usage{{Customer: "c", Spent: 500, Level: 100}})
	_, ok = f.Admit(0, "c", 200)
	must.False(t, ok, must.Sprint("what a restarted VM has spent counts"))
}

func TestHeadroomIsGiven(t *testing.T) {
	f := sycquota.New(true, sycquota.Headroom{Window: 8 * time.Second, Slack: 8 * rate})
	f.Configure(0, limits(rate, burst))
	admitted := 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
		if _, ok := f.Admit(now, "c", 50); ok {
			admitted += 50
		}
	}
	must.Greater(t, 8*rate+burst+0.5*8*rate, admitted)
	must.LessEq(t, 8*rate+burst+0.6*8*rate, admitted)
}

func TestLowerLimitBindsAtOnce(t *testing.T) {
	f := sycquota.New(true, sycquota.Headroom{})
	f.Configure(0, limits(rate, burst))
	f.Configure(0, limits(100, 100))
	_, ok := f.Admit(0, "c", 100)
	must.True(t, ok)
	_, ok = f.Admit(100*time.Millisecond, "c", 50)
	must.False(t, ok)
}

// TestFleetKeepsTheRate plays VMs that all get far more than the rate, with
// partitions, pauses of reports and restarts, and bounds what they admit
// together in every window of 8 seconds by the rate, the burst, a tenth of the
// two and the slack.
func TestFleetKeepsTheRate(t *testing.T) {
	tests := []struct {
		name  string
		slack float64
	}{{"slack of 0.7 seconds", 0.7 * rate}, {"slack of 4.5 seconds", 4.5 * rate}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			playFleet(t, sycquota.Headroom{Window: 8 * time.Second, Slack: tt.slack})
		})
	}
}

func playFleet(t *testing.T, headroom sycquota.Headroom) {
	t.Helper()
	const (
		vms    = 8
		step   = 10 * time.Millisecond
		window = 8 * time.Second
		length = 40 * time.Second
	)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		fleet := make([]*sycquota.Limiter, vms)
		names := make([]string, vms)
		incarnations := make([]int, vms)
		members := func(i int) []string {
			var out []string
			for j := range vms {
				if j != i {
					out = append(out, names[j])
				}
			}
			return out
		}
		for i := range fleet {
			names[i] = fmt.Sprint("vm", i)
		}
		for i := range fleet {
			fleet[i] = sycquota.New(true, headroom)
			fleet[i].Configure(0, limits(rate, burst))
			fleet[i].SetMembers(0, members(i))
		}
		cutFrom := time.Duration(random.IntN(20)) * time.Second
		cutFor := time.Duration(random.IntN(10)) * time.Second
		cutAt := 1 + random.IntN(vms-1)
		restartAt := time.Duration(random.IntN(30000)) * time.Millisecond
		var admitted []float64
		for now := time.Duration(0); now < length; now += step {
			total := 0.0
			for range 4 {
				if _, ok := fleet[random.IntN(vms)].Admit(now, "c", 20); ok {
					total += 20
				}
			}
			admitted = append(admitted, total)
			if now <= restartAt && restartAt < now+step {
				i := random.IntN(vms)
				fleet[i] = sycquota.New(false, headroom)
				fleet[i].Configure(now, limits(rate, burst))
				fleet[i].SetMembers(now, members(i))
				incarnations[i]++
			}
			if now%(250*time.Millisecond) != 0 {
				continue
			}
			cut := now >= cutFrom && now < cutFrom+cutFor
			for i, f := range fleet {
				report := f.Report(now)
				for j, g := range fleet {
					if i == j || cut && (i < cutAt) != (j < cutAt) {
						continue
					}
					g.Receive(now, names[i], fmt.Sprint(incarnations[i]), report)
				}
			}
		}
		span := int(window / step)
		bound := (rate*window.Seconds()+burst)*1.1 + headroom.Slack
		sum, most := 0.0, 0.0
		for i, a := range admitted {
			sum += a
			if i >= span {
				sum -= admitted[i-span]
			}
			most = max(most, sum)
		}
		must.LessEq(t, bound, most, must.Sprintf("seed %d: cut of %d at %v for %v, restart at %v", seed, cutAt, cutFrom, cutFor, restartAt))
		must.Greater(t, 0.75*rate*window.Seconds(), most)
	}
}
