package syclimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// machineWithPeers returns a machine that accrues half of everything. A number of
// peers accrue the other half.
func machineWithPeers(peers int) *syclimit.Machine {
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	list := make([]syclimit.Peer, peers)
	for i := range list {
		list[i] = syclimit.Peer{Address: fmt.Sprint("10.0.0.", i, ":1"), Fraction: syclimit.FullFraction / syclimit.Fraction(2*peers)}
	}
	m.SetPeers(0, list)
	m.SetFraction(0, syclimit.FullFraction/2)
	return m
}

// BenchmarkAdmit measures the admission of a request that finds a permit.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{1, 1000, 23000} {
		b.Run(fmt.Sprint("customers-", customers), func(b *testing.B) {
			m := machineWithPeers(7)
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
			}
			limit := syclimit.NewLimit(1e6, 1e6, 0)
			now := 10 * time.Second
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 10 * time.Microsecond
				m.Admit(now, uint64(i), names[i%customers], limit, time.Hour)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per active customer.
func BenchmarkMemory(b *testing.B) {
	for _, peers := range []int{7, 32} {
		b.Run(fmt.Sprint("peers-", peers), func(b *testing.B) {
			const customers = 10000
			for range b.N {
				before := heapBytes()
				m := machineWithPeers(peers)
				limit := syclimit.NewLimit(10, 10, 0)
				for i := range customers {
					m.Admit(10*time.Second, uint64(i), fmt.Sprint("customer-", i), limit, time.Hour)
				}
				b.ReportMetric(float64(heapBytes()-before)/customers, "B/customer")
				runtime.KeepAlive(m)
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
