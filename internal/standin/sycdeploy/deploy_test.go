package sycdeploy_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// startTimeout limits how long a test waits for routers to become ready.
const startTimeout = time.Minute

// deploy starts a deployment of router processes for a named workload.
func deploy(t *testing.T, workload string) *sycdeploy.Deployment {
	t.Helper()
	w, ok := sycload.FindWorkload(workload)
	must.True(t, ok)
	binary, err := sycdeploy.BuildRouter(t.TempDir())
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d, err := sycdeploy.New(ctx, sycdeploy.Options{
		Workload: w,
		Binary:   binary,
		Engine:   sycengine.Options{Speed: 10},
		Seed:     1,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	return d
}

// load sends the workload's requests for two seconds and checks that no response was
// wrong and no slot was booked twice.
func load(t *testing.T, d *sycdeploy.Deployment, workload string) sycload.Result {
	t.Helper()
	w, _ := sycload.FindWorkload(workload)
	result, err := sycload.Run(context.Background(), sycload.Options{
		Workload: w, Routers: d.URLs(), Keys: d.Keys(), BookPath: sycdeploy.BookPath,
		Seed: 1, Duration: 2 * time.Second,
	})
	must.NoError(t, err)
	result.Audit(d.BookedSlots())
	must.True(t, result.Sound(), must.Sprint(result.Faults, result.Bookings))
	return result
}

// TestWorkloadsAreServed runs both workloads against router processes and expects that
// no request fails.
func TestWorkloadsAreServed(t *testing.T) {
	tests := []struct {
		workload string
		routers  int
		engines  int
	}{
		{"bottlers", 8, 10},
		{"dairies", 8, 12},
	}
	for _, tt := range tests {
		t.Run(tt.workload, func(t *testing.T) {
			d := deploy(t, tt.workload)
			must.Len(t, tt.routers, d.Routers())
			must.Len(t, tt.engines, d.Engines())
			result := load(t, d, tt.workload)
			must.Positive(t, result.Total.Right)
			must.Eq(t, 0, result.Total.Failed, must.Sprint(result.Faults))
		})
	}
}

// TestFaultsReachTheRouters checks that the faults a deployment injects take effect: a
// killed router, cut failure domains and a cut link to the platform.
func TestFaultsReachTheRouters(t *testing.T) {
	d := deploy(t, "bottlers")
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()

	first := d.Routers()[0]
	first.Kill()
	must.False(t, first.Running())
	load(t, d, "bottlers")
	must.NoError(t, first.Start())
	must.NoError(t, d.AwaitReady(ctx))
	must.NoError(t, first.Stop())

	// A router that reaches neither the platform nor other VMs gets no configuration.
	own := first.FailureDomain()
	for _, domain := range []string{"nowy-targ", "krynica"} {
		d.CutDomains(own, domain, true)
	}
	d.SetPlatformLink(own, sycfault.Fault{Cut: true})
	neighbours := d.Routers()[1:3]
	for _, r := range neighbours {
		must.Eq(t, own, r.FailureDomain())
		must.NoError(t, r.Stop())
	}
	must.NoError(t, first.Start())
	shortCtx, cancelShort := context.WithTimeout(ctx, time.Second)
	defer cancelShort()
	must.ErrorIs(t, first.AwaitReady(shortCtx), context.DeadlineExceeded)
	d.SetPlatformLink(own, sycfault.Fault{})
	for _, r := range neighbours {
		must.NoError(t, r.Start())
	}
	must.NoError(t, d.AwaitReady(ctx))

	// While the other domains are cut off, a router reaches only the engines of its own.
	before := received(d)
	after := loadUntilReceived(t, d, first)
	must.Greater(t, before[own], after[own])
	must.Eq(t, before["krynica"], after["krynica"])
	must.Eq(t, before["nowy-targ"], after["nowy-targ"])
}

// loadUntilReceived sends loads of a second through one router until an engine of the
// router's failure domain gets a request. One load may not be enough, because a router
// that has just started has no permits. It returns what received returns.
func loadUntilReceived(t *testing.T, d *sycdeploy.Deployment, r *sycdeploy.Router) map[string]int {
	t.Helper()
	w, _ := sycload.FindWorkload("bottlers")
	before := received(d)
	for seed := range uint64(30) {
		_, err := sycload.Run(context.Background(), sycload.Options{
			Workload: w, Routers: []string{r.URL()}, Keys: d.Keys(), Duration: time.Second, Seed: seed,
		})
		must.NoError(t, err)
		if received(d)[r.FailureDomain()] > before[r.FailureDomain()] {
			break
		}
	}
	return received(d)
}

// received returns the number of requests that the engines of each failure domain have
// received.
func received(d *sycdeploy.Deployment) map[string]int {
	counts := map[string]int{}
	for _, e := range d.Engines() {
		counts[e.FailureDomain()] += len(e.Requests())
	}
	return counts
}

// TestReplacedVMRunsRequestsOnceReady checks that a replaced VM, which has no rate slot
// at its new address, reports ready only when it knows a VM that lends it permits.
// Otherwise it would reject requests with no_slots.
func TestReplacedVMRunsRequestsOnceReady(t *testing.T) {
	binary, err := sycdeploy.BuildRouter(t.TempDir())
	must.NoError(t, err)
	workload, ok := sycload.FindWorkload("bottlers")
	must.True(t, ok)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	const lag = 500 * time.Millisecond
	d, err := sycdeploy.New(ctx, sycdeploy.Options{
		Workload: workload,
		Binary:   binary,
		Settings: map[string]string{"platform.list_lag": lag.String()},
		Platform: sycplatform.Options{ListLag: lag},
		Seed:     1,
	})
	must.NoError(t, err)
	defer d.Close()
	for _, router := range d.Routers()[:2] {
		must.NoError(t, router.Replace())
		must.NoError(t, router.AwaitReady(ctx))
		result, err := sycload.Run(ctx, sycload.Options{
			Workload:   workload,
			Routers:    []string{router.URL()},
			Keys:       d.Keys(),
			Seed:       1,
			Duration:   time.Second,
			RateFactor: 10,
		})
		must.NoError(t, err)
		must.Positive(t, result.Total.Sent)
		must.Eq(t, 0, result.Total.Refusals["503 no_slots"])
	}
}
