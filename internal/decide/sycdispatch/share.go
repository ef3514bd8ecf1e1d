package sycdispatch

import (
	"maps"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
)

const (
	// peerLife is how long another VM's digest counts.
	peerLife = 2 * time.Second
	// hotShared is the number of hot prefixes in a digest.
	hotShared = 16
	// chargeLead is the time of a pool's work by which service at other VMs can
	// set a customer back.
	chargeLead = 2 * time.Second
	// leastLead is the work of the same meaning while the pool's rate is unknown.
	leastLead = 20_000
)

// EndpointLoad is the load that a VM has put on an endpoint.
type EndpointLoad struct {
	Endpoint string
	Requests int
	Prefill  int
	// Computing lists the longer prefills under way.
	Computing []RunningPrefill
}

// PoolUsage is the service of a customer in a pool at a VM.
type PoolUsage struct {
	Pool string
	sycqueue.Usage
}

// Digest is what a VM tells the others of its failure domain.
type Digest struct {
	Loads  []EndpointLoad
	Usages []PoolUsage
}

// peer is the last digest of another VM.
type peer struct {
	at     time.Duration
	digest Digest
}

// ShareOut returns this VM's digest.
func (d *Dispatcher[P]) ShareOut(now time.Duration) Digest {
	var out Digest
	for _, e := range d.order {
		if l := e.own(now); l.requests > 0 {
			out.Loads = append(out.Loads, EndpointLoad{
				Endpoint:  e.record.Name(),
				Requests:  l.requests,
				Prefill:   l.prefill,
				Computing: e.computing(now),
			})
		}
	}
	for _, name := range d.poolNames() {
		for _, s := range d.pools[name].queue.Usages() {
			out.Usages = append(out.Usages, PoolUsage{Pool: name, Usage: s})
		}
	}
	return out
}

// ShareIn takes the digest of another VM, named by its process.
func (d *Dispatcher[P]) ShareIn(now time.Duration, from string, in Digest) {
	before := d.peers[from]
	after := &peer{at: now, digest: in}
	d.peers[from] = after
	if before != nil {
		d.charge(before.digest, in)
		d.count(now, from, before, -1)
	}
	d.count(now, from, after, 1)
	d.dispatchAll(now)
}

// charge charges customers for what they were served elsewhere since the last digest.
func (d *Dispatcher[P]) charge(before, after Digest) {
	type key struct{ pool, customer string }
	served := make(map[key]float64, len(before.Usages))
	for _, s := range before.Usages {
		served[key{s.Pool, s.Customer}] = s.Served
	}
	for _, s := range after.Usages {
		work := s.Served - served[key{s.Pool, s.Customer}]
		if work == 0 {
			continue
		}
		p := d.pool(s.Pool)
		lead := max(p.rate*chargeLead.Seconds(), leastLead)
		p.queue.Charge(s.Customer, d.weight(s.Customer), work, lead)
	}
}

// forgetPeers drops the digests of VMs that have fallen silent.
func (d *Dispatcher[P]) forgetPeers(now time.Duration) {
	for from, p := range d.peers {
		if now-p.at > peerLife {
			d.count(now, from, p, -1)
			delete(d.peers, from)
		}
	}
}

// count adds a digest to the endpoints' peer load, or takes it out again with
// sign -1.
func (d *Dispatcher[P]) count(now time.Duration, from string, p *peer, sign int) {
	for _, l := range p.digest.Loads {
		e := d.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		e.peers.requests = max(e.peers.requests+sign*l.Requests, 0)
		e.peers.prefill = max(e.peers.prefill+sign*l.Prefill, 0)
		if sign > 0 {
			e.learnComputing(from, p.at, l.Computing)
		} else {
			e.forgetComputing(from, l.Computing)
		}
		e.note(now)
	}
}

// Urgent reports whether the VM's load has changed so much since the last call
// that the others should be told at once.
func (d *Dispatcher[P]) Urgent() bool {
	urgent := d.urgent
	d.urgent = false
	return urgent
}

// entitlement is the part of a pool's endpoints that this VM's waiting
// requests may claim: the fair share of each waiting customer, divided over
// the VMs by the customer's waiting work.
func (d *Dispatcher[P]) entitlement(p *pool) float64 {
	var queued sums
	for _, s := range p.queue.Usages() {
		queued.add(s, true)
	}
	for _, from := range slices.Sorted(maps.Keys(d.peers)) {
		for _, s := range d.peers[from].digest.Usages {
			if s.Pool == p.name {
				queued.add(s.Usage, false)
			}
		}
	}
	return queued.fairPart(d.weight)
}

// sum is the waiting work of a customer.
type sum struct {
	customer   string
	own, total float64
}

// sums is ordered by first mention, so that additions are always done in the
// same order.
type sums struct {
	list  []sum
	index map[string]int
}

func (s *sums) add(service sycqueue.Usage, own bool) {
	if service.Queued <= 0 {
		return
	}
	i, ok := s.index[service.Customer]
	if !ok {
		if s.index == nil {
			s.index = map[string]int{}
		}
		i = len(s.list)
		s.index[service.Customer] = i
		s.list = append(s.list, sum{customer: service.Customer})
	}
	s.list[i].total += service.Queued
	if own {
		s.list[i].own += service.Queued
	}
}

func (s *sums) fairPart(weight func(string) float64) float64 {
	weights, part := 0.0, 0.0
	for _, c := range s.list {
		w := weight(c.customer)
		weights += w
		part += w * c.own / c.total
	}
	if weights == 0 {
		return 1
	}
	return part / weights
}
