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

// loaded returns a rig whose engines hold the given number of blocks together.
// Every engine holds the first half of the prompt, one of them all of it.
func loaded(b *testing.B, engines, blocks int, prompt string) *rig {
	r := newRig(b, 1)
	r.engines(engines, 64)
	chain := chainOf("a", prompt)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range engines {
		name := fmt.Sprint("e", i)
		held := make([]uint64, 0, blocks/engines)
		held = append(held, chain[:len(chain)/2]...)
		if i == engines/2 {
			held = append(held, chain[len(chain)/2:]...)
		}
		for len(held) < blocks/engines {
			held = append(held, random.Uint64())
		}
		r.Report(r.now, r.now, name, sycdispatch.Report{
			Incarnation: "i",
			CacheBlocks: len(held),
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
		})
		r.Resync(r.now, name, "i", 0, held)
	}
	return r
}

// BenchmarkDecision measures a decision with everything on the loop: queue,
// match against every engine, prediction, and the attempt's end.
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
			prompt := text("long", tt.prompt)
			r := loaded(b, tt.engines, tt.blocks, prompt)
			request := r.request("a", prompt)
			for b.Loop() {
				q := *request
				r.serial++
				q.ID = r.serial
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

// BenchmarkChain measures the hashing of a prompt, which traffic goroutines do.
func BenchmarkChain(b *testing.B) {
	for _, blocks := range []int{50, 500, 2000} {
		b.Run(fmt.Sprintf("prompt=%d", blocks), func(b *testing.B) {
			prompt := text("long", blocks)
			for b.Loop() {
				sycblock.Chain("salt", prompt)
			}
		})
	}
}

// BenchmarkShareIn measures taking a digest of 20 loaded endpoints and 50
// customers before 270 engines.
func BenchmarkShareIn(b *testing.B) {
	r := newRig(b, 1)
	r.engines(270, 64)
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
		r.ShareIn(r.now, fmt.Sprint("vm", turn%70), digest)
	}
}
