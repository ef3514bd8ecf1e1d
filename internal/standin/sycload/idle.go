package sycload

import "fmt"

// Idle returns a workload without customers or traffic. Its VMs are in failure domains
// of at most domainSize VMs each, and the engines are spread evenly over these.
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

// part returns the size of the i-th part, from 0, of a total split into n nearly equal
// parts.
func part(total, i, n int) int {
	return total*(i+1)/n - total*i/n
}
