package sycstate_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// deploy runs the bottlers workload's site with router processes built from this source.
func deploy(t *testing.T) *sycdeploy.Deployment {
	t.Helper()
	program, err := sycdeploy.BuildRouter(t.TempDir())
	must.NoError(t, err)
	workload, ok := sycload.FindWorkload("bottlers")
	must.True(t, ok)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := sycdeploy.New(ctx, sycdeploy.Options{
		Workload: workload,
		Binary:   program,
		Engine:   sycengine.Options{Speed: 10},
		Settings: map[string]string{"drain.settle": "0s"},
		Seed:     1,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	return d
}

// client times out so that a request to a router that is killed meanwhile ends.
var client = http.Client{Timeout: 2 * time.Second}

// access tells whether a router accepts a key.
type access int

const (
	// unavailable means that the router sent no response that tells.
	unavailable access = iota
	// works means that the router accepts the key.
	works
	// revoked means that the router rejects the key.
	revoked
)

// checkKey sends a request with a key to a router and returns whether the key works. A
// request that exceeds the customer's rate shows as well that the key works.
func checkKey(r *sycdeploy.Router, key string) access {
	request, err := http.NewRequest(http.MethodGet, r.URL()+"/v1/models", http.NoBody)
	if err != nil {
		return unavailable
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return unavailable
	}
	response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusTooManyRequests:
		return works
	case http.StatusUnauthorized:
		return revoked
	}
	return unavailable
}

// everywhere returns a condition: all running routers give the same access to a key.
func everywhere(d *sycdeploy.Deployment, key string, want access) func() bool {
	return func() bool {
		for _, r := range d.Routers() {
			if r.Running() && checkKey(r, key) != want {
				return false
			}
		}
		return true
	}
}

// anywhere reports whether some router gives an access to a key.
func anywhere(d *sycdeploy.Deployment, key string, want access) bool {
	return slices.ContainsFunc(d.Routers(), func(r *sycdeploy.Router) bool { return checkKey(r, key) == want })
}

// revoke withdraws a customer's key.
func revoke(t *testing.T, d *sycdeploy.Deployment, customer string) {
	t.Helper()
	_, err := d.Publish(t.Context(), sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		Verb:   sycrecord.Merge,
		Kind:   sycrecord.KindKey,
		Name:   "key-" + customer,
		Spec:   json.RawMessage(`{"withdrawn":true}`),
	})
	must.NoError(t, err)
}

// measured waits until a condition holds and logs how long that took.
func measured(t *testing.T, what string, f func() bool) {
	t.Helper()
	start := time.Now()
	eventually(t, what, f)
	t.Logf("%s: %v", what, time.Since(start).Round(time.Millisecond))
}

// TestProcessesApplyTheSameConfiguration checks that a revoked key is rejected by eight
// router processes, and stays so: while one failure domain can't reach the log, after
// routers restart during an outage of the log, and after all routers restart at once.
func TestProcessesApplyTheSameConfiguration(t *testing.T) {
	d := deploy(t)
	var customers []string
	for customer := range d.Keys() {
		customers = append(customers, customer)
	}
	must.GreaterEq(t, 3, len(customers))
	first, second := customers[0], customers[1]
	keys := d.Keys()
	routers := d.Routers()
	isolated := routers[len(routers)-1]

	eventually(t, "all keys work", everywhere(d, keys[first], works))
	revoke(t, d, first)
	measured(t, "revocation with the log", everywhere(d, keys[first], revoked))

	d.SetPlatformLink(isolated.FailureDomain(), sycfault.Fault{Cut: true})
	revoke(t, d, second)
	measured(t, "revocation where one domain has peers only", everywhere(d, keys[second], revoked))

	d.Platform().SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Out: true}})
	routers[0].Kill()
	isolated.Kill()
	must.NoError(t, routers[0].Start())
	must.NoError(t, isolated.Start())
	measured(t, "restart without the log", everywhere(d, keys[customers[2]], works))
	must.False(t, anywhere(d, keys[second], works), must.Sprint("a restart reverted a revocation"))

	d.Platform().SetFaults(sycplatform.Faults{})
	d.SetPlatformLink(isolated.FailureDomain(), sycfault.Fault{})
	for _, r := range routers {
		r.Kill()
	}
	for _, r := range routers {
		must.NoError(t, r.Start())
	}
	measured(t, "restart of all together", everywhere(d, keys[customers[2]], works))
	must.False(t, anywhere(d, keys[second], works), must.Sprint("a restart reverted a revocation"))
}
