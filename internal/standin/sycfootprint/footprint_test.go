package sycfootprint_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycfootprint"
)

func TestSlope(t *testing.T) {
	var costs []sycfootprint.Cost
	for _, n := range []int{4, 8, 16} {
		costs = append(costs, sycfootprint.Cost{Size: sycfootprint.Size{VMs: n}, Core: 0.01 + 0.002*float64(n)})
	}
	slope, base := sycfootprint.Slope(costs,
		func(c sycfootprint.Cost) float64 { return float64(c.Size.VMs) },
		func(c sycfootprint.Cost) float64 { return c.Core })
	must.InDelta(t, 0.002, slope, 1e-9)
	must.InDelta(t, 0.01, base, 1e-9)
}
