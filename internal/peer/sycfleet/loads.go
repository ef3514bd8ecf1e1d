package sycfleet

import (
	"maps"
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// groupLoads holds the loads that VMs tell each other. A VM tells its own. A relay tells the
// sums of its group: its own loads and those of the VMs that send theirs to it. So every VM
// gets as many loads as there are relays and endpoints, however many VMs there are.
type groupLoads struct {
	// own holds this VM's loads, by endpoint.
	own map[string]sycplace.Load
	// members holds the loads of the VMs that send theirs to this one, by address and
	// endpoint.
	members map[string]map[string]sycplace.Load
	// groups holds the sums that relays told, by the relay's address and endpoint.
	groups map[string]map[string]sycplace.Load
	// muted has the relays as its keys whose groups don't count, since they aren't heard.
	muted map[string]bool
	// sums holds the sums of this VM's group by endpoint: own and members together.
	sums map[string]sycplace.Load
	// changed has the endpoints as its keys whose sums have changed since they were taken.
	changed map[string]bool
}

func newGroupLoads() *groupLoads {
	return &groupLoads{
		own:     map[string]sycplace.Load{},
		members: map[string]map[string]sycplace.Load{},
		groups:  map[string]map[string]sycplace.Load{},
		muted:   map[string]bool{},
		sums:    map[string]sycplace.Load{},
		changed: map[string]bool{},
	}
}

// plus returns the sum of two loads of an endpoint.
func plus(a, b sycplace.Load) sycplace.Load {
	a.Requests += b.Requests
	a.NonResumable += b.NonResumable
	a.Tokens += b.Tokens
	return a
}

// minus returns the difference of two loads of an endpoint.
func minus(a, b sycplace.Load) sycplace.Load {
	a.Requests -= b.Requests
	a.NonResumable -= b.NonResumable
	a.Tokens -= b.Tokens
	return a
}

// add adds the difference between an endpoint's new and former load to the group's sums.
func (g *groupLoads) add(endpoint string, load, former sycplace.Load) {
	difference := minus(load, former)
	difference.Endpoint = endpoint
	if difference == (sycplace.Load{Endpoint: endpoint}) {
		return
	}
	sum := plus(g.sums[endpoint], difference)
	sum.Endpoint = endpoint
	g.sums[endpoint] = sum
	g.changed[endpoint] = true
}

// setOwn replaces this VM's loads. Endpoints that aren't listed have none.
func (g *groupLoads) setOwn(loads []sycplace.Load) {
	own := make(map[string]sycplace.Load, len(loads))
	for _, l := range loads {
		own[l.Endpoint] = l
		g.add(l.Endpoint, l, g.own[l.Endpoint])
	}
	for endpoint, former := range g.own {
		if _, listed := own[endpoint]; !listed {
			g.add(endpoint, sycplace.Load{}, former)
		}
	}
	g.own = own
}

// setMember sets the load of a VM that sends its loads to this one.
func (g *groupLoads) setMember(address string, load sycplace.Load) {
	loads := g.members[address]
	if loads == nil {
		loads = map[string]sycplace.Load{}
		g.members[address] = loads
	}
	g.add(load.Endpoint, load, loads[load.Endpoint])
	if load.Requests == 0 && load.Tokens == 0 {
		delete(loads, load.Endpoint)
		return
	}
	loads[load.Endpoint] = load
}

// dropMember removes the loads of a VM that no longer sends them to this one.
func (g *groupLoads) dropMember(address string) {
	for endpoint, former := range g.members[address] {
		g.add(endpoint, sycplace.Load{}, former)
	}
	delete(g.members, address)
}

// setGroup sets an endpoint's load in the group of a relay.
func (g *groupLoads) setGroup(address string, load sycplace.Load) {
	loads := g.groups[address]
	if loads == nil {
		loads = map[string]sycplace.Load{}
		g.groups[address] = loads
	}
	if load.Requests == 0 && load.Tokens == 0 {
		delete(loads, load.Endpoint)
		return
	}
	loads[load.Endpoint] = load
}

// dropGroup removes the loads of a relay's group.
func (g *groupLoads) dropGroup(address string) {
	delete(g.groups, address)
	delete(g.muted, address)
}

// heard returns the loads of a relay's group, none if it is muted.
func (g *groupLoads) heard(address string) []sycplace.Load {
	if g.muted[address] {
		return nil
	}
	return slices.Collect(maps.Values(g.groups[address]))
}

// touch makes take return all sums, and none for those of the given endpoints that have no load.
func (g *groupLoads) touch(told []string) {
	for endpoint := range g.sums {
		g.changed[endpoint] = true
	}
	for _, endpoint := range told {
		g.changed[endpoint] = true
	}
}

// take returns the sums that have changed since the last call, ordered by endpoint.
func (g *groupLoads) take() []sycplace.Load {
	out := make([]sycplace.Load, 0, len(g.changed))
	for _, endpoint := range slices.Sorted(maps.Keys(g.changed)) {
		sum := g.sums[endpoint]
		sum.Endpoint = endpoint
		out = append(out, sum)
		if sum.Requests == 0 && sum.Tokens == 0 {
			delete(g.sums, endpoint)
		}
	}
	clear(g.changed)
	return out
}

// withoutOwn returns a group's loads without what this VM has told the group's relay.
func withoutOwn(group, told map[string]sycplace.Load) []sycplace.Load {
	out := make([]sycplace.Load, 0, len(group))
	for endpoint, load := range group {
		load = minus(load, told[endpoint])
		load.Endpoint = endpoint
		load.Requests, load.NonResumable, load.Tokens = max(load.Requests, 0), max(load.NonResumable, 0), max(load.Tokens, 0)
		out = append(out, load)
	}
	return out
}
