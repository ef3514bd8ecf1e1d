package sycrollout

import (
	"cmp"
	"slices"
)

// Kinds of orders.
const (
	OrderLoad        = "load"
	OrderDrop        = "drop"
	OrderLoadAdapter = "load_adapter"
	OrderDropAdapter = "drop_adapter"
	OrderRole        = "role"
)

// EngineState is what an engine reports of a model's weights.
type EngineState struct {
	Endpoint      string
	FailureDomain string
	ChecksFencing bool
	// Ready and Loading list weights of the model, Adapters those on ready weights.
	Ready    []string
	Loading  []string
	Adapters []Adapter
}

// Adapter names an adapter on weights.
type Adapter struct {
	Weights string
	Name    string
}

// Holds reports whether the engine has a version's weights and adapter.
func (e EngineState) Holds(v Version) bool {
	a := adapterOf(v)
	return slices.Contains(e.Ready, a.Weights) && (a.Name == "" || slices.Contains(e.Adapters, a))
}

func adapterOf(v Version) Adapter {
	return Adapter{Weights: v.Value().Weights(), Name: v.Value().Adapter()}
}

// EngineRole is the role that an engine reports and the one that its record wants.
type EngineRole struct {
	Endpoint string
	// Wanted is empty if any role will do.
	Wanted   string
	Reported string
	// Unfenced is true if the engine checks fencing numbers and has seen none of
	// the present leader's, so that it would still take a former leader's order.
	Unfenced bool
}

// Order is a target state that an engine is told to reach.
type Order struct {
	Endpoint string
	// Kind is one of the kinds of orders above.
	Kind    string
	Model   string
	Weights string
	Adapter string
	Role    string
}

// RoleOrders returns the orders to engines that report another role than wanted,
// and to those that must learn of the present leader's fencing number.
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

// Orders compares the engines of a model with what the lineup wants and
// returns the orders to send now. Loads are limited to a few at a time, since
// the weight store's rate is shared.
func Orders(model string, l Lineup, engines []EngineState) []Order {
	ordered := spread(engines)
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
			if loading >= loadParallel {
				continue
			}
			loading++
			orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderLoad, Model: model, Weights: weights})
		}
		orders = append(orders, l.adapterLoads(model, e, l.wanted(i, len(ordered)))...)
	}
	return append(orders, l.drops(model, ordered)...)
}

// adapterLoads returns the orders for adapters whose weights are there.
func (l Lineup) adapterLoads(model string, e EngineState, wanted []Adapter) []Order {
	var orders []Order
	for _, a := range wanted {
		if a.Name == "" || !slices.Contains(e.Ready, a.Weights) || slices.Contains(e.Adapters, a) {
			continue
		}
		orders = append(orders, Order{Endpoint: e.Endpoint, Kind: OrderLoadAdapter, Model: model, Weights: a.Weights, Adapter: a.Name})
	}
	return orders
}

// wanted lists what the i-th of n engines should hold, what serves first.
func (l Lineup) wanted(i, n int) []Adapter {
	var list []Adapter
	if l.HasBase {
		list = append(list, adapterOf(l.Base))
	}
	if l.HasCandidate && l.Progress.State != StatePending && i < l.targets(n) {
		list = append(list, adapterOf(l.Candidate))
	}
	if l.Progress.Share >= 1 {
		slices.Reverse(list)
	}
	return slices.Compact(list)
}

// wantedWeights lists the weights that the i-th of n engines should hold.
func (l Lineup) wantedWeights(i, n int) []string {
	var weights []string
	for _, a := range l.wanted(i, n) {
		weights = append(weights, a.Weights)
	}
	return slices.Compact(weights)
}

// targets is the number of engines that hold the candidate now: enough for the
// next share, so that loading and baking overlap.
func (l Lineup) targets(n int) int {
	v := View{Lineup: l}
	return EnginesFor(v.nextShare(), n)
}

// drops returns the orders for weights and adapters that no version of the
// lineup uses, on engines that already hold the base.
func (l Lineup) drops(model string, engines []EngineState) []Order {
	if !l.HasBase {
		return nil
	}
	var orders []Order
	used := l.used()
	for _, e := range engines {
		if !e.Holds(l.Base) {
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

// used lists what the versions of the lineup use on any engine.
func (l Lineup) used() []Adapter {
	list := []Adapter{adapterOf(l.Base)}
	if l.HasCandidate && l.Progress.State != StatePending {
		list = append(list, adapterOf(l.Candidate))
	}
	return list
}

// spread orders engines so that the first ones lie in different failure domains.
func spread(engines []EngineState) []EngineState {
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b EngineState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
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
