package sycversion_test

import (
	"errors"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/traffic/sycorder"
)

// repairTimeout limits the wait until the engines again have the role and the weights that the
// records demand.
const repairTimeout = 30 * time.Second

// TestPausedLeader pauses the leader's process while it rolls out a version with an adapter.
// Another VM must finish the rollout. Late orders of the former leader must be rejected by
// engines that check fencing numbers. On other engines their effects must be repaired.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	binary, err := sycdeploy.BuildRouter(t.TempDir())
	must.NoError(t, err)
	tests := []struct {
		name          string
		checksFencing bool
	}{
		{"engines check fencing", true},
		{"engines ignore fencing", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			site := newSiteOf(t, sycdeploy.Options{
				Binary: binary,
				Engine: sycengine.Options{Speed: engineSpeed, ChecksFencing: tt.checksFencing},
			})
			site.requests = laterRunRequests
			site.adapters = map[string]string{"w2": "a2"}
			publishAdapter(t, site)
			for len(site.RolloutRecords()) < 2 {
				must.NoError(t, t.Context().Err())
				time.Sleep(50 * time.Millisecond)
			}
			former := site.leader(t)
			pid := former.PID()
			t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGCONT) })
			must.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
			last := sendTraffic(t, site, urlsExcept(site, former))
			must.True(t, former.Running(), must.Sprintf("the paused process has ended: %v", former.Err()))
			must.NoError(t, syscall.Kill(pid, syscall.SIGCONT))
			must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
			must.Less(t, last.Fence, site.RolloutRecords()[0].Fields().Fence)
			sendLateOrders(t, site, site.RolloutRecords()[0].Fields().Fence, tt.checksFencing)
			awaitRepair(t, site)
			sendTraffic(t, site, site.URLs())
			checkEngineLogs(t, site, tt.checksFencing)
		})
	}
}

// publishAdapter publishes a version with an adapter, and the role "both" for all engines.
func publishAdapter(t *testing.T, site *site) {
	t.Helper()
	operations := []sycrecord.Operation{sycdeploy.Put(sycrecord.KindVersion, "second", sycrecord.VersionFields{
		Model:    sycdeploy.Model,
		Weights:  "w2",
		Adapter:  "a2",
		Deadline: time.Now().Add(longDeadline),
		Canary:   0.1,
		Steps:    []float64{0.5, 1},
		Bake:     sycrecord.Duration(2 * time.Second),
	})}
	for _, e := range site.Engines() {
		operations = append(operations, sycrecord.Operation{
			Schema: sycrecord.NewestSchema,
			Verb:   sycrecord.Merge,
			Kind:   sycrecord.KindEndpoint,
			Name:   e.Name(),
			Spec:   []byte(`{"role":"both"}`),
		})
	}
	_, err := site.Publish(t.Context(), operations...)
	must.NoError(t, err)
}

// urlsExcept returns the URLs of all routers except the former leader.
func urlsExcept(site *site, former *sycdeploy.Router) []string {
	var urls []string
	for _, r := range site.Routers() {
		if r != former {
			urls = append(urls, r.URL())
		}
	}
	return urls
}

// sendLateOrders sends orders that contradict the records, with the fencing number of a former
// leader. Only engines that check fencing numbers must reject them.
func sendLateOrders(t *testing.T, site *site, fence uint64, checksFencing bool) {
	t.Helper()
	client := sycorder.NewClient(nil)
	defer client.Close()
	for _, e := range site.Engines() {
		for _, o := range []sycorder.Order{
			{ID: "late-adapter", Kind: sycrollout.OrderDropAdapter, Model: sycdeploy.Model, Weights: "w2", Adapter: "a2"},
			{ID: "late-weights", Kind: sycrollout.OrderDrop, Model: sycdeploy.Model, Weights: "w2"},
			{ID: "late-role", Kind: sycrollout.OrderRole, Role: sycrecord.RolePrefill},
		} {
			o.Fence = fence
			err := client.Send(t.Context(), e.URL(), o)
			var fenced *sycorder.FencedError
			must.Eq(t, checksFencing, errors.As(err, &fenced), must.Sprintf("%s: %v", e.Name(), err))
		}
	}
}

// awaitRepair waits until all engines have the role and the weights that the records demand.
// These are the version's weights, or its predecessor's if the version was rolled back during
// its probation. That can happen if the machine is too busy to run the engines in time.
func awaitRepair(t *testing.T, site *site) {
	t.Helper()
	client := sycorder.NewClient(nil)
	defer client.Close()
	deadline := time.Now().Add(repairTimeout)
	// Reports lag behind an engine's state. Wait until they include the late orders.
	time.Sleep(2 * sycengine.DefaultLoadLag)
	for _, e := range site.Engines() {
		for {
			report, err := client.Report(t.Context(), e.URL())
			must.NoError(t, err)
			if repaired(report, rolledBack(site)) && report.Role == sycrecord.RoleBoth {
				break
			}
			must.True(t, time.Now().Before(deadline), must.Sprintf("%s: %+v", e.Name(), report))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// rolledBack reports whether the rollout's newest record has the state StateRolledBack.
func rolledBack(site *site) bool {
	outcomes := site.RolloutRecords()
	return outcomes[len(outcomes)-1].Fields().State == sycrollout.StateRolledBack
}

// repaired reports whether an engine has the weights of the version that serves the model: the
// second, or the first if the second was rolled back.
func repaired(report sycorder.Report, rolledBack bool) bool {
	ready := func(weights, adapter string) bool {
		return slices.ContainsFunc(report.Weights, func(w sycorder.Weights) bool {
			return w.Weights == weights && w.State == sycorder.Ready && (adapter == "" || slices.Contains(w.Adapters, adapter))
		})
	}
	if rolledBack {
		return ready("w1", "") && !ready("w2", "")
	}
	return ready("w2", "a2")
}

// checkEngineLogs checks that engines which check fencing numbers accepted no outdated order,
// that requests for the second version used its adapter, and that there were such requests.
func checkEngineLogs(t *testing.T, site *site, checksFencing bool) {
	t.Helper()
	withAdapter := 0
	for _, e := range site.Engines() {
		highest := uint64(0)
		for _, o := range e.Orders() {
			must.True(t, !checksFencing || !o.Taken || o.Fence >= highest)
			highest = max(highest, o.Fence)
		}
		for _, r := range e.Requests() {
			must.Eq(t, r.Weights == "w2", r.Adapter == "a2")
			if r.Adapter == "a2" && r.Outcome == sycengine.OutcomeRun {
				withAdapter++
			}
		}
	}
	must.Greater(t, 0, withAdapter)
}
