package sycdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// newRigWithCachedPrompt returns a rig with three engines, of which e1 has the
// prompt cached.
func newRigWithCachedPrompt(t *testing.T, prompt string) *rig {
	r := newRig(t, 1)
	r.addEngines(3, 4)
	for _, name := range []string{"e0", "e1", "e2"} {
		r.reportLoad(name, "first", 0)
	}
	r.reportCached("e1", "first", "a", prompt)
	return r
}

// TestCachedPrefixIsUsedForItsOwnCustomerOnly guards against the use of cached
// blocks for another customer than the one that they were computed for.
func TestCachedPrefixIsUsedForItsOwnCustomerOnly(t *testing.T) {
	prompt := promptText("shared", 50)
	r := newRigWithCachedPrompt(t, prompt)
	d := r.mustSelect("a", prompt+"tail")
	must.Eq(t, "e1", d.Target.Endpoint)
	must.Eq(t, 50*sycblock.TokensPerBlock, d.CachedTokens)
	other := r.mustSelect("b", prompt+"tail")
	must.Eq(t, 0, other.CachedTokens)
	must.Nil(t, other.Target.Import)
	must.NotEq(t, d.Target.Salt, other.Target.Salt)
}

// TestCachedBlocksOfCrashedEngineAreDropped checks that an engine's cached blocks
// are forgotten with the first sign of a restart or crash, and that late events of
// the old incarnation don't bring them back.
func TestCachedBlocksOfCrashedEngineAreDropped(t *testing.T) {
	prompt := promptText("shared", 50)
	tests := []struct {
		name  string
		crash func(r *rig)
	}{
		{"new incarnation in a report", func(r *rig) { r.reportLoad("e1", "second", 0) }},
		{"new incarnation in another VM's report", func(r *rig) {
			must.True(t, r.Relayed(r.now, r.now, "e1", sycdispatch.Report{Incarnation: "second"}))
		}},
		{"new incarnation in a response", func(r *rig) {
			d := r.mustSelect("b", promptText("other", 8))
			for d.Target.Endpoint != "e1" {
				d = r.mustSelect("b", promptText("other", 8))
			}
			r.Finish(r.now, d.ID, sycwork.Result{
				Outcome: sycwork.Succeeded, Incarnation: "second", PromptTokens: 512,
			})
		}},
		{"no connection for an attempt", func(r *rig) {
			d := r.mustSelect("a", prompt)
			r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Failed, Unreachable: true})
		}},
		{"no connection for a poll", func(r *rig) { r.Unreachable(r.now, "e1") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRigWithCachedPrompt(t, prompt)
			tt.crash(r)
			r.Events(r.now, "e1", sycdispatch.Batch{
				Incarnation: "first", First: 0, Next: 1,
				Events: []sycprefix.Event{{Seq: 0, Op: sycprefix.Store, Blocks: chainOf("a", prompt)}},
			})
			d := r.mustSelect("a", prompt)
			must.Eq(t, 0, d.CachedTokens)
			must.Nil(t, d.Target.Import)
		})
	}
}

// TestLostEventsEndImportsUntilResync guards against imports from an engine whose
// cache events were missed, so that its list of blocks may be wrong.
func TestLostEventsEndImportsUntilResync(t *testing.T) {
	prompt := promptText("shared", 200)
	r := newRigWithCachedPrompt(t, prompt)
	d := r.selectExcluding("e1", "a", prompt)
	must.NotNil(t, d.Target.Import)
	must.Eq(t, "first", d.Target.Import.Incarnation)
	must.Eq(t, "http://e1:80", d.Target.Import.From)
	must.Eq(t, chainOf("a", prompt), d.Target.Import.Blocks)
	r.Cancel(r.now, d.ID)

	gap := sycdispatch.Batch{Incarnation: "first", First: 0, Next: 9}
	must.True(t, r.Events(r.now, "e1", gap).Resync)
	d = r.selectExcluding("e1", "a", prompt)
	must.Nil(t, d.Target.Import)
	r.Cancel(r.now, d.ID)

	position := r.Resync(r.now, "e1", "first", 9, chainOf("a", prompt)[:100])
	must.Eq(t, sycdispatch.Position{Incarnation: "first", From: 9}, position)
	d = r.selectExcluding("e1", "a", prompt)
	must.NotNil(t, d.Target.Import)
	must.Len(t, 100, d.Target.Import.Blocks)
}

// TestSharedPrefixIsComputedOnce checks that a request waits while another one
// computes the same prefix, and then goes to the same endpoint.
func TestSharedPrefixIsComputedOnce(t *testing.T) {
	prompt := promptText("cold", 100)
	r := newRig(t, 1)
	r.addEngines(4, 4)
	first := r.mustSelect("a", prompt+promptText("one", 2))
	second := r.request("a", prompt+promptText("two", 2))
	r.Submit(r.now, second)
	must.Len(t, 0, r.Take())
	r.now += 500 * time.Millisecond
	r.FirstToken(r.now, first.ID)
	decisions := r.Take()
	must.Len(t, 1, decisions)
	must.Eq(t, second.ID, decisions[0].ID)
	must.Eq(t, first.Target.Endpoint, decisions[0].Target.Endpoint)
	must.Eq(t, 100*sycblock.TokensPerBlock, decisions[0].CachedTokens)
}

// TestSharedPrefixIsCopiedToStore checks that a prefix used by a second request is
// copied to the KV store, and imported from there after the engine's crash.
func TestSharedPrefixIsCopiedToStore(t *testing.T) {
	prompt := promptText("shared", 50)
	r := newRigWithCachedPrompt(t, prompt)
	r.publish("endpoint", "kv", `{"address":"http://kv:80","failure_domain":"near","type":"kv_store"}`)
	r.Resync(r.now, "kv", "k", 0, nil)
	d := r.mustSelect("a", prompt+promptText("tail", 3))
	must.Len(t, 0, r.TakeStoreFetches())
	r.FirstToken(r.now, d.ID)
	keeps := r.TakeStoreFetches()
	must.Len(t, 1, keeps)
	must.Eq(t, "kv", keeps[0].Store)
	must.Eq(t, chainOf("a", prompt), keeps[0].Blocks)
	r.ConfirmStored(r.now, "kv", "k", keeps[0].Blocks)
	r.reportLoad("e1", "second", 0)
	r.Unreachable(r.now, "e1")
	d = r.mustSelect("a", prompt+promptText("tail", 3))
	must.Eq(t, "http://kv:80", d.Target.Import.From)
	must.Eq(t, chainOf("a", prompt), d.Target.Import.Blocks)
}

// TestOtherVMsDontBringAnEndpointBack checks that only a response to this VM ends an
// endpoint's time out of service, not a report that another VM received.
func TestOtherVMsDontBringAnEndpointBack(t *testing.T) {
	r := newRigWithCachedPrompt(t, promptText("shared", 50))
	r.Unreachable(r.now, "e1")
	must.False(t, r.Relayed(r.now, r.now, "e1", sycdispatch.Report{Incarnation: "first"}))
	must.Eq(t, sychealth.Out, r.Endpoints(r.now)[1].Health)
	r.reportLoad("e1", "first", 0)
	must.Eq(t, sychealth.Probing, r.Endpoints(r.now)[1].Health)
	must.True(t, r.Relayed(r.now, r.now, "e1", sycdispatch.Report{Incarnation: "first"}))
}
