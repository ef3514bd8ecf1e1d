package sycquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
)

// rate and burst are the limit of the tests' customer, in cost per second and
// cost.
const (
	rate  = 1000.0
	burst = 1000.0
)

// limits returns the limit of customer c alone.
func limits(rate, burst float64) []sycquota.Limit {
	return []sycquota.Limit{{Customer: "c", Rate: rate, Burst: burst}}
}

func TestAdmitWithinBurstThenRate(t *testing.T) {
	limiter := sycquota.New(true, sycquota.Headroom{})
	limiter.Configure(0, limits(rate, burst))
	_, ok := limiter.Admit(0, "c", burst)
	must.True(t, ok)
	after, ok := limiter.Admit(0, "c", 500)
	must.False(t, ok)
	must.Eq(t, 500*time.Millisecond, after)
	_, ok = limiter.Admit(500*time.Millisecond, "c", 500)
	must.True(t, ok)
	_, ok = limiter.Admit(0, "unlimited", 1e9)
	must.True(t, ok)
}

// A refund must restore the level that the request was charged.
func TestRefundRestoresTheCharge(t *testing.T) {
	limiter := sycquota.New(true, sycquota.Headroom{})
	limiter.Configure(0, limits(rate, burst))
	_, ok := limiter.Admit(0, "c", burst)
	must.True(t, ok)
	limiter.Refund("c", burst)
	_, ok = limiter.Admit(0, "c", burst)
	must.True(t, ok)
}

// A restarted VM must not spend a second burst, and must count neither too much
// nor too little of what another VM reports.
func TestRestartHasNoBurstUntilReport(t *testing.T) {
	limiter := sycquota.New(false, sycquota.Headroom{})
	limiter.Configure(0, limits(rate, burst))
	_, ok := limiter.Admit(0, "c", 100)
	must.False(t, ok)
	limiter.SetMembers(0, []string{"b"})
	limiter.Receive(0, "b", "b1", []sycquota.Usage{{Customer: "c", Spent: 30000, Level: 700}})
	_, ok = limiter.Admit(0, "c", 100)
	must.True(t, ok, must.Sprint("usage before the first report is not charged"))
	_, ok = limiter.Admit(0, "c", 700)
	must.False(t, ok)
	limiter.Receive(0, "b", "b2", []sycquota.Usage{{Customer: "c", Spent: 500, Level: 100}})
	_, ok = limiter.Admit(0, "c", 200)
	must.False(t, ok, must.Sprint("usage since the member's restart is charged"))
}

// Customers must get most of the slack, but no more than slackForCustomers of it.
func TestHeadroomRaisesTheRate(t *testing.T) {
	limiter := sycquota.New(true, sycquota.Headroom{Window: 8 * time.Second, Slack: 8 * rate})
	limiter.Configure(0, limits(rate, burst))
	admitted := 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
		if _, ok := limiter.Admit(now, "c", 50); ok {
			admitted += 50
		}
	}
	must.Greater(t, 8*rate+burst+0.5*8*rate, admitted)
	must.LessEq(t, 8*rate+burst+0.6*8*rate, admitted)
}

func TestLowerLimitAppliesAtOnce(t *testing.T) {
	limiter := sycquota.New(true, sycquota.Headroom{})
	limiter.Configure(0, limits(rate, burst))
	limiter.Configure(0, limits(100, 100))
	_, ok := limiter.Admit(0, "c", 100)
	must.True(t, ok)
	_, ok = limiter.Admit(100*time.Millisecond, "c", 50)
	must.False(t, ok)
}

// TestFleetStaysWithinTheRate simulates VMs that get far more requests than the
// rate allows, with a partition and a restart. In any window of 8 seconds they may
// together admit at most 1.1 times the rate and burst, plus the slack. In the
// busiest window they must admit more than 0.75 times the rate.
func TestFleetStaysWithinTheRate(t *testing.T) {
	tests := []struct {
		name  string
		slack float64
	}{{"slack of 0.7 seconds", 0.7 * rate}, {"slack of 4.5 seconds", 4.5 * rate}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulateFleet(t, sycquota.Headroom{Window: 8 * time.Second, Slack: tt.slack})
		})
	}
}

// simulateFleet runs 40 seeds and checks the cost admitted in every window.
func simulateFleet(t *testing.T, headroom sycquota.Headroom) {
	t.Helper()
	const (
		vms    = 8
		step   = 10 * time.Millisecond
		window = 8 * time.Second
		length = 40 * time.Second
	)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		limiters := make([]*sycquota.Limiter, vms)
		names := make([]string, vms)
		incarnations := make([]int, vms)
		others := func(i int) []string {
			var out []string
			for j := range vms {
				if j != i {
					out = append(out, names[j])
				}
			}
			return out
		}
		for i := range limiters {
			names[i] = fmt.Sprint("vm", i)
		}
		for i := range limiters {
			limiters[i] = sycquota.New(true, headroom)
			limiters[i].Configure(0, limits(rate, burst))
			limiters[i].SetMembers(0, others(i))
		}
		partitionStart := time.Duration(random.IntN(20)) * time.Second
		partitionLength := time.Duration(random.IntN(10)) * time.Second
		partitionIndex := 1 + random.IntN(vms-1)
		restartAt := time.Duration(random.IntN(30000)) * time.Millisecond
		var admitted []float64
		for now := time.Duration(0); now < length; now += step {
			total := 0.0
			for range 4 {
				if _, ok := limiters[random.IntN(vms)].Admit(now, "c", 20); ok {
					total += 20
				}
			}
			admitted = append(admitted, total)
			if now <= restartAt && restartAt < now+step {
				i := random.IntN(vms)
				limiters[i] = sycquota.New(false, headroom)
				limiters[i].Configure(now, limits(rate, burst))
				limiters[i].SetMembers(now, others(i))
				incarnations[i]++
			}
			if now%(250*time.Millisecond) != 0 {
				continue
			}
			partitioned := now >= partitionStart && now < partitionStart+partitionLength
			for i, from := range limiters {
				report := from.Report(now)
				for j, to := range limiters {
					if i == j || partitioned && (i < partitionIndex) != (j < partitionIndex) {
						continue
					}
					to.Receive(now, names[i], fmt.Sprint(incarnations[i]), report)
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
		must.LessEq(t, bound, most, must.Sprintf("seed %d: partition before VM %d at %v for %v, restart at %v", seed, partitionIndex, partitionStart, partitionLength, restartAt))
		must.Greater(t, 0.75*rate*window.Seconds(), most)
	}
}
