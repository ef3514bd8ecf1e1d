package sycrollout

import (
	"cmp"
	"slices"
)

// Kinds of orders to engines.
const (
	// OrderLoad makes an engine load weights.
	OrderLoad = "load"
	// OrderDrop makes an engine unload weights.
	OrderDrop = "drop"
	// OrderLoadAdapter makes an engine load an adapter on loaded weights.
	OrderLoadAdapter = "load_adapter"
	// OrderDropAdapter makes an engine unload an adapter.
	OrderDropAdapter = "drop_adapter"
	// OrderRole makes an engine take a role.
	OrderRole = "role"
)

// EngineState holds what an engine reports of the weights and adapters of one model.
type EngineState struct {
	// Endpoint is the name of the engine's endpoint record.
	Endpoint string
	// FailureDomain is the failure domain that the engine is in.
	FailureDomain string
	// ChecksFencing is set if the engine rejects orders with an older fencing number
	// than it has seen.
	ChecksFencing bool
	// Ready lists the model's weights that the engine has loaded.
	Ready []string
	// Loading lists the model's weights that the engine is loading.
	Loading []string
	// Adapters lists the adapters that are loaded on ready weights.
	Adapters []Adapter
}

// Adapter identifies an adapter by its name and the weights that it is loaded on. An
// empty name stands for the weights without an adapter.
type Adapter struct {
	// Weights is the name of the weights.
	Weights string
	// Name is the name of the adapter.
	Name string
}

// HasLoaded reports whether the engine has loaded a version's weights and adapter.
func (e EngineState) HasLoaded(v Version) bool {
	a := adapterOf(v)
	return slices.Contains(e.Ready, a.Weights) && (a.Name == "" || slices.Contains(e.Adapters, a))
}

// adapterOf returns the weights and the adapter of a version.
func adapterOf(v Version) Adapter {
	return Adapter{Weights: v.Value().Weights(), Name: v.Value().Adapter()}
}

// EngineRole holds the role that an engine reports and the one that its endpoint record
// demands. An engine's role is to run prefill, decode or both.
type EngineRole struct {
	// Endpoint is the name of the engine's endpoint record.
	Endpoint string
	// Wanted is the role that the record demands. It is empty if the engine may have
	// any role.
	Wanted string
	// Reported is the role that the engine reports. It is empty if it reports none.
	Reported string
	// Unfenced is set if the engine checks fencing numbers and has seen none of the
	// present leader's, so that it would still accept a former leader's order.
	Unfenced bool
}

// Order demands that an engine reach a state, such as having weights loaded.
type Order struct {
	// Endpoint is the name of the engine's endpoint record.
	Endpoint string
	// Kind is one of OrderLoad, OrderDrop, OrderLoadAdapter, OrderDropAdapter and
	// OrderRole.
	Kind string
	// Model is the model that the weights or the adapter serve. It is empty for
	// OrderRole.
	Model string
	// Weights names the weights to load or unload, or those of the adapter.
	Weights string
	// Adapter names the adapter to load or unload.
	Adapter string
	// Role is the role to take, for OrderRole only.
	Role string
}

// RoleOrders returns the orders for engines whose reported role is not the wanted one,
// and for engines that must learn the present leader's fencing number.
func RoleOrders(engines []EngineRole) []Order {
	var orders []Order
	for _, e := range engines {
		target := cmp.Or(e.Wanted, e.Reported)
		if target != "" && (e.Unfenced || target != e.Reported) {
			orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderRole, Role: target})
		}
	}
	return orders
}

// Orders compares the engines of a model with the state that the lineup demands and
// returns the orders to send now. At most maxParallelLoads weights are loaded at a
// time, since the engines share the rate of the weight store.
func Orders(model string, l Lineup, engines []EngineState) []Order {
	ordered := spreadByDomain(engines)
	var orders []Order
	loading := 0
	for _, e := range ordered {
		loading += len(e.Loading)
	}
	for i, e := range ordered {
		for _, weights := range l.wantedWeights(i, len(ordered)) {
			if slices.Contains(e.Ready, weights) || slices.Contains(e.Loading, weights) {
				continue
			}
			if loading >= maxParallelLoads {
				continue
			}
			loading++
			orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderLoad, Model: model, Weights: weights})
		}
		orders = append(orders, l.adapterLoadOrders(model, e, l.wantedAdapters(i, len(ordered)))...)
	}
	return append(orders, l.dropOrders(model, ordered)...)
}

