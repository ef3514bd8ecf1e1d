package sycfleet

import (
	"context"
	"slices"
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
	// cacheReaderSilence is how long a VM may be silent before others read the caches that are
	// assigned to it. Who begins to read an engine's cache reads all events that it keeps.
	cacheReaderSilence = 3 * time.Second
	// maxCacheReads limits the engines whose caches this VM reads at a time, so that a VM that
	// hears no other doesn't fill its link with the events of all engines.
	maxCacheReads = 12
	// cachePageBlocks is how many blocks the reports of engines' caches have at most, but
	// for those of the last engine, in one state for a VM that has started.
	cachePageBlocks = 3000
	// maxReportBlocks is how many blocks a change of an engine's cache has at most, so that a state has room
	// for some of a large report.
	maxReportBlocks = 500
)

// cacheReads records which engines' caches this VM reads on behalf of all VMs. An engine's
// cache holds prompt blocks, and the engine reports its changes as cache events.
type cacheReads struct {
	// reading has the engines whose caches this VM reads at present as its keys.
	reading map[engineStart]bool
	// synced is set once another VM has sent its reports of all engines' caches, or none
	// has within maxCacheSyncTime. With Options.FirstStart it is set from the start.
	synced bool
	// after is the ID of the last engine whose reports another VM has sent.
	after string
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
	for _, e := range f.cachesToRead(now) {
		start := engineStart{e.ID, e.Incarnation}
		f.cacheReads.reading[start] = true
		f.tomb.Go(func() error {
			f.readCache(e)
			f.loop.DoControl(func(time.Duration) { delete(f.cacheReads.reading, start) })
			return nil
		})
	}
}

// cachesToRead returns the engines whose caches this VM has to begin to read, those of its failure
// domain first. A VM that has just started first finds out which others run.
func (f *Fleet) cachesToRead(now time.Duration) []sycplace.Endpoint {
	if now-f.cacheReads.startedAt < aliveWithin {
		return nil
	}
	var near, far []sycplace.Endpoint
	for _, e := range f.selector.Endpoints() {
		if len(e.Weights) == 0 || e.Leaving || f.cacheReads.reading[engineStart{e.ID, e.Incarnation}] || !f.isCacheReader(now, e) {
			continue
		}
		if e.FailureDomain == f.options.FailureDomain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), max(maxCacheReads-len(f.cacheReads.reading), 0))]
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
		if vm.domain == "" || vm.leaving || now-vm.heardAt > cacheReaderSilence {
			continue
		}
		if peerSameDomain, peerHash := rank(address, vm.domain); peerSameDomain && !sameDomain || peerSameDomain == sameDomain && peerHash > ownHash {
			return false
		}
	}
	return true
}

// cachePosition is how far an engine's cache events have been read.
type cachePosition struct {
	// next is the number of the event to ask for next.
	next int64
	// epoch is the engine's, 0 before its first answer.
	epoch int64
}

// cacheProgress is what an answer with cache events means for the position.
type cacheProgress int

// Kinds of progress.
const (
	// cacheAdvanced means that the events follow those before.
	cacheAdvanced cacheProgress = iota
	// cacheRestarted means that the engine has restarted: its events are to be read from the first on.
	cacheRestarted
	// cacheOutdated means that the events are older ones, of a late copy of an earlier answer.
	cacheOutdated
)

// advance moves the position behind an answer's events. A copy of the last answer before doesn't differ from
// one without news: its events say once more what they said.
func (p *cachePosition) advance(events CacheEvents) cacheProgress {
	switch {
	case p.epoch != 0 && events.Epoch != p.epoch:
		*p = cachePosition{}
		return cacheRestarted
	case events.Next < p.next:
		return cacheOutdated
	}
	*p = cachePosition{next: events.Next, epoch: events.Epoch}
	return cacheAdvanced
}

