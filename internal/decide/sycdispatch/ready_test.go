package sycdispatch_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// TestRequestsNeedAdapterAndRole checks which reports of an engine, and which role
// in its record, let it get requests of a version with an adapter.
func TestRequestsNeedAdapterAndRole(t *testing.T) {
	alone := sycdispatch.Loaded{Model: "m", Weights: "w1"}
	with := sycdispatch.Loaded{Model: "m", Weights: "w1", Adapter: "a"}
	other := sycdispatch.Loaded{Model: "m", Weights: "w1", Adapter: "b"}
	tests := []struct {
		name   string
		wanted string
		report sycdispatch.Report
		runs   bool
	}{
		{"no adapter", "", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone}}, false},
		{"another adapter", "", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone, other}}, false},
		{"ready", "", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone, with}}, true},
		{"ready for all", "both", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone, with}, Role: "both"}, true},
		{"reports another role", "both", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone, with}, Role: "prefill"}, false},
		{"another role is wanted", "decode", sycdispatch.Report{Ready: []sycdispatch.Loaded{alone, with}, Role: "both"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.versionShares = []sycwork.VersionShare{{Version: "v1", Weights: "w1", Adapter: "a", Share: 1}}
			r.publish("endpoint", "e0", fmt.Sprintf(`{"address":"http://e0:80","failure_domain":"near","type":"engine","models":["m"],"role":%q}`, tt.wanted))
			tt.report.Incarnation = "i"
			r.Report(r.now, r.now, "e0", tt.report)
			d, ok := r.submit("customer", "prompt")
			must.Eq(t, tt.runs, ok && d.Target != nil)
		})
	}
}
