package sycdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// TestCutOffDomainCostsOneAttempt has the engines of another failure domain, which hold the
// prompts, break every attempt: each request spends one retry there, not one an engine.
func TestCutOffDomainCostsOneAttempt(t *testing.T) {
	const requests = 3
	r := newRig(t, 1)
	r.engine("near", "near", 16)
	r.report("near", "i", 8)
	prompt := text("plan", 80)
	for i := range 6 {
		name := fmt.Sprint("far", i)
		r.engine(name, "far", 16)
		r.report(name, "i", 0)
		r.holds(name, "i", "a", prompt)
	}
	for range requests {
		var failed []string
		for {
			q := r.request("a", prompt)
			q.Exclude = failed
			r.Submit(r.now, q)
			list := r.Take()
			must.Len(t, 1, list)
			must.NotNil(t, list[0].Target)
			if list[0].Target.FailureDomain == "near" {
				r.finish(list[0], 100*time.Millisecond)
				break
			}
			r.Finish(r.now, q.ID, sycwork.Result{Outcome: sycwork.Failed})
			failed = append(failed, list[0].Target.Endpoint)
		}
		must.LessEq(t, 1, len(failed), must.Sprint(failed))
	}
}

// TestRetryGoesToTheOtherDomainWhereThereIsNoNearer leaves only engines of the failure
// domain in which the first attempt broke.
func TestRetryGoesToTheOtherDomainWhereThereIsNoNearer(t *testing.T) {
	r := newRig(t, 1)
	r.engine("far0", "far", 16)
	r.engine("far1", "far", 16)
	d := r.elsewhere("far0", "a", text("plan", 8))
	must.Eq(t, "far1", d.Target.Endpoint)
}
