package sycdeploy

import (
	"net"

	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
)

// newProxy starts a proxy to the target address, which lies in the given failure
// domain. Connections from routers of other domains get the delay between domains.
// If domain is empty, as for the platform, no connection is delayed.
func (d *Deployment) newProxy(target, domain string) (*sycfault.Proxy, error) {
	proxy, err := sycfault.New(target, sycfault.Options{Seed: d.options.Seed, Source: d.sourceDomain})
	if err != nil {
		return nil, err
	}
	d.onClose(proxy.Close)
	for _, from := range d.options.Workload.Domains() {
		proxy.SetFrom(from.Name(), d.baseFault(from.Name(), domain))
	}
	return proxy, nil
}

// baseFault returns the state of the connections from one failure domain to another
// while no fault is injected: the delay between the domains.
func (d *Deployment) baseFault(from, to string) sycfault.Fault {
	if from == to || to == "" {
		return sycfault.Fault{}
	}
	return sycfault.Fault{Latency: d.options.Workload.BetweenDomains()}
}

// sourceDomain returns the failure domain of the router that opened a connection, or
// "" for another client. It recognizes a router by its IP address: a router dials from
// the address that it listens on for other VMs.
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

// CutDomains cuts two failure domains off from each other, or reconnects them if cut
// is false. While they're cut off, the VMs of one domain reach neither the VMs nor the
// endpoints of the other. Both replace the faults that SetLink set between the domains.
func (d *Deployment) CutDomains(one, other string, cut bool) {
	d.setLink(one, other, cut)
	d.setLink(other, one, cut)
}

// setLink cuts or reconnects the connections that the routers of one failure domain
// open to another.
func (d *Deployment) setLink(from, to string, cut bool) {
	d.SetLink(from, to, sycfault.Fault{Cut: cut})
}

// SetLink sets the fault of the connections that the routers of one failure domain
// open to another. The fault's latency is added to the delay between the domains.
func (d *Deployment) SetLink(from, to string, fault sycfault.Fault) {
	fault.Latency += d.baseFault(from, to).Latency
	for _, proxy := range d.proxiesOf(to) {
		proxy.SetFrom(from, fault)
	}
}

// proxiesOf lists the proxies to the engines, workers and routers of a failure domain.
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
			list = append(list, r.currentPeerProxy())
		}
	}
	return list
}

// SetPlatformLink sets the fault of the connections from the routers of a failure
// domain to the platform. The zero Fault ends it.
func (d *Deployment) SetPlatformLink(domain string, f sycfault.Fault) {
	d.platformProxy.SetFrom(domain, f)
}
