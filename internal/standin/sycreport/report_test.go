package sycreport_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycreport"
)

// result returns a run in which customer b has the given 95th percentile of the time to
// first token, and customer a 1 ms.
func result(label string, slowest time.Duration) sycload.Result {
	customer := func(name string, p95 time.Duration) sycload.CustomerResult {
		return sycload.CustomerResult{
			Customer: name, Sent: 10, Right: 9, Refused: 1, Refusals: map[string]int{"429 rate_limited": 1},
			FirstToken:   sycload.Percentiles{P95: sycrecord.Duration(p95)},
			PromptTokens: 100, CachedTokens: 75,
			FirstTokenCurve: []float64{1, 2, 3},
		}
	}
	return sycload.Result{
		Label: label, Workload: "bottlers",
		Customers: []sycload.CustomerResult{customer("a", time.Millisecond), customer("b", slowest)},
		Total:     customer("all", time.Millisecond),
	}
}

func TestRunsStandSideBySide(t *testing.T) {
	old, now := result("old", time.Second), result("new", 2*time.Millisecond)
	must.Eq(t, "b", sycreport.Worst(old).Customer)
	tests := []struct {
		name  string
		write func(*strings.Builder) error
		want  []string
	}{
		{
			"table",
			func(b *strings.Builder) error { return sycreport.Table(b, old, now) },
			[]string{"1000.0ms", "2.0ms", "0.750", "old: refused 1 with 429 rate_limited", "new: worst-served customer b"},
		},
		{
			"page",
			func(b *strings.Builder) error { return sycreport.HTML(b, old, now) },
			[]string{"1000.0ms", "<svg", "<td>new</td>"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b strings.Builder
			must.NoError(t, tt.write(&b))
			for _, want := range tt.want {
				must.StrContains(t, b.String(), want)
			}
		})
	}
	must.Error(t, sycreport.HTML(&strings.Builder{}))
}
