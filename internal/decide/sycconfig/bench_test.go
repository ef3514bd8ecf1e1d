package sycconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
)

// customers is the number of customers that the system is designed for.
const customers = 23_000

// fullState returns a state with as many customers as the system is designed for and
// an API key for each.
func fullState(b *testing.B) *sycconfig.State {
	b.Helper()
	state := sycconfig.NewStream(sycconfig.ConfigStream)
	for i := range customers {
		name := fmt.Sprintf("customer-%05d", i)
		state, _ = fold(state, put("customer", name, customerSpec), put("key", name, keySpec(name, i)))
	}
	must.Len(b, customers, state.Customers())
	return state
}

// BenchmarkFoldAll measures applying the 46,000 records of a full state to an empty
// one.
func BenchmarkFoldAll(b *testing.B) {
	for b.Loop() {
		fullState(b)
	}
	b.ReportMetric(float64(2*customers*b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkChange measures replacing one key in a full state.
func BenchmarkChange(b *testing.B) {
	state := fullState(b)
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprintf("customer-%05d", i%customers)
		state, _ = fold(state, put("key", name, keySpec(name, i%customers)))
	}
}

// BenchmarkOwner measures the lookup of a key's owner in a full state.
func BenchmarkOwner(b *testing.B) {
	state := fullState(b)
	hash := fmt.Sprintf("%064x", customers/2)
	for b.Loop() {
		if _, ok := state.Owner(hash); !ok {
			b.Fatal("no owner")
		}
	}
}

// BenchmarkRoute measures the choice among 1000 routes by a request's path.
func BenchmarkRoute(b *testing.B) {
	state := fullState(b)
	for i := range 1000 {
		state, _ = fold(state, put("route", fmt.Sprint(i), fmt.Sprintf(`{"prefix":"/v1/%d","type":"model"}`, i)))
	}
	for b.Loop() {
		if _, ok := state.Route("/v1/500/chat/completions"); !ok {
			b.Fatal("no route")
		}
	}
}

// BenchmarkEncode measures the encoding of a full state and the snapshot's size.
func BenchmarkEncode(b *testing.B) {
	state := fullState(b)
	for b.Loop() {
		data, err := state.Encode()
		must.NoError(b, err)
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}

// BenchmarkDecode measures the decoding of a full state's snapshot and the memory that
// the state takes.
func BenchmarkDecode(b *testing.B) {
	data, err := fullState(b).Encode()
	must.NoError(b, err)
	var state *sycconfig.State
	for b.Loop() {
		state, err = sycconfig.Decode(data)
		must.NoError(b, err)
	}
	must.Len(b, customers, state.Customers())
	withState := liveHeapBytes()
	runtime.KeepAlive(state)
	state = nil
	b.ReportMetric(float64(withState-liveHeapBytes()), "state-bytes")
}

// liveHeapBytes returns the size of the live objects on the heap.
func liveHeapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
