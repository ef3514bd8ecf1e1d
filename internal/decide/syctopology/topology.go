// Package syctopology decides which VMs of a fleet exchange state with each other.
//
// In each failure domain a few VMs are relays. A VM that is no relay exchanges state with one
// relay of its failure domain, and relays exchange state with each other. A small fleet has
// relays only, so that all of its VMs exchange state directly.
//
// Which VMs are relays follows from a ranking of the running VMs alone. VMs with different
// views may rank differently for a time. Nothing depends on an agreement: a VM answers any
// other, whatever it takes it for.
package syctopology

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirect is the size of the largest fleet in which all VMs are relays.
	maxDirect = 10
	// minRelays is the least number of relays in a failure domain that has as many VMs.
	minRelays = 2
	// vmsPerRelay is the number of a failure domain's VMs for each of its relays.
	vmsPerRelay = 20
	// homeCapacity is the least capacity of a relay that other VMs exchange state with, as a
	// part of the largest in the failure domain.
	homeCapacity = 0.5
	// megabitsPerCore is the bandwidth, in Mbit/s, that a relay uses with a core.
	megabitsPerCore = 100
	// bytesPerMegabit converts a bandwidth from Mbit/s to bytes a second.
	bytesPerMegabit = 1e6 / 8
)

// VM is a running VM of a fleet.
type VM struct {
	// Address identifies the VM.
	Address string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// Capacity is what the VM can do compared with others, 0 if that isn't known. VMs with
	// more become relays first.
	Capacity float64
}

// Topology says which VMs are relays.
type Topology struct {
	// relays holds the relays of each failure domain, the highest rank first.
	relays map[string][]VM
	// relay has the addresses of all relays as its keys.
	relay map[string]bool
	// direct is set if all VMs are relays.
	direct bool
}

// New returns the topology of a fleet with the given running VMs.
func New(vms []VM) *Topology {
	t := &Topology{relays: map[string][]VM{}, relay: map[string]bool{}, direct: len(vms) <= maxDirect}
	for _, vm := range vms {
		t.relays[vm.FailureDomain] = append(t.relays[vm.FailureDomain], vm)
	}
	for domain, members := range t.relays {
		slices.SortFunc(members, compareRank)
		if !t.direct {
			members = members[:min(relayCount(len(members)), len(members))]
		}
		t.relays[domain] = members
		for _, vm := range members {
			t.relay[vm.Address] = true
		}
	}
	return t
}

// relayCount returns how many relays a failure domain with the given number of VMs has.
func relayCount(vms int) int {
	return max(minRelays, (vms+vmsPerRelay-1)/vmsPerRelay)
}

// compareRank orders VMs by their rank, the highest first: more capacity, then the larger hash.
func compareRank(a, b VM) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(b.Address), xxhash.Sum64String(a.Address)),
		cmp.Compare(a.Address, b.Address),
	)
}

// Capacity returns the capacity of a VM with a number of cores and a link of a number of Mbit/s,
// by what it has less of. A link of 0 isn't known.
func Capacity(cores, megabits float64) float64 {
	if megabits <= 0 {
		return cores
	}
	return min(cores, megabits/megabitsPerCore)
}

// BytesPerSecond returns the bandwidth, in bytes a second, that a VM with a capacity has at least.
func BytesPerSecond(capacity float64) float64 { return capacity * megabitsPerCore * bytesPerMegabit }

// IsDirect reports whether all VMs are relays.
func (t *Topology) IsDirect() bool { return t.direct }

// IsRelay reports whether a VM is a relay.
func (t *Topology) IsRelay(address string) bool { return t.relay[address] }

// Partners returns the addresses of the VMs that a VM exchanges state with on its own account,
// in order: all other relays if it is a relay itself, else one relay of its failure domain.
func (t *Topology) Partners(self VM) []string {
	if t.relay[self.Address] {
		var out []string
		for address := range t.relay {
			if address != self.Address {
				out = append(out, address)
			}
		}
		slices.Sort(out)
		return out
	}
	if home := t.home(self); home != "" {
		return []string{home}
	}
	return nil
}

// home returns the relay of a VM that isn't one itself, empty if there is none. The VMs of a
// failure domain are spread evenly over its relays, but for those with much less capacity than
// the first. Where the domain has none, the relays of others are used.
func (t *Topology) home(self VM) string {
	relays := t.relays[self.FailureDomain]
	if len(relays) == 0 {
		for _, domain := range slices.Sorted(maps.Keys(t.relays)) {
			relays = append(relays, t.relays[domain]...)
		}
		slices.SortFunc(relays, compareRank)
	}
	best, bestHash := "", uint64(0)
	for _, vm := range relays {
		hash := xxhash.Sum64String(self.Address + "/" + vm.Address)
		if vm.Capacity >= homeCapacity*relays[0].Capacity && (best == "" || hash > bestHash) {
			best, bestHash = vm.Address, hash
		}
	}
	return best
}

// Readers returns the addresses of the given number of VMs that read the log for the others.
// They are the highest ranked ones of different failure domains, as far as there are enough.
func (t *Topology) Readers(count int) []string {
	var out []string
	for rank := 0; len(out) < count; rank++ {
		var row []VM
		for _, members := range t.relays {
			if rank < len(members) {
				row = append(row, members[rank])
			}
		}
		if len(row) == 0 {
			break
		}
		slices.SortFunc(row, compareRank)
		for _, vm := range row[:min(len(row), count-len(out))] {
			out = append(out, vm.Address)
		}
	}
	return out
}
