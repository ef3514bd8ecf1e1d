package sycfleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// cachePollWait is how long an engine may keep a call for cache events open until it
	// has one.
	cachePollWait = 900 * time.Millisecond
	// cachePollPause is the pause between two calls for cache events of an engine, so
	// that one call returns several events.
	cachePollPause = 350 * time.Millisecond
	// cacheAssignPeriod is how often this VM checks which engines' caches it has to read.
	cacheAssignPeriod = 500 * time.Millisecond
	// maxCacheSyncTime is how long a VM that has started waits for another VM's reports of
	// all engines' caches.
	maxCacheSyncTime = 3 * time.Second
	// maxPendingReports limits the cache reports that are queued for one other VM. The
	// oldest are dropped.
	maxPendingReports = 400
)

// cacheReads records which engines' caches this VM reads on behalf of all VMs. An engine's
// cache holds prompt blocks, and the engine reports its changes as cache events.
type cacheReads struct {
	// reading has the engines whose caches this VM reads at present as its keys.
	reading map[engineStart]bool
	// synced is set once another VM has sent its reports of all engines' caches, or none
	// has within maxCacheSyncTime. With Options.FirstStart it is set from the start.
	synced bool
	// startedAt is when this VM started.
	startedAt time.Duration
	// assignedAt is when this VM last checked which engines are assigned to it.
	assignedAt time.Duration
}

// engineStart identifies one start of an engine.
type engineStart struct {
	id          string
	incarnation int64
}

// assignCacheReads starts reading the caches of the engines that are assigned to this VM.
// One VM reads an engine's cache and sends the reports to the others. It's a VM in the
// engine's failure domain if there is one.
func (f *Fleet) assignCacheReads(now time.Duration) {
	if now-f.cacheReads.assignedAt < cacheAssignPeriod || f.leaving.Load() {
		return
	}
	f.cacheReads.assignedAt = now
	f.cacheReads.synced = f.cacheReads.synced || now-f.cacheReads.startedAt > maxCacheSyncTime
	for _, e := range f.selector.Endpoints() {
		start := engineStart{e.ID, e.Incarnation}
		if len(e.Weights) == 0 || e.Leaving || f.cacheReads.reading[start] || !f.isCacheReader(now, e) {
			continue
		}
		f.cacheReads.reading[start] = true
		f.tomb.Go(func() error {
			f.readCache(e)
			f.loop.Do(func(time.Duration) { delete(f.cacheReads.reading, start) })
			return nil
		})
	}
}

// isCacheReader reports whether this VM has to read an engine's cache. It's the VM with the
// highest hash of its address and the engine's ID, and VMs in the engine's failure domain
// come first.
func (f *Fleet) isCacheReader(now time.Duration, e sycplace.Endpoint) bool {
	rank := func(address, domain string) (bool, uint64) {
		return domain == e.FailureDomain, xxhash.Sum64String(address + "/" + e.ID)
	}
	sameDomain, ownHash := rank(f.options.Address, f.options.FailureDomain)
	for address, vm := range f.peers.vms {
		if vm.leaving || vm.domain == "" || now-vm.lastReport > holderSilence {
			continue
		}
		if peerSameDomain, peerHash := rank(address, vm.domain); peerSameDomain && !sameDomain || peerSameDomain == sameDomain && peerHash > ownHash {
			return false
		}
	}
	return true
}

// readCache polls an engine's cache events until the engine restarts or leaves, a call
// fails, or another VM has to read its cache.
func (f *Fleet) readCache(e sycplace.Endpoint) {
	var from, epoch int64
	for f.tomb.Alive() && f.keepsReading(e) {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), cachePollWait+engineTimeout)
		events, err := f.options.Engines.CacheEvents(ctx, e, from, cachePollWait)
		cancel()
		if err != nil {
			f.log.WithError(err).WithField("endpoint", e.ID).Debug("fleet: reading cache events failed")
			f.pause(cachePollWait)
			return
		}
		if epoch != 0 && events.Epoch != epoch {
			from, epoch = 0, 0
			continue
		}
		from, epoch = events.Next, events.Epoch
		if reports := sycplace.SummarizeEvents(e, events.Events); len(reports) > 0 {
			f.loop.Do(func(now time.Duration) { f.applyCacheReports(now, reports) })
		}
		f.pause(cachePollPause)
	}
}

