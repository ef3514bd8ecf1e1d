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

// deploy runs the bottlers' site with router processes of this source.
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

// caller gives up on a router that was killed under its request.
var caller = http.Client{Timeout: 2 * time.Second}

// access is what a router makes of a key.
type access int

const (
	unavailable access = iota
	works
	revoked
)

// try reports what a router makes of a key. A request over the customer's rate
// shows as well that the key works.
func try(r *sycdeploy.Router, key string) access {
	request, err := http.NewRequest(http.MethodGet, r.URL()+"/v1/models", http.NoBody)
	if err != nil {
		return unavailable
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := caller.Do(request)
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

func everywhere(d *sycdeploy.Deployment, key string, want access) func() bool {
	return func() bool {
		for _, r := range d.Routers() {
			if r.Running() && try(r, key) != want {
				return false
			}
		}
		return true
	}
}

func anywhere(d *sycdeploy.Deployment, key string, is access) bool {
	return slices.ContainsFunc(d.Routers(), func(r *sycdeploy.Router) bool { return try(r, key) == is })
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

// measured runs a step and logs how long it took.
func measured(t *testing.T, what string, f func() bool) {
	t.Helper()
	start := time.Now()
	eventually(t, what, f)
	t.Logf("%s: %v", what, time.Since(start).Round(time.Millisecond))
}

// TestProcessesHoldTheSameConfiguration takes eight router processes through a
// domain without the log, restarts without the log and a common restart.
func TestProcessesHoldTheSameConfiguration(t *testing.T) {
	d := deploy(t)
	var customers []string
	for customer := range d.Keys() {
		customers = append(customers, customer)
	}
	must.GreaterEq(t, 3, len(customers))
	first, second := customers[0], customers[1]
	keys := d.Keys()
	routers := d.Routers()
	cutOff := routers[len(routers)-1]

	eventually(t, "all keys work", everywhere(d, keys[first], works))
	revoke(t, d, first)
	measured(t, "revocation with the log", everywhere(d, keys[first], revoked))

	d.SetPlatformLink(cutOff.FailureDomain(), sycfault.Fault{Cut: true})
	revoke(t, d, second)
	measured(t, "revocation where one domain has peers only", everywhere(d, keys[second], revoked))

	d.Platform().SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Out: true}})
	routers[0].Kill()
	cutOff.Kill()
	must.NoError(t, routers[0].Start())
	must.NoError(t, cutOff.Start())
	measured(t, "restart without the log", everywhere(d, keys[customers[2]], works))
	must.False(t, anywhere(d, keys[second], works), must.Sprint("a restart reverted a revocation"))

	d.Platform().SetFaults(sycplatform.Faults{})
	d.SetPlatformLink(cutOff.FailureDomain(), sycfault.Fault{})
	for _, r := range routers {
		r.Kill()
	}
	for _, r := range routers {
		must.NoError(t, r.Start())
	}
	measured(t, "restart of all together", everywhere(d, keys[customers[2]], works))
	must.False(t, anywhere(d, keys[second], works), must.Sprint("a restart reverted a revocation"))
}
