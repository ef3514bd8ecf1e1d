package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
)

// StoreFetch asks a store of kept KV cache to fetch blocks from an engine.
type StoreFetch struct {
	// Store is the name of the store's endpoint, Address its base URL.
	Store   string
	Address string
	// From is the engine's base URL, Incarnation the engine's.
	From        string
	Incarnation string
	Salt        string
	Blocks      []uint64
}

// TakeKeeps returns what stores should fetch since the last call.
func (d *Dispatcher[P]) TakeKeeps() []StoreFetch {
	keeps := d.keeps
	d.keeps = nil
	return keeps
}

// Kept tells which blocks a store holds after a fetch.
func (d *Dispatcher[P]) Kept(now time.Duration, name, incarnation string, blocks []uint64) {
	if e := d.endpoints[name]; e != nil && e.cache.Incarnation() == incarnation {
		e.cache.Confirm(now, incarnation, blocks)
	}
}

// keep asks a store for the part of an attempt's prompt that was in use before
// and that no store holds, once the engine has computed it.
func (d *Dispatcher[P]) keep(now time.Duration, a *attempt) {
	chain := a.option.Chain[:a.shared]
	incarnation := a.endpoint.cache.Incarnation()
	if len(chain) == 0 || incarnation == "" {
		return
	}
	store := d.store(chain[0])
	if store == nil {
		return
	}
	held := store.cache.Match(now, chain).Depth
	if held == len(chain) {
		return
	}
	store.cache.Predict(now, chain[held:])
	d.keeps = append(d.keeps, StoreFetch{
		Store:       store.record.Name(),
		Address:     store.record.Address(),
		From:        a.endpoint.record.Address(),
		Incarnation: incarnation,
		Salt:        a.option.Salt,
		Blocks:      chain[held:],
	})
}

// store returns the store that keeps the prefixes that start with a block: one
// of the VM's own failure domain if there is any.
func (d *Dispatcher[P]) store(block uint64) *endpoint {
	var best *endpoint
	for _, e := range d.order {
		if !e.keeps() {
			continue
		}
		if best == nil || d.prefers(block, e, best) {
			best = e
		}
	}
	return best
}

func (d *Dispatcher[P]) prefers(block uint64, a, b *endpoint) bool {
	near := a.record.FailureDomain() == d.options.FailureDomain
	if near != (b.record.FailureDomain() == d.options.FailureDomain) {
		return near
	}
	return sycroute.Rank(block, a.hash) > sycroute.Rank(block, b.hash)
}

// keeps reports whether the endpoint is a store that answers.
func (e *endpoint) keeps() bool {
	return e.record.Type() == sycrecord.EndpointKVStore &&
		!e.record.Leaving() &&
		e.cache.Synced() &&
		e.health.State() != sychealth.Out
}
