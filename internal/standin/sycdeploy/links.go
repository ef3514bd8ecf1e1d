package sycdeploy

import (
	"net"

	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
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

// sourceDomain is the failure domain of the router that opened a connection. A
// router dials from the IP number that it listens on for peers.
func (d *Deployment) sourceDomain(client net.Conn) string {
	from, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return ""
	}
	for _, r := range d.Routers() {
		if r.ip() == from {
			return r.domain
		}
	}
	return ""
}

// CutDomains cuts two failure domains off from each other, or ends that: the
// VMs of either reach neither the VMs nor the endpoints of the other.
func (d *Deployment) CutDomains(one, other string, cut bool) {
	d.setLink(one, other, cut)
	d.setLink(other, one, cut)
}

func (d *Deployment) setLink(from, to string, cut bool) {
	d.SetLink(from, to, sycfault.Fault{Cut: cut})
}

// SetLink sets the fault of the connections that the routers of a failure domain
// open to another. The delay between the domains is added.
func (d *Deployment) SetLink(from, to string, fault sycfault.Fault) {
	fault.Latency += d.between(from, to).Latency
	for _, proxy := range d.proxiesOf(to) {
		proxy.SetFrom(from, fault)
	}
}

// proxiesOf lists the proxies to everything in a failure domain.
func (d *Deployment) proxiesOf(domain string) []*sycfault.Proxy {
	var list []*sycfault.Proxy
	for _, e := range d.engines {
		if e.domain == domain {
			list = append(list, e.proxy)
		}
	}
	for _, w := range d.workers {
		if w.domain == domain {
			list = append(list, w.proxy)
		}
	}
	for _, r := range d.Routers() {
		if r.domain == domain {
			list = append(list, r.peerProxy())
		}
	}
	return list
}

// SetPlatformLink sets the fault between the routers of a failure domain and
// the platform.
func (d *Deployment) SetPlatformLink(domain string, f sycfault.Fault) {
	d.front.SetFrom(domain, f)
}
