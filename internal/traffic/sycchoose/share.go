package sycchoose

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Digest returns what this VM tells the others of its failure domain: its
// load on endpoints and its service to customers. It must be called on the loop.
func (c *Chooser) Digest(now time.Duration) ([]*sycpeerpb.EndpointLoad, []*sycpeerpb.CustomerService) {
	digest := c.dispatcher.Digest(now)
	loads := make([]*sycpeerpb.EndpointLoad, 0, len(digest.Loads))
	for _, l := range digest.Loads {
		loads = append(loads, &sycpeerpb.EndpointLoad{
			Endpoint:      l.Endpoint,
			InFlight:      int64(l.Requests),
			PrefillTokens: int64(l.Prefill),
			Computing:     computingOut(l.Computing),
		})
	}
	services := make([]*sycpeerpb.CustomerService, 0, len(digest.Usages))
	for _, s := range digest.Usages {
		services = append(services, &sycpeerpb.CustomerService{
			Customer: s.Customer,
			Pool:     s.Pool,
			Served:   int64(s.Served),
			Queued:   int64(s.Queued),
		})
	}
	return loads, services
}

// Urgent yields when the others should be told before the next regular time.
func (c *Chooser) Urgent() <-chan struct{} { return c.urgent }

// MarkUrgent asks for a digest before the next regular time.
func (c *Chooser) MarkUrgent() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// ApplyDigest takes what another VM of the failure domain told. from names that
// VM's process and changes when it restarts. It must be called on the loop.
func (c *Chooser) ApplyDigest(now time.Duration, from string, loads []*sycpeerpb.EndpointLoad, services []*sycpeerpb.CustomerService) {
	var digest sycdispatch.Digest
	for _, l := range loads {
		digest.Loads = append(digest.Loads, sycdispatch.EndpointLoad{
			Endpoint:  l.GetEndpoint(),
			Requests:  int(max(l.GetInFlight(), 0)),
			Prefill:   int(max(l.GetPrefillTokens(), 0)),
			Computing: computingIn(l.GetComputing()),
		})
	}
	for _, s := range services {
		digest.Usages = append(digest.Usages, sycdispatch.PoolUsage{
			Pool: s.GetPool(),
			Usage: sycqueue.Usage{
				Customer: s.GetCustomer(),
				Served:   float64(s.GetServed()),
				Queued:   float64(max(s.GetQueued(), 0)),
			},
		})
	}
	c.act(now, func(d machine) { d.ApplyDigest(now, from, digest) })
}

func computingOut(list []sycdispatch.RunningPrefill) []*sycpeerpb.Computing {
	out := make([]*sycpeerpb.Computing, 0, len(list))
	for _, c := range list {
		out = append(out, &sycpeerpb.Computing{Marks: c.Marks, LeftNano: int64(c.Left)})
	}
	return out
}

func computingIn(list []*sycpeerpb.Computing) []sycdispatch.RunningPrefill {
	in := make([]sycdispatch.RunningPrefill, 0, len(list))
	for _, c := range list {
		in = append(in, sycdispatch.RunningPrefill{Marks: c.GetMarks(), Left: time.Duration(c.GetLeftNano())})
	}
	return in
}
