package sycrollout

import (
	"cmp"
	"slices"
)

// EngineState is what an engine reports of a model's weights.
type EngineState struct {
	Endpoint      string
	FailureDomain string
	ChecksFencing bool
	// Ready and Loading list weights of the model.
	Ready   []string
	Loading []string
}

// Order is a target state that an engine is told to reach.
type Order struct {
	Endpoint string
	// Kind is "load" or "drop".
	Kind    string
	Model   string
	Weights string
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
		for _, weights := range l.wanted(i, len(ordered)) {
			if slices.Contains(e.Ready, weights) || slices.Contains(e.Loading, weights) {
				continue
			}
			if loading >= loadParallel {
				continue
			}
			loading++
			orders = append(orders, Order{Endpoint: e.Endpoint, Kind: "load", Model: model, Weights: weights})
		}
	}
	return append(orders, l.drops(model, ordered)...)
}

// wanted lists the weights that the i-th of n engines should hold, those that
// serve first.
func (l Lineup) wanted(i, n int) []string {
	var weights []string
	if l.HasBase {
		weights = append(weights, l.Base.Value().Weights())
	}
	if l.HasCandidate && l.Progress.State != StatePending && i < l.targets(n) {
		weights = append(weights, l.Candidate.Value().Weights())
	}
	if l.Progress.Share >= 1 {
		slices.Reverse(weights)
	}
	return slices.Compact(weights)
}

// targets is the number of engines that hold the candidate now: enough for the
// next share, so that loading and baking overlap.
func (l Lineup) targets(n int) int {
	v := View{Lineup: l}
	return EnginesFor(v.nextShare(), n)
}

// drops returns the orders for weights that no version of the lineup uses, on
// engines that already hold the base.
func (l Lineup) drops(model string, engines []EngineState) []Order {
	var orders []Order
	if !l.HasBase {
		return nil
	}
	for i, e := range engines {
		wanted := l.wanted(i, len(engines))
		if !slices.Contains(e.Ready, l.Base.Value().Weights()) {
			continue
		}
		for _, weights := range e.Ready {
			if slices.Contains(wanted, weights) || l.candidateWeights(weights) {
				continue
			}
			orders = append(orders, Order{Endpoint: e.Endpoint, Kind: "drop", Model: model, Weights: weights})
		}
	}
	return orders
}

func (l Lineup) candidateWeights(weights string) bool {
	return l.HasCandidate && l.Progress.State != StatePending && l.Candidate.Value().Weights() == weights
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