// readCache polls an engine's cache events until the engine restarts or leaves, a call
// fails, or another VM has to read its cache.
func (f *Fleet) readCache(e sycplace.Endpoint) {
	var at cachePosition
	for f.tomb.Alive() && f.keepsReading(e) {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), cachePollWait+engineTimeout)
		events, err := f.options.Engines.CacheEvents(ctx, e, at.next, cachePollWait)
		cancel()
		if err != nil {
			f.log.WithError(err).WithField("endpoint", e.ID).Debug("fleet: reading cache events failed")
			f.pause(cachePollWait)
			return
		}
		switch at.advance(events) {
		case cacheRestarted:
			continue
		case cacheAdvanced:
			if reports := sycplace.SummarizeEvents(e, events.Events); len(reports) > 0 {
				f.loop.DoControl(func(now time.Duration) { f.applyCacheReports(now, reports) })
			}
		case cacheOutdated:
			f.log.WithFields(logrus.Fields{"endpoint": e.ID, "next": events.Next, "from": at.next}).Info("fleet: late copy of cache events ignored")
		}
		f.pause(cachePollPause)
	}
}

// keepsReading reports whether an engine's incarnation still runs and this VM still has to
// read its cache.
func (f *Fleet) keepsReading(e sycplace.Endpoint) bool {
	reading := false
	f.loop.DoControl(func(now time.Duration) {
		record, known := f.selector.Endpoint(e.ID)
		reading = known && record.Incarnation == e.Incarnation && !record.Leaving && !f.leaving.Load() && f.isCacheReader(now, e)
	})
	return reading
}

// applyCacheReports applies reports of an engine's cache and tells them to the other VMs.
func (f *Fleet) applyCacheReports(now time.Duration, reports []sycplace.CacheReport) {
	for _, r := range reports {
		f.selector.ApplyCacheReport(now, r)
		for _, part := range splitReport(r) {
			message := encodeCache(part)
			message.Version = f.changes.version()
			f.changes.add(cacheChange, message, now+cacheLifetime)
		}
	}
}

// splitReport returns a report in parts of at most maxReportBlocks blocks, the evicted ones last, since the
// latest changes are sent first.
func splitReport(r sycplace.CacheReport) []sycplace.CacheReport {
	if len(r.Cached)+len(r.Evicted) <= maxReportBlocks {
		return []sycplace.CacheReport{r}
	}
	var out []sycplace.CacheReport
	part := r
	part.Evicted = nil
	for part.Cached = range slices.Chunk(r.Cached, maxReportBlocks) {
		out = append(out, part)
	}
	part.Cached = nil
	for part.Evicted = range slices.Chunk(r.Evicted, maxReportBlocks) {
		out = append(out, part)
	}
	return out
}

// addCaches adds to a state what the peer has asked for of the reports of all engines' caches,
// and asks the peer for them if this VM has just started.
func (f *Fleet) addCaches(peer string, l *link, out *sycgossippb.State) {
	out.WantsCaches = !f.cacheReads.synced && peer == f.cacheSource()
	out.CachesAfter = f.cacheReads.after
	if !l.wantsCaches || !f.cacheReads.synced {
		return
	}
	l.wantsCaches = false
	var reports []sycplace.CacheReport
	reports, out.CachesEnd = f.selector.CacheReports(l.cachesAfter, cachePageBlocks)
	out.HasCaches = true
	for _, r := range reports {
		out.Caches = append(out.Caches, encodeCache(r))
	}
}

// cacheSource returns the address of the VM that this VM asks for the reports of all engines'
// caches. Since all VMs hold the same reports, it prefers one in this failure domain, from which
// the transfer costs least.
func (f *Fleet) cacheSource() string {
	source := ""
	for _, address := range f.partners {
		vm, l := f.peers.vms[address], f.peers.links[address]
		if vm == nil || l == nil || l.incarnation == "" {
			continue
		}
		if vm.domain == f.options.FailureDomain {
			return address
		}
		if source == "" {
			source = address
		}
	}
	return source
}

// receiveCaches applies the reports of engines' caches that this process has asked for, not a former one at
// this VM's address.
func (f *Fleet) receiveCaches(now time.Duration, in *sycgossippb.State) {
	if !in.HasCaches || f.cacheReads.synced || in.ReceivedFrom != f.options.Incarnation {
		return
	}
	for _, c := range in.Caches {
		f.selector.ApplyCacheReport(now, decodeCache(c))
	}
	f.cacheReads.after = in.CachesEnd
	if in.CachesEnd == "" {
		f.cacheReads.synced = true
		f.log.WithField("vm", in.Address).Info("fleet: caches learned")
	}
}
