package sycdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// TestCutOffDomainCostsOneAttempt guards against a retry at each engine of a failure
// domain that can't be reached. All engines of another domain, which have the prompt
// cached, fail every attempt. Each request may lose one attempt there.
func TestCutOffDomainCostsOneAttempt(t *testing.T) {
	const requests = 3
	r := newRig(t, 1)
	r.addEngine("near", "near", 16)
	r.reportLoad("near", "i", 8)
	prompt := promptText("plan", 80)
	for i := range 6 {
		name := fmt.Sprint("far", i)
		r.addEngine(name, "far", 16)
		r.reportLoad(name, "i", 0)
		r.reportCached(name, "i", "a", prompt)
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
				r.succeed(list[0], 100*time.Millisecond)
				break
			}
			r.Finish(r.now, q.ID, sycwork.Result{Outcome: sycwork.Failed})
			failed = append(failed, list[0].Target.Endpoint)
		}
		must.LessEq(t, 1, len(failed), must.Sprint(failed))
	}
}

// TestRetryGoesToTheOtherDomainWhereThereIsNoNearer checks that a retry still uses
// the failure domain of the failed attempt if there are no engines elsewhere.
func TestRetryGoesToTheOtherDomainWhereThereIsNoNearer(t *testing.T) {
	r := newRig(t, 1)
	r.addEngine("far0", "far", 16)
	r.addEngine("far1", "far", 16)
	d := r.selectExcluding("far0", "a", promptText("plan", 8))
	must.Eq(t, "far1", d.Target.Endpoint)
}
