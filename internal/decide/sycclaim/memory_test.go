package sycclaim_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
)

// BenchmarkMemory measures the memory of a stored claim with a short answer.
func BenchmarkMemory(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				state := sycclaim.New(sycclaim.Settings{Lifetime: time.Hour, AnswerBytes: 32 << 20})
				applyClaims(b, state, claims)
				b.ReportMetric(float64(heap()-before)/float64(claims), "B/claim")
				must.Eq(b, claims, state.Len())
			}
		})
	}
}

// applyClaims applies a claim and its answer for each of count names.
func applyClaims(b *testing.B, state *sycclaim.Claims, count int) {
	var offset uint64
	apply := func(r sycclaim.Record) {
		r.Schema = sycclaim.Schema
		data, err := json.Marshal(r)
		must.NoError(b, err)
		state.Apply(offset, epoch, data)
		offset++
	}
	for i := range count {
		call := sycclaim.Call{Customer: "north", Route: "bookings", Key: fmt.Sprint(i)}
		r := sycclaim.Record{
			Kind:   sycclaim.KindClaim,
			Name:   call.Name(),
			ID:     fmt.Sprintf("2b1e6b0c-5d0f-4c39-9f0c-3f6b7a1d9e55/%d", i),
			Holder: "10.0.0.1:8082",
			Digest: sycclaim.Digest("POST", "/book", "", nil),
		}
		apply(r)
		r.Kind = sycclaim.KindAnswer
		r.Answer = &sycclaim.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"slot":"17:30"}`)}
		apply(r)
	}
}

// heap returns the bytes of live heap objects after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
