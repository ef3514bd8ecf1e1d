package sycdispatch

import (
	"maps"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
)

const (
	// maxDigestAge is the age above which another VM's digest is dropped.
	maxDigestAge = 2 * time.Second
	// maxHotPrefixes is the number of hot prefixes in a digest. It is unused:
	// digests hold no hot prefixes.
	maxHotPrefixes = 16
	// maxChargeTime limits how far behind the other customers of a queue a customer
	// can be put by the charges for work that other VMs did for it: by the work
	// that the pool does at this VM in this time.
	maxChargeTime = 2 * time.Second
	// minChargeLimit is the least value of this limit, in prompt tokens. It applies
	// while the pool's rate is unknown or low.
	minChargeLimit = 20_000
)

// EndpointLoad is the load that one VM has put on an endpoint.
type EndpointLoad struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Requests is the number of the VM's requests at the endpoint.
	Requests int
	// Prefill is the number of prompt tokens that the endpoint still has to compute
	// for these requests.
	Prefill int
	// Computing lists the VM's running prefills of at least minAnnouncedBlocks
	// blocks at the endpoint.
	Computing []RunningPrefill
}

// PoolUsage is a customer's usage of a pool at one VM.
type PoolUsage struct {
	// Pool is the pool's name.
	Pool string
	sycqueue.Usage
}

// Digest is a VM's load on endpoints and its customers' usage of pools. VMs of a
// failure domain send it to each other regularly.
type Digest struct {
	// Loads lists the load on each endpoint at which the VM has requests.
	Loads []EndpointLoad
	// Usages lists the usage of each customer in each pool.
	Usages []PoolUsage
}

// peer holds the last digest received from another VM, and when.
type peer struct {
	// at is when the digest was received.
	at time.Duration
	// digest is the last digest received from the VM.
	digest Digest
}

// Digest returns this VM's digest.
func (d *Dispatcher[P]) Digest(now time.Duration) Digest {
	var out Digest
	for _, e := range d.byName {
		if l := e.ownLoad(now); l.requests > 0 {
			out.Loads = append(out.Loads, EndpointLoad{
				Endpoint:  e.record.Name(),
				Requests:  l.requests,
				Prefill:   l.prefillTokens,
				Computing: e.announcedPrefills(now),
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

// ApplyDigest applies the digest of another VM. from is the name of that VM's process.
func (d *Dispatcher[P]) ApplyDigest(now time.Duration, from string, in Digest) {
	before := d.peers[from]
	after := &peer{at: now, digest: in}
	d.peers[from] = after
	if before != nil {
		d.chargePeerWork(before.digest, in)
		d.addPeerLoads(now, from, before, -1)
	}
	d.addPeerLoads(now, from, after, 1)
	d.dispatchAll(now)
}

// chargePeerWork charges customers for the work that another VM has started for them
// between two of its digests.
func (d *Dispatcher[P]) chargePeerWork(before, after Digest) {
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
		limit := max(p.rate*maxChargeTime.Seconds(), minChargeLimit)
		p.queue.Charge(s.Customer, d.weight(s.Customer), work, limit)
	}
}

// expireDigests drops the digests of VMs that have sent none for maxDigestAge.
func (d *Dispatcher[P]) expireDigests(now time.Duration) {
	for from, p := range d.peers {
		if now-p.at > maxDigestAge {
			d.addPeerLoads(now, from, p, -1)
			delete(d.peers, from)
		}
	}
}

// addPeerLoads adds a digest's loads to the endpoints' peer loads if sign is 1, and
// subtracts them if it is -1.
func (d *Dispatcher[P]) addPeerLoads(now time.Duration, from string, p *peer, sign int) {
	for _, l := range p.digest.Loads {
		e := d.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		e.peerLoad.requests = max(e.peerLoad.requests+sign*l.Requests, 0)
		e.peerLoad.prefillTokens = max(e.peerLoad.prefillTokens+sign*l.Prefill, 0)
		if sign > 0 {
			e.addPeerPrefills(from, p.at, l.Computing)
		} else {
			e.removePeerPrefills(from, l.Computing)
		}
		e.recordLoad(now)
	}
}

// Urgent reports whether this VM has started a long prefill since the last call, so
// that its digest should be sent at once.
func (d *Dispatcher[P]) Urgent() bool {
	urgent := d.digestUrgent
	d.digestUrgent = false
	return urgent
}

// fairFraction returns the fraction of the pool's endpoints that this VM's waiting
// requests may use. Each waiting customer has a fair share by its weight, which is
// divided among the VMs in proportion to the customer's waiting work.
func (d *Dispatcher[P]) fairFraction(p *pool) float64 {
	var queued queuedWorkByCustomer
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
	return queued.fairFraction(d.weight)
}

// queuedWork is the waiting work of one customer in a pool, in prompt tokens.
type queuedWork struct {
	// customer is the customer's name.
	customer string
	// own is the work that waits at this VM, and total the work that waits at all
	// VMs.
	own, total float64
}

// queuedWorkByCustomer sums the waiting work of each customer. The list is in the
// order in which customers were added, so that floating-point sums are always added
// in the same order.
type queuedWorkByCustomer struct {
	// list has one element per customer.
	list []queuedWork
	// index holds each customer's index in list.
	index map[string]int
}

// add adds a customer's waiting work. own is true for work at this VM.
func (s *queuedWorkByCustomer) add(usage sycqueue.Usage, own bool) {
	if usage.Queued <= 0 {
		return
	}
	i, ok := s.index[usage.Customer]
	if !ok {
		if s.index == nil {
			s.index = map[string]int{}
		}
		i = len(s.list)
		s.index[usage.Customer] = i
		s.list = append(s.list, queuedWork{customer: usage.Customer})
	}
	s.list[i].total += usage.Queued
	if own {
		s.list[i].own += usage.Queued
	}
}

// fairFraction returns this VM's fraction of the waiting work, averaged over the
// customers by weight. It is 1 if nothing waits.
func (s *queuedWorkByCustomer) fairFraction(weight func(string) float64) float64 {
	weights, fraction := 0.0, 0.0
	for _, c := range s.list {
		w := weight(c.customer)
		weights += w
		fraction += w * c.own / c.total
	}
	if weights == 0 {
		return 1
	}
	return fraction / weights
}
