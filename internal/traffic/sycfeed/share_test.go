package sycfeed_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/traffic/sycchoose"
	"sycamorecart.example/sycamorecart/internal/traffic/sycfeed"
)

// counting counts load polls.
type counting struct {
	http.RoundTripper
	polls atomic.Int64
}

// RoundTrip counts load polls.
func (c *counting) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/v1/load") {
		c.polls.Add(1)
	}
	return c.RoundTripper.RoundTrip(r)
}

// neighbour is a VM that follows engines and shares what it reads.
type neighbour struct {
	loop    *sycloop.Loop
	chooser *sycchoose.Chooser
	feed    *sycfeed.Feed
	calls   *counting
}

func newNeighbour(t *testing.T, self, other string, state *sycconfig.State) *neighbour {
	n := &neighbour{loop: sycloop.New(), calls: &counting{RoundTripper: &http.Transport{}}}
	config := func() *sycconfig.State { return state }
	n.chooser = sycchoose.New(sycchoose.Options{Loop: n.loop, Config: config, FailureDomain: "x"})
	n.feed = sycfeed.New(sycfeed.Options{
		Loop: n.loop, Sink: n.chooser, Config: config, Transport: n.calls, Self: self, FailureDomain: "x",
		Members: func(time.Duration) []string { return []string{other} },
		Urgent:  n.chooser.MarkUrgent,
	})
	t.Cleanup(func() {
		must.NoError(t, n.feed.Close())
		must.NoError(t, n.loop.Close())
	})
	return n
}

// tell passes a digest on.
func (n *neighbour) tell(to *neighbour) {
	var list []*sycpeerpb.LoadReport
	var unreached []string
	n.loop.Do(func(now time.Duration) { list, unreached = n.feed.TakeReports(now) })
	to.loop.Do(func(now time.Duration) { to.feed.ApplyReports(now, list, unreached) })
}

// runs reports whether the VM has an endpoint for a request now.
func (n *neighbour) runs(t *testing.T) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	grant, err := n.chooser.Choose(ctx, sycwork.Work{Model: "m", Prompt: "hello"})
	if err != nil {
		return false
	}
	grant.Done(sycwork.Result{Outcome: sycwork.Cancelled})
	return true
}

func order(t *testing.T, engine *sycengine.Engine, body string) {
	t.Helper()
	response, err := http.Post(engine.URL()+"/v1/orders", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusAccepted, response.StatusCode)
}

// TestNeighboursShareReports lets two VMs share the polls of an engine that
// crashes and comes back.
func TestNeighboursShareReports(t *testing.T) {
	engine, err := sycengine.New(sycengine.Options{
		Models: map[string]string{"m": "w1"}, RestartDelay: time.Second,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, engine.Close()) })
	order(t, engine, `{"id":"1","fence":1,"kind":"load_adapter","model":"m","weights":"w1","adapter":"a"}`)
	state := config(t, engine.URL())
	vms := []*neighbour{newNeighbour(t, "a", "b", state), newNeighbour(t, "b", "a", state)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sycpause.For(ctx, 50*time.Millisecond) {
			vms[0].tell(vms[1])
			vms[1].tell(vms[0])
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	all := func(met func(*neighbour) bool) func() bool {
		return func() bool { return met(vms[0]) && met(vms[1]) }
	}
	serves := func(n *neighbour) bool {
		list := n.chooser.Endpoints()
		return len(list) == 1 && list[0].Synced && list[0].Health != sychealth.Out &&
			n.chooser.Position("e").Incarnation == engine.Incarnation()
	}
	eventually(t, all(serves))
	few := func(n *neighbour) bool { return n.calls.polls.Load() >= 3 }
	eventually(t, all(few))
	start := []int64{vms[0].calls.polls.Load(), vms[1].calls.polls.Load()}
	eventually(t, func() bool {
		return vms[0].calls.polls.Load()+vms[1].calls.polls.Load() >= start[0]+start[1]+4
	})
	one, two := vms[0].calls.polls.Load()-start[0], vms[1].calls.polls.Load()-start[1]
	must.LessEq(t, 2, min(one, two), must.Sprintf("both poll: %d and %d", one, two))

	order(t, engine, `{"id":"2","fence":2,"kind":"role","role":"decode"}`)
	eventually(t, all(func(n *neighbour) bool { return !n.runs(t) }))
	order(t, engine, `{"id":"3","fence":3,"kind":"role","role":"both"}`)
	eventually(t, all(func(n *neighbour) bool { return n.runs(t) }))

	engine.Crash()
	eventually(t, all(func(n *neighbour) bool { return n.chooser.Endpoints()[0].Health == sychealth.Out }))
	eventually(t, all(serves))
}
