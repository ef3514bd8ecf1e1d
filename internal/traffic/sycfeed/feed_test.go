package sycfeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/traffic/sycchoose"
	"sycamorecart.example/sycamorecart/internal/traffic/sycfeed"
)

// config returns a configuration with one engine, named "e", at an address.
func config(t *testing.T, address string) *sycconfig.State {
	s := sycconfig.NewState()
	spec := fmt.Sprintf(`{"address":%q,"failure_domain":"x","type":"engine","models":["m"],"max_concurrent":4}`, address)
	s, result := s.Apply(0, []byte(`{"schema":2,"id":"1","op":"put","kind":"endpoint","name":"e","spec":`+spec+`}`))
	must.True(t, result.Accepted(), must.Sprint(result.Reason()))
	s, result = s.Apply(1, []byte(`{"schema":2,"id":"2","op":"put","kind":"version","name":"v1","spec":{"model":"m","weights":"w1","initial":true}}`))
	must.True(t, result.Accepted(), must.Sprint(result.Reason()))
	return s
}

// eventually waits up to 20 seconds until f returns true.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond),
	))
}

// TestFollowsEngineThroughCrash checks that an engine that crashes is taken out of service,
// and that it serves again, with the cache of its new process, after its restart.
func TestFollowsEngineThroughCrash(t *testing.T) {
	engine, err := sycengine.New(sycengine.Options{
		Models: map[string]string{"m": "w1"}, RestartDelay: time.Second,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, engine.Close()) })
	state := config(t, engine.URL())
	loop := sycloop.New()
	t.Cleanup(func() { must.NoError(t, loop.Close()) })
	chooser := sycchoose.New(sycchoose.Options{
		Loop: loop, Config: func() *sycconfig.State { return state }, FailureDomain: "x",
	})
	feed := sycfeed.New(sycfeed.Options{Loop: loop, Sink: chooser, Config: func() *sycconfig.State { return state }})
	t.Cleanup(func() { must.NoError(t, feed.Close()) })
	status := func() sycdispatch.EndpointStatus { return chooser.Endpoints()[0] }

	_, err = chooser.Choose(t.Context(), sycwork.Work{Model: "m", Prompt: "serves before any report"})
	must.NoError(t, err)
	eventually(t, func() bool { return len(chooser.Endpoints()) == 1 && status().Synced })
	before := chooser.Position("e").Incarnation
	must.Eq(t, engine.Incarnation(), before)
	must.Eq(t, sychealth.Healthy, status().Health)

	engine.Crash()
	eventually(t, func() bool { return status().Health == sychealth.Out })
	eventually(t, func() bool {
		return chooser.Position("e").Incarnation != before && status().Health != sychealth.Out && status().Synced
	})
	must.Eq(t, engine.Incarnation(), chooser.Position("e").Incarnation)
}
