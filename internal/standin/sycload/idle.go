package sycload

import "fmt"

// Idle is a deployment without traffic, whose failure domains have up to
// domainSize VMs each and share the engines evenly.
func Idle(vms, engines, domainSize int) Workload {
	w := Workload{name: "idle"}
	count := max((vms+domainSize-1)/domainSize, 1)
	for i := range count {
		w.domains = append(w.domains, Domain{
			name:    fmt.Sprintf("domain-%d", i+1),
			vms:     part(vms, i, count),
			engines: part(engines, i, count),
		})
	}
	return w
}

// part is the i-th of n nearly equal parts of a total.
func part(total, i, n int) int {
	return total*(i+1)/n - total*i/n
}
