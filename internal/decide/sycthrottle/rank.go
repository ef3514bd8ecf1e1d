package sycthrottle

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// senderCount is how many VMs send to an endpoint with a limit.
	senderCount = 3
	// senderCapacity is the least capacity of a sender, as a part of the largest in its failure domain.
	senderCapacity = 0.5
)

// VM is a VM of the fleet.
type VM struct {
	// Address identifies the VM.
	Address string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// Capacity is what the VM can do compared with others.
	Capacity float64
	// Runs is set if the VM is heard.
	Runs bool
}

// CompareVMs orders VMs by their addresses.
func CompareVMs(a, b VM) int { return cmp.Compare(a.Address, b.Address) }

// selectSenders returns the addresses of the VMs that may send to an endpoint, and of those that have a part of
// its limit, some of which may be silent. The senders are the highest ranked VMs as far as they run. If none of
// them does, the highest ranked VM that runs takes their place.
func selectSenders(endpoint, failureDomain string, vms []VM) (senders, sharers []string) {
	ranked := rank(endpoint, failureDomain, vms)
	for _, vm := range ranked[:min(senderCount, len(ranked))] {
		sharers = append(sharers, vm.Address)
		if vm.Runs {
			senders = append(senders, vm.Address)
		}
	}
	if len(senders) > 0 {
		return senders, sharers
	}
	if i := slices.IndexFunc(ranked, func(vm VM) bool { return vm.Runs }); i >= 0 {
		substitute := ranked[i].Address
		return []string{substitute}, append(sharers, substitute)
	}
	return nil, sharers
}

// rank orders VMs by their rank for an endpoint, the highest first: the first of the endpoint's failure domain,
// the first of each other one, then the second of each, and so on.
func rank(endpoint, failureDomain string, vms []VM) []VM {
	byDomain := map[string][]VM{}
	for _, vm := range vms {
		byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
	}
	hash := func(name string) uint64 { return xxhash.Sum64String(endpoint + "/" + name) }
	domains := slices.SortedFunc(maps.Keys(byDomain), func(a, b string) int {
		return cmp.Or(
			compareBool(a == failureDomain, b == failureDomain),
			cmp.Compare(hash(a), hash(b)),
			cmp.Compare(a, b),
		)
	})
	for _, members := range byDomain {
		least := senderCapacity * slices.MaxFunc(members, func(a, b VM) int { return cmp.Compare(a.Capacity, b.Capacity) }).Capacity
		slices.SortFunc(members, func(a, b VM) int {
			return cmp.Or(
				compareBool(a.Capacity >= least, b.Capacity >= least),
				cmp.Compare(hash(a.Address), hash(b.Address)),
				cmp.Compare(a.Address, b.Address),
			)
		})
	}
	var out []VM
	for row := 0; len(out) < len(vms); row++ {
		for _, domain := range domains {
			if members := byDomain[domain]; row < len(members) {
				out = append(out, members[row])
			}
		}
	}
	return out
}

// rankNear returns the indexes of VMs by their rank for an endpoint that few requests may go to at a time: all of its failure
// domain first, whose callers use it before others do, and whatever their capacity, since callers are spread over all VMs.
func rankNear(endpoint, failureDomain string, vms []VM) []int {
	hashes, out := make([]uint64, len(vms)), make([]int, len(vms))
	for i, vm := range vms {
		hashes[i], out[i] = xxhash.Sum64String(endpoint+"/"+vm.Address), i
	}
	slices.SortFunc(out, func(i, j int) int {
		a, b := &vms[i], &vms[j]
		return cmp.Or(
			compareBool(a.FailureDomain == failureDomain, b.FailureDomain == failureDomain),
			cmp.Compare(hashes[i], hashes[j]),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return out
}

// sameRank reports whether two VMs have the same rank for each endpoint by rankNear.
func sameRank(a, b VM) bool { return a.Address == b.Address && a.FailureDomain == b.FailureDomain }

// compareBool orders a VM or domain for which a condition holds before one for which it doesn't.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
