package sycfleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/syctopology"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// TestFleetRecoversFromCrowdedLinks guards against a fleet that breaks down for good, because its VMs can't
// carry what they are told at once, take each other for gone, become relays and are told everything anew. Relays
// restart, and all engines drop their caches as they load new weights.
func TestFleetRecoversFromCrowdedLinks(t *testing.T) {
	const (
		engines, blocks = 90, 2000
		smallLink       = 600e3
		largeLink       = 12e6
		rounds          = 20
	)
	n := newNetwork(t, engines)
	n.busy = make([]time.Duration, len(n.vms))
	n.bandwidth = func(vm int) float64 {
		if vm < 2*domainCount {
			return largeLink
		}
		return smallLink
	}
	tell := func(vm, count int) {
		report := sycplace.CacheReport{Endpoint: fmt.Sprint("e", vm)}
		for i := range count {
			report.Evicted = append(report.Evicted, uint64(vm*blocks+i))
		}
		n.vms[vm].applyCacheReports(n.now, []sycplace.CacheReport{report})
	}
	for round := range 3 * rounds {
		for vm := range n.vms {
			count := 10
			if round < rounds {
				count += blocks / rounds
			}
			tell(vm, count)
		}
		if round == 5 {
			for _, vm := range []int{0, 1, 2} {
				o := n.vms[vm].options
				o.Incarnation, o.FirstStart, o.Seeds = o.Incarnation+"again", false, []string{"vm3"}
				n.vms[vm] = newFleet(o, n.vms[vm].loop)
			}
		}
		n.run(relayPeriod)
	}
	n.run(3 * time.Second)
	relays := 0
	for i, f := range n.vms {
		must.Eq(t, len(n.vms)-1, f.countHeard(n.now), must.Sprintf("VM %d", i))
		if f.isRelay() {
			relays++
		}
	}
	must.Eq(t, 2*domainCount, relays)
}

// TestLargeReportIsToldInPart guards against a report of an engine's cache that is larger than the news of a
// state may be, and that therefore never reaches any VM, nor do the news before it.
func TestLargeReportIsToldInPart(t *testing.T) {
	n := newNetwork(t, 20)
	f := n.vms[0]
	report := sycplace.CacheReport{Endpoint: "e"}
	for i := range uint64(20 * maxReportBlocks) {
		report.Cached, report.Evicted = append(report.Cached, sycplace.Block{Hash: i, Tokens: 16}), append(report.Evicted, 1<<32+i)
	}
	f.applyCacheReports(n.now, []sycplace.CacheReport{report})
	n.run(time.Second)
	for i, other := range n.vms[1:] {
		told := map[uint64]bool{}
		for _, e := range other.changes.Since(0) {
			if c, ok := e.Value.(*sycgossippb.Cache); ok {
				for _, hash := range slices.Concat(c.Kept, c.Gone) {
					told[hash] = true
				}
			}
		}
		must.GreaterEq(t, maxReportBlocks, len(told), must.Sprintf("VM %d", i+1))
	}
}

// TestNewsFitTheSendersLink guards against a small VM that fills its own link with news for large ones, so that
// its calls are given up and it counts as gone.
func TestNewsFitTheSendersLink(t *testing.T) {
	n := newNetwork(t, 20)
	f := n.vms[19]
	for i := range uint64(300) {
		hashes := make([]uint64, 100)
		for j := range hashes {
			hashes[j] = i<<32 + uint64(j)
		}
		f.applyCacheReports(n.now, []sycplace.CacheReport{{Endpoint: "e", Evicted: hashes}})
	}
	size := proto.Size(f.buildState(n.now, f.partners[0]))
	must.Between(t, 10<<10, size, int(0.3*syctopology.BytesPerSecond(f.options.Capacity)*relayPeriod.Seconds()))
}

// TestStartedVMLearnsMuchOverASmallLink guards against a VM that never learns what the others hold, because it
// takes longer to arrive at once than a call may take. Evidence stands for all that may be much.
func TestStartedVMLearnsMuchOverASmallLink(t *testing.T) {
	const started, cells = 89, 80
	n := newNetwork(t, started+1)
	for _, f := range n.vms {
		for cell := range cells {
			name := fmt.Sprint("cell", cell)
			counts := &sycpeerpb.VersionEvidence{Version: "release-2", Generation: 7, Route: name, FirstToken: make([]uint64, 40)}
			f.changes.set(evidenceChange, name, &sycgossippb.Evidence{Service: "service", Counts: counts, Version: f.changes.version()})
		}
	}
	n.run(4 * time.Second)
	n.busy = make([]time.Duration, len(n.vms))
	n.bandwidth = func(vm int) float64 {
		if vm < 2*domainCount {
			return 12e6
		}
		return 600e3
	}
	o := n.vms[started].options
	o.Incarnation, o.FirstStart, o.Seeds = o.Incarnation+"again", false, []string{"vm3"}
	f := newFleet(o, n.vms[started].loop)
	n.vms[started] = f
	n.run(4 * time.Second)
	must.Eq(t, started, f.countHeard(n.now))
	must.False(t, f.isRelay())
	known := 0
	for _, e := range f.changes.Since(0) {
		if e.Key.kind == evidenceChange {
			known++
		}
	}
	must.Eq(t, started*cells, known)
}
