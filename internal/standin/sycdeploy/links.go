package sycdeploy

import (
	"net"

	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycprocess"
)

// newProxy returns a proxy to something in a failure domain; routers of other
// domains reach it with the delay between domains.
func (d *Deployment) newProxy(target, domain string) (*sycfault.Proxy, error) {
	proxy, err := sycfault.New(target, sycfault.Options{Seed: d.options.Seed, Source: d.sourceDomain})
	if err != nil {
		return nil, err
	}
	d.onClose(proxy.Close)
	for _, from := range d.options.Workload.Domains() {
		proxy.SetFrom(from.Name(), d.between(from.Name(), domain))
	}
	return proxy, nil
}

// between is the fault-free state of a link.
func (d *Deployment) between(from, to string) sycfault.Fault {
	if from == to || to == "" {
		return sycfault.Fault{}
	}
	return sycfault.Fault{Latency: d.options.Workload.BetweenDomains()}
}

// sourceDomain is the failure domain of the router that opened a connection.
func (d *Deployment) sourceDomain(client net.Conn) string {
	var pids []int
	domains := map[int]string{}
	for _, r := range d.Routers() {
		if pid := r.pid(); pid != 0 {
			pids = append(pids, pid)
			domains[pid] = r.domain
		}
	}
	return domains[sycprocess.Owner(client, pids)]
}

// CutDomains cuts the routers of either failure domain off from the endpoints
// of the other, or ends that.
func (d *Deployment) CutDomains(one, other string, cut bool) {
	d.setEndpoints(one, other, cut)
	d.setEndpoints(other, one, cut)
}

func (d *Deployment) setEndpoints(from, to string, cut bool) {
	fault := d.between(from, to)
	fault.Cut = cut
	for _, e := range d.engines {
		if e.domain == to {
			e.proxy.SetFrom(from, fault)
		}
	}
	for _, w := range d.workers {
		if w.domain == to {
			w.proxy.SetFrom(from, fault)
		}
	}
}

// SetPlatformLink sets the fault between the routers of a failure domain and
// the platform.
func (d *Deployment) SetPlatformLink(domain string, f sycfault.Fault) {
	d.front.SetFrom(domain, f)
}
