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
	// cacheWait is how long an engine may wait for changes of its cache, cachePause the
	// time between two calls, so that changes come in numbers.
	cacheWait  = 900 * time.Millisecond
	cachePause = 350 * time.Millisecond
	// readersPeriod is how often the engines are dealt out anew.
	readersPeriod = 500 * time.Millisecond
	// learnTime is how long a VM that has started waits for what another believes.
	learnTime = 3 * time.Second
	// cacheNewsLimit bounds what waits to be told to a VM of engines' caches.
	cacheNewsLimit = 400
)

// caches holds what this VM reads of engines' caches for all VMs.
type caches struct {
	// reading holds the engines that this VM reads at present, by id and start.
	reading map[engineStart]bool
	// learned is set once another VM has told what it believes, or none did in time.
	learned bool
	started time.Duration
	dealt   time.Duration
}

type engineStart struct {
	id   string
	born int64
}

// dealCaches starts to read the engines that fall to this VM. One VM reads an engine,
// one of the engine's failure domain if there is any, and tells the others.
func (f *Fleet) dealCaches(now time.Duration) {
	if now-f.caches.dealt < readersPeriod || f.leaving.Load() {
		return
	}
	f.caches.dealt = now
	f.caches.learned = f.caches.learned || now-f.caches.started > learnTime
	for _, e := range f.placer.Endpoints() {
		start := engineStart{e.ID, e.Incarnation}
		if len(e.Weights) == 0 || e.Leaving || f.caches.reading[start] || !f.readsCache(now, e) {
			continue
		}
		f.caches.reading[start] = true
		f.tomb.Go(func() error {
			f.readCache(e)
			f.loop.Do(func(time.Duration) { delete(f.caches.reading, start) })
			return nil
		})
	}
}

// readsCache reports whether it falls to this VM to read an engine's cache.
func (f *Fleet) readsCache(now time.Duration, e sycplace.Endpoint) bool {
	rank := func(address, domain string) (bool, uint64) {
		return domain == e.FailureDomain, xxhash.Sum64String(address + "/" + e.ID)
	}
	near, own := rank(f.options.Address, f.options.FailureDomain)
	for address, vm := range f.peers.vms {
		if vm.leaving || vm.domain == "" || now-vm.heard > holderSilence {
			continue
		}
		if isNear, other := rank(address, vm.domain); isNear && !near || isNear == near && other > own {
			return false
		}
	}
	return true
}

// readCache follows the cache of an engine while that falls to this VM.
func (f *Fleet) readCache(e sycplace.Endpoint) {
	var from, epoch int64
	for f.tomb.Alive() && f.goesOnReading(e) {
		ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), cacheWait+engineTimeout)
		events, err := f.options.Engines.CacheEvents(ctx, e, from, cacheWait)
		cancel()
		if err != nil {
			f.log.WithError(err).WithField("endpoint", e.ID).Debug("fleet: cache not read")
			f.pause(cacheWait)
			return
		}
		if epoch != 0 && events.Epoch != epoch {
			from, epoch = 0, 0
			continue
		}
		from, epoch = events.Next, events.Epoch
		if told := sycplace.SummarizeEvents(e, events.Events); len(told) > 0 {
			f.loop.Do(func(now time.Duration) { f.cacheRead(now, told) })
		}
		f.pause(cachePause)
	}
}

// goesOnReading reports whether an engine still runs and falls to this VM.
func (f *Fleet) goesOnReading(e sycplace.Endpoint) bool {
	goesOn := false
	f.loop.Do(func(now time.Duration) {
		record, known := f.placer.Endpoint(e.ID)
		goesOn = known && record.Incarnation == e.Incarnation && !record.Leaving && !f.leaving.Load() && f.readsCache(now, e)
	})
	return goesOn
}

// cacheRead takes in what an engine has told, and has the other VMs told.
func (f *Fleet) cacheRead(now time.Duration, told []sycplace.CacheReport) {
	for _, t := range told {
		f.placer.ApplyCacheReport(now, t)
	}
	for _, vm := range f.peers.vms {
		vm.caches = append(vm.caches, told...)
		if over := len(vm.caches) - cacheNewsLimit; over > 0 {
			vm.caches = vm.caches[over:]
		}
	}
}

// addCaches tells a VM what this one has read, or all that it believes if asked.
func (f *Fleet) addCaches(peer string, out *sycgossippb.State) {
	out.WantsCaches = !f.caches.learned && peer == f.cacheTeacher()
	vm := f.peers.vms[peer]
	if vm == nil {
		return
	}
	told := vm.caches
	vm.caches = nil
	if vm.wantsCaches && f.caches.learned {
		vm.wantsCaches = false
		told = f.placer.CacheReports()
		out.HasCaches = true
	}
	for _, t := range told {
		c := &sycgossippb.Cache{Endpoint: t.Endpoint, Born: t.Incarnation, Weights: t.Weights, Gone: t.Evicted}
		for _, p := range t.Cached {
			c.Kept = append(c.Kept, p.Hash)
			c.Tokens = append(c.Tokens, int64(p.Tokens))
		}
		out.Caches = append(out.Caches, c)
	}
}

// cacheTeacher is the VM that this one asks for its beliefs: one VM's are as good as
// another's, and a near one's cost least.
func (f *Fleet) cacheTeacher() string {
	teacher, near := "", false
	for address, vm := range f.peers.vms {
		isNear := vm.domain == f.options.FailureDomain
		if vm.domain != "" && !vm.leaving && (teacher == "" || isNear && !near || isNear == near && address < teacher) {
			teacher, near = address, isNear
		}
	}
	return teacher
}

// heardCaches takes in what another VM has read or believes.
func (f *Fleet) heardCaches(now time.Duration, vm *peerVM, in *sycgossippb.State) {
	vm.domain, vm.wantsCaches = in.FailureDomain, in.WantsCaches
	if in.HasCaches && !f.caches.learned {
		f.caches.learned = true
		f.log.WithFields(logrus.Fields{"vm": in.Address, "engines": len(in.Caches)}).Info("fleet: caches learned")
	}
	for _, c := range in.Caches {
		t := sycplace.CacheReport{Endpoint: c.Endpoint, Incarnation: c.Born, Weights: c.Weights, Evicted: c.Gone}
		for i, hash := range c.Kept {
			if i < len(c.Tokens) {
				t.Cached = append(t.Cached, sycplace.Block{Hash: hash, Tokens: int(c.Tokens[i])})
			}
		}
		f.placer.ApplyCacheReport(now, t)
	}
}
