package sycdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// newLoadedRig returns a rig whose engines have the given number of blocks cached in
// total. Every engine has the first half of the prompt cached, and one engine has
// all of it.
func newLoadedRig(b *testing.B, engines, blocks int, prompt string) *rig {
	r := newRig(b, 1)
	r.addEngines(engines, 64)
	chain := chainOf("a", prompt)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range engines {
		name := fmt.Sprint("e", i)
		cached := make([]uint64, 0, blocks/engines)
		cached = append(cached, chain[:len(chain)/2]...)
		if i == engines/2 {
			cached = append(cached, chain[len(chain)/2:]...)
		}
		for len(cached) < blocks/engines {
			cached = append(cached, random.Uint64())
		}
		r.Report(r.now, r.now, name, sycdispatch.Report{
			Incarnation: "i",
			CacheBlocks: len(cached),
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
		})
		r.Resync(r.now, name, "i", 0, cached)
	}
	return r
}

// BenchmarkDecision measures all work on the event loop for one request: the queue,
// the match against every engine's cached blocks, the predictions, the selection and
// the end of the attempt.
func BenchmarkDecision(b *testing.B) {
	tests := []struct {
		engines, blocks, prompt int
	}{
		{10, 655_360, 500},
		{90, 6_000_000, 500},
		{270, 2_000_000, 500},
		{270, 18_000_000, 50},
		{270, 18_000_000, 500},
		{270, 18_000_000, 2000},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("engines=%d/blocks=%d/prompt=%d", tt.engines, tt.blocks, tt.prompt), func(b *testing.B) {
			prompt := promptText("long", tt.prompt)
			r := newLoadedRig(b, tt.engines, tt.blocks, prompt)
			request := r.request("a", prompt)
			for b.Loop() {
				q := *request
				r.lastID++
				q.ID = r.lastID
				r.Submit(r.now, &q)
				for _, d := range r.Take() {
					r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Cancelled})
				}
			}
			stats := r.Stats()
			b.ReportMetric(float64(stats.IndexBytes)/float64(stats.IndexBlocks), "B/block")
			b.ReportMetric(float64(stats.IndexBytes)/(1<<20), "MiB")
		})
	}
}

// BenchmarkChain measures the hashing of a prompt, which runs outside the event
// loop.
func BenchmarkChain(b *testing.B) {
	for _, blocks := range []int{50, 500, 2000} {
		b.Run(fmt.Sprintf("prompt=%d", blocks), func(b *testing.B) {
			prompt := promptText("long", blocks)
			for b.Loop() {
				sycblock.Chain("salt", prompt)
			}
		})
	}
}

// BenchmarkShareIn measures the applying of another VM's digest with the loads of 20
// endpoints and the usage of 50 customers, on a VM with 270 engines.
func BenchmarkShareIn(b *testing.B) {
	r := newRig(b, 1)
	r.addEngines(270, 64)
	digest := sycdispatch.Digest{}
	for i := range 20 {
		digest.Loads = append(digest.Loads, sycdispatch.EndpointLoad{
			Endpoint: fmt.Sprint("e", i*13), Requests: i, Prefill: i * 100,
		})
	}
	for i := range 50 {
		digest.Usages = append(digest.Usages, sycdispatch.PoolUsage{
			Pool:  "model/m",
			Usage: sycqueue.Usage{Customer: fmt.Sprint("c", i), Served: float64(i)},
		})
	}
	turn := 0
	for b.Loop() {
		turn++
		r.now += time.Millisecond
		r.ApplyDigest(r.now, fmt.Sprint("vm", turn%70), digest)
	}
}
