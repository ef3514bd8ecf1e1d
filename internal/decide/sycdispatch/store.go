package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
)

// StoreFetch asks a KV store, an endpoint that stores cached blocks of engines, to
// fetch blocks from an engine.
type StoreFetch struct {
	// Store is the name of the KV store's endpoint.
	Store string
	// Address is the base URL of the KV store.
	Address string
	// From is the base URL of the engine that has the blocks cached.
	From string
	// Incarnation identifies the engine's process.
	Incarnation string
	// Salt is the cache salt of the blocks.
	Salt string
	// Blocks holds the hashes of the blocks to fetch, in the order of the prompt.
	Blocks []uint64
}

// TakeStoreFetches returns the fetches that KV stores should do, collected since the last
// call, and clears the list.
func (d *Dispatcher[P]) TakeStoreFetches() []StoreFetch {
	fetches := d.storeFetches
	d.storeFetches = nil
	return fetches
}

// ConfirmStored records the blocks that a KV store has after a fetch. It is ignored if the
// store's incarnation has changed.
func (d *Dispatcher[P]) ConfirmStored(now time.Duration, name, incarnation string, blocks []uint64) {
	if e := d.endpoints[name]; e != nil && e.cache.Incarnation() == incarnation {
		e.cache.Confirm(now, incarnation, blocks)
	}
}

// copyToStore asks a KV store to fetch those of an attempt's shared blocks, see
// attempt.sharedBlocks, that it doesn't have. Blocks that no other request has used
// yet are not stored. It is called once the engine has computed the prompt.
func (d *Dispatcher[P]) copyToStore(now time.Duration, a *attempt) {
	chain := a.option.Chain[:a.sharedBlocks]
	incarnation := a.endpoint.cache.Incarnation()
	if len(chain) == 0 || incarnation == "" {
		return
	}
	store := d.store(chain[0])
	if store == nil {
		return
	}
	cached := store.cache.Match(now, chain).Depth
	if cached == len(chain) {
		return
	}
	store.cache.Predict(now, chain[cached:])
	d.storeFetches = append(d.storeFetches, StoreFetch{
		Store:       store.record.Name(),
		Address:     store.record.Address(),
		From:        a.endpoint.record.Address(),
		Incarnation: incarnation,
		Salt:        a.option.Salt,
		Blocks:      chain[cached:],
	})
}

// store returns the KV store for the prompts that start with the given block, or nil
// if no store is available. It prefers stores of this VM's failure domain, and among
// them uses rendezvous hashing, so that VMs agree.
func (d *Dispatcher[P]) store(block uint64) *endpoint {
	var best *endpoint
	for _, e := range d.byName {
		if !e.storeAvailable() {
			continue
		}
		if best == nil || d.betterStore(block, e, best) {
			best = e
		}
	}
	return best
}

// betterStore reports whether store a comes before store b for prompts that start
// with the given block.
func (d *Dispatcher[P]) betterStore(block uint64, a, b *endpoint) bool {
	near := a.record.FailureDomain() == d.options.FailureDomain
	if near != (b.record.FailureDomain() == d.options.FailureDomain) {
		return near
	}
	return sycroute.Rank(block, a.hash) > sycroute.Rank(block, b.hash)
}

// storeAvailable reports whether the endpoint is a KV store that is in service and
// whose list of blocks is complete.
func (e *endpoint) storeAvailable() bool {
	return e.record.Type() == sycrecord.EndpointKVStore &&
		!e.record.Leaving() &&
		e.cache.Synced() &&
		e.health.State() != sychealth.Out
}