// keepsReading reports whether an engine's incarnation still runs and this VM still has to
// read its cache.
func (f *Fleet) keepsReading(e sycplace.Endpoint) bool {
	reading := false
	f.loop.Do(func(now time.Duration) {
		record, known := f.selector.Endpoint(e.ID)
		reading = known && record.Incarnation == e.Incarnation && !record.Leaving && !f.leaving.Load() && f.isCacheReader(now, e)
	})
	return reading
}

// applyCacheReports applies reports of an engine's cache and queues them for the other VMs.
func (f *Fleet) applyCacheReports(now time.Duration, reports []sycplace.CacheReport) {
	for _, r := range reports {
		f.selector.ApplyCacheReport(now, r)
	}
	for _, vm := range f.peers.vms {
		vm.pendingReports = append(vm.pendingReports, reports...)
		if over := len(vm.pendingReports) - maxPendingReports; over > 0 {
			vm.pendingReports = vm.pendingReports[over:]
		}
	}
}

// addCacheReports adds the cache reports queued for a peer to the state that is sent to it,
// or the reports of all engines' caches if the peer has asked for them.
func (f *Fleet) addCacheReports(peer string, out *sycgossippb.State) {
	out.WantsCaches = !f.cacheReads.synced && peer == f.cacheSource()
	vm := f.peers.vms[peer]
	if vm == nil {
		return
	}
	reports := vm.pendingReports
	vm.pendingReports = nil
	if vm.wantsCaches && f.cacheReads.synced {
		vm.wantsCaches = false
		reports = f.selector.CacheReports()
		out.HasCaches = true
	}
	for _, r := range reports {
		c := &sycgossippb.Cache{Endpoint: r.Endpoint, Born: r.Incarnation, Weights: r.Weights, Gone: r.Evicted}
		for _, block := range r.Cached {
			c.Kept = append(c.Kept, block.Hash)
			c.Tokens = append(c.Tokens, int64(block.Tokens))
		}
		out.Caches = append(out.Caches, c)
	}
}

// cacheSource returns the address of the VM that this VM asks for the reports of all engines'
// caches. Since all VMs hold the same reports, it prefers a VM in this failure domain, from
// which the transfer costs least.
func (f *Fleet) cacheSource() string {
	source, sameDomain := "", false
	for address, vm := range f.peers.vms {
		peerSameDomain := vm.domain == f.options.FailureDomain
		if vm.domain != "" && !vm.leaving && (source == "" || peerSameDomain && !sameDomain || peerSameDomain == sameDomain && address < source) {
			source, sameDomain = address, peerSameDomain
		}
	}
	return source
}

// receiveCacheReports applies the cache reports in another VM's state.
func (f *Fleet) receiveCacheReports(now time.Duration, vm *peerVM, in *sycgossippb.State) {
	vm.domain, vm.wantsCaches = in.FailureDomain, in.WantsCaches
	if in.HasCaches && !f.cacheReads.synced {
		f.cacheReads.synced = true
		f.log.WithFields(logrus.Fields{"vm": in.Address, "engines": len(in.Caches)}).Info("fleet: caches learned")
	}
	for _, c := range in.Caches {
		r := sycplace.CacheReport{Endpoint: c.Endpoint, Incarnation: c.Born, Weights: c.Weights, Evicted: c.Gone}
		for i, hash := range c.Kept {
			if i < len(c.Tokens) {
				r.Cached = append(r.Cached, sycplace.Block{Hash: hash, Tokens: int(c.Tokens[i])})
			}
		}
		f.selector.ApplyCacheReport(now, r)
	}
}
