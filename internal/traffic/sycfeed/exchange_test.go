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

// pollCounter is a transport that counts load polls.
type pollCounter struct {
	http.RoundTripper
	// polls is the number of load polls so far.
	polls atomic.Int64
}

// RoundTrip counts the request if it is a load poll, and sends it.
func (c *pollCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/v1/load") {
		c.polls.Add(1)
	}
	return c.RoundTripper.RoundTrip(r)
}

// peer is one of two VMs of a failure domain that send each other their load reports.
type peer struct {
	loop    *sycloop.Loop
	chooser *sycchoose.Chooser
	feed    *sycfeed.Feed
	counter *pollCounter
}

// newPeer starts a VM with the address self. other is the address of the other VM.
func newPeer(t *testing.T, self, other string, state *sycconfig.State) *peer {
	p := &peer{loop: sycloop.New(), counter: &pollCounter{RoundTripper: &http.Transport{}}}
	config := func() *sycconfig.State { return state }
	p.chooser = sycchoose.New(sycchoose.Options{Loop: p.loop, Config: config, FailureDomain: "x"})
	p.feed = sycfeed.New(sycfeed.Options{
		Loop: p.loop, Sink: p.chooser, Config: config, Transport: p.counter, Self: self, FailureDomain: "x",
		Members: func(time.Duration) []string { return []string{other} },
		Urgent:  p.chooser.MarkUrgent,
	})
	t.Cleanup(func() {
		must.NoError(t, p.feed.Close())
		must.NoError(t, p.loop.Close())
	})
	return p
}

// sendReports sends the load reports of this VM to another VM.
func (p *peer) sendReports(to *peer) {
	var list []*sycpeerpb.LoadReport
	var unreached []string
	p.loop.Do(func(now time.Duration) { list, unreached = p.feed.TakeReports(now) })
	to.loop.Do(func(now time.Duration) { to.feed.ApplyReports(now, list, unreached) })
}

// canServe reports whether a request gets an endpoint within 100 ms.
func (p *peer) canServe(t *testing.T) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	grant, err := p.chooser.Choose(ctx, sycwork.Work{Model: "m", Prompt: "hello"})
	if err != nil {
		return false
	}
	grant.Done(sycwork.Result{Outcome: sycwork.Cancelled})
	return true
}

// sendOrder sends an order to an engine.
func sendOrder(t *testing.T, engine *sycengine.Engine, body string) {
	t.Helper()
	response, err := http.Post(engine.URL()+"/v1/orders", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusAccepted, response.StatusCode)
}

// TestPeersShareReports checks that two VMs share the polls of an engine. Both must follow a
// change of its role and a crash, and serve it again after its restart.
func TestPeersShareReports(t *testing.T) {
	engine, err := sycengine.New(sycengine.Options{
		Models: map[string]string{"m": "w1"}, RestartDelay: time.Second,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, engine.Close()) })
	sendOrder(t, engine, `{"id":"1","fence":1,"kind":"load_adapter","model":"m","weights":"w1","adapter":"a"}`)
	state := config(t, engine.URL())
	vms := []*peer{newPeer(t, "a", "b", state), newPeer(t, "b", "a", state)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sycpause.For(ctx, 50*time.Millisecond) {
			vms[0].sendReports(vms[1])
			vms[1].sendReports(vms[0])
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	all := func(met func(*peer) bool) func() bool {
		return func() bool { return met(vms[0]) && met(vms[1]) }
	}
	serves := func(p *peer) bool {
		list := p.chooser.Endpoints()
		return len(list) == 1 && list[0].Synced && list[0].Health != sychealth.Out &&
			p.chooser.Position("e").Incarnation == engine.Incarnation()
	}
	eventually(t, all(serves))
	polled := func(p *peer) bool { return p.counter.polls.Load() >= 3 }
	eventually(t, all(polled))
	start := []int64{vms[0].counter.polls.Load(), vms[1].counter.polls.Load()}
	eventually(t, func() bool {
		return vms[0].counter.polls.Load()+vms[1].counter.polls.Load() >= start[0]+start[1]+4
	})
	first, second := vms[0].counter.polls.Load()-start[0], vms[1].counter.polls.Load()-start[1]
	must.LessEq(t, 2, min(first, second), must.Sprintf("both VMs polled often: %d and %d times", first, second))

	sendOrder(t, engine, `{"id":"2","fence":2,"kind":"role","role":"decode"}`)
	eventually(t, all(func(p *peer) bool { return !p.canServe(t) }))
	sendOrder(t, engine, `{"id":"3","fence":3,"kind":"role","role":"both"}`)
	eventually(t, all(func(p *peer) bool { return p.canServe(t) }))

	engine.Crash()
	eventually(t, all(func(p *peer) bool { return p.chooser.Endpoints()[0].Health == sychealth.Out }))
	eventually(t, all(serves))
}
