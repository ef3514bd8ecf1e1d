package sycchoose

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Digest returns this VM's digest, to be sent to the other VMs of its failure domain: its
// load on endpoints and the usage of each customer in each pool. It must be called on the
// loop.
func (c *Chooser) Digest(now time.Duration) ([]*sycpeerpb.EndpointLoad, []*sycpeerpb.CustomerService) {
	digest := c.dispatcher.Digest(now)
	loads := make([]*sycpeerpb.EndpointLoad, 0, len(digest.Loads))
	for _, l := range digest.Loads {
		loads = append(loads, &sycpeerpb.EndpointLoad{
			Endpoint:      l.Endpoint,
			InFlight:      int64(l.Requests),
			PrefillTokens: int64(l.Prefill),
			Computing:     encodePrefills(l.Computing),
		})
	}
	usages := make([]*sycpeerpb.CustomerService, 0, len(digest.Usages))
	for _, u := range digest.Usages {
		usages = append(usages, &sycpeerpb.CustomerService{
			Customer: u.Customer,
			Pool:     u.Pool,
			Served:   int64(u.Served),
			Queued:   int64(u.Queued),
		})
	}
	return loads, usages
}

// Urgent returns a channel that yields a value when this VM's digest should be sent at once
// instead of at the next regular time.
func (c *Chooser) Urgent() <-chan struct{} { return c.urgent }

// MarkUrgent requests that this VM's digest be sent at once. See Urgent.
func (c *Chooser) MarkUrgent() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// ApplyDigest applies the digest of another VM of the failure domain. from identifies that
// VM's process, so it changes when the VM restarts. It must be called on the loop.
func (c *Chooser) ApplyDigest(now time.Duration, from string, loads []*sycpeerpb.EndpointLoad, usages []*sycpeerpb.CustomerService) {
	var digest sycdispatch.Digest
	for _, l := range loads {
		digest.Loads = append(digest.Loads, sycdispatch.EndpointLoad{
			Endpoint:  l.GetEndpoint(),
			Requests:  int(max(l.GetInFlight(), 0)),
			Prefill:   int(max(l.GetPrefillTokens(), 0)),
			Computing: decodePrefills(l.GetComputing()),
		})
	}
	for _, u := range usages {
		digest.Usages = append(digest.Usages, sycdispatch.PoolUsage{
			Pool: u.GetPool(),
			Usage: sycqueue.Usage{
				Customer: u.GetCustomer(),
				Served:   float64(u.GetServed()),
				Queued:   float64(max(u.GetQueued(), 0)),
			},
		})
	}
	c.act(now, func(d dispatcher) { d.ApplyDigest(now, from, digest) })
}

// encodePrefills converts running prefills to their wire form.
func encodePrefills(list []sycdispatch.RunningPrefill) []*sycpeerpb.Computing {
	out := make([]*sycpeerpb.Computing, 0, len(list))
	for _, c := range list {
		out = append(out, &sycpeerpb.Computing{Marks: c.Marks, LeftNano: int64(c.Left)})
	}
	return out
}

// decodePrefills converts running prefills from their wire form.
func decodePrefills(list []*sycpeerpb.Computing) []sycdispatch.RunningPrefill {
	in := make([]sycdispatch.RunningPrefill, 0, len(list))
	for _, c := range list {
		in = append(in, sycdispatch.RunningPrefill{Marks: c.GetMarks(), Left: time.Duration(c.GetLeftNano())})
	}
	return in
}