// adapterLoadOrders returns the orders to load the wanted adapters whose weights the
// engine has loaded.
func (l Lineup) adapterLoadOrders(model string, e EngineState, wanted []Adapter) []Order {
	var orders []Order
	for _, a := range wanted {
		if a.Name == "" || !slices.Contains(e.Ready, a.Weights) || slices.Contains(e.Adapters, a) {
			continue
		}
		orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderLoadAdapter, Model: model, Weights: a.Weights, Adapter: a.Name})
	}
	return orders
}

// wantedAdapters returns the weights and adapters that the i-th of n engines should
// have loaded: those of the base before those of the candidate, or the other way round
// once the candidate's traffic share is 1.
func (l Lineup) wantedAdapters(i, n int) []Adapter {
	var list []Adapter
	if l.HasBase {
		list = append(list, adapterOf(l.Base))
	}
	if l.HasCandidate && l.Progress.State != StatePending && i < l.candidateEngines(n) {
		list = append(list, adapterOf(l.Candidate))
	}
	if l.Progress.Share >= 1 {
		slices.Reverse(list)
	}
	return slices.Compact(list)
}

// wantedWeights returns the weights that the i-th of n engines should have loaded.
func (l Lineup) wantedWeights(i, n int) []string {
	var weights []string
	for _, a := range l.wantedAdapters(i, n) {
		weights = append(weights, a.Weights)
	}
	return slices.Compact(weights)
}

// candidateEngines returns how many of n engines should have loaded the candidate now:
// enough for the next stage, so that engines load weights while the present stage
// bakes.
func (l Lineup) candidateEngines(n int) int {
	v := View{Lineup: l}
	return EnginesFor(v.nextShare(), n)
}

// dropOrders returns the orders to unload weights and adapters that no version of the
// lineup uses. Only engines that have loaded the base get them.
func (l Lineup) dropOrders(model string, engines []EngineState) []Order {
	if !l.HasBase {
		return nil
	}
	var orders []Order
	used := l.usedAdapters()
	for _, e := range engines {
		if !e.HasLoaded(l.Base) {
			continue
		}
		for _, weights := range e.Ready {
			if !slices.ContainsFunc(used, func(a Adapter) bool { return a.Weights == weights }) {
				orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderDrop, Model: model, Weights: weights})
			}
		}
		for _, a := range e.Adapters {
			sameWeights := slices.ContainsFunc(used, func(b Adapter) bool { return a.Weights == b.Weights })
			if sameWeights && !slices.Contains(used, a) {
				orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderDropAdapter, Model: model, Weights: a.Weights, Adapter: a.Name})
			}
		}
	}
	return orders
}

// usedAdapters returns the weights and adapters that versions of the lineup may use on
// any engine.
func (l Lineup) usedAdapters() []Adapter {
	list := []Adapter{adapterOf(l.Base)}
	if l.HasCandidate && l.Progress.State != StatePending {
		list = append(list, adapterOf(l.Candidate))
	}
	return list
}

// spreadByDomain sorts engines so that the first ones are in different failure domains.
// The first engines get the candidate first.
func spreadByDomain(engines []EngineState) []EngineState {
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b EngineState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	// rank is the position of each engine among those of its failure domain, and seen
	// the number of engines counted in each failure domain.
	rank := map[string]int{}
	seen := map[string]int{}
	for _, e := range list {
		rank[e.Endpoint] = seen[e.FailureDomain]
		seen[e.FailureDomain]++
	}
	slices.SortStableFunc(list, func(a, b EngineState) int {
		return cmp.Or(cmp.Compare(rank[a.Endpoint], rank[b.Endpoint]), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return list
}
