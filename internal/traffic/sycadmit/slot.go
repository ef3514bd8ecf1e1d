package sycadmit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

// claimTimeout bounds the proposal of a holder record.
const claimTimeout = 5 * time.Second

// Refresh follows changes of the states and of the roster. It must be called
// on the control loop, after each change of either.
func (l *Limiter) Refresh(now time.Duration) { l.control.refresh(now) }

// Applied returns the offsets after the newest records on whose state this VM
// acts, to be reported to other VMs. It must be called on the control loop.
func (l *Limiter) Applied() (config, system uint64) { return l.control.slots.Applied() }

// restart confirms all slots anew after the VM has stood still: others may have
// claimed them. Until then nothing accrues, and what accrued before is dropped.
func (c *control) restart(now time.Duration) {
	stallsSeen.Inc()
	log.Warnf("the VM stood still; its slots are confirmed anew")
	c.limiter.options.Roster.Restart(now)
	c.slots.Restart()
	c.updateSlots(now)
}

func (c *control) refresh(now time.Duration) {
	config, system := c.limiter.options.Config(), c.limiter.options.System()
	if config != c.config || system != c.system {
		c.config, c.system = config, system
		c.applied.reach(config.Next(), now)
		c.holdings = sycslot.Holdings(config, system)
		c.expect()
		c.setLimits(now)
	}
	c.updateSlots(now)
	c.updatePeers(now)
}

// expect puts the VMs that hold slots of the own failure domain on the roster.
func (c *control) expect() {
	self := c.limiter.options.Self
	var vms []sycmember.VM
	for _, h := range c.holdings {
		if h.FailureDomain == self.FailureDomain {
			vms = append(vms, sycmember.VM{Address: h.Address, FailureDomain: h.FailureDomain})
		}
	}
	c.limiter.options.Roster.Expect(vms)
}

// setLimits brings the customers with state to their present limits.
func (c *control) setLimits(now time.Duration) {
	var names []string
	c.machine.EachCustomer(func(name string) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names {
		_, ok := c.config.Customer(name)
		c.perform(now, c.machine.SetLimit(now, name, c.limit(name), ok))
	}
}

// updateSlots lets the slots follow what is known of other VMs.
func (c *control) updateSlots(now time.Duration) {
	roster := c.limiter.options.Roster
	c.slots.Update(sycslot.View{
		Config:    c.config,
		System:    c.system,
		Peers:     reports(roster),
		GoneSince: roster.GoneSince,
		Complete:  roster.Complete(now),
		Removed:   roster.Removed(),
	})
	if c.slots.Waiting() {
		roster.Hasten(now)
	}
	c.perform(now, c.machine.SetFraction(now, c.slots.Fraction()))
}

func reports(roster *sycmember.Roster) []sycslot.Peer {
	var list []sycslot.Peer
	for _, m := range roster.Members() {
		config, system, ok := m.Reported()
		list = append(list, sycslot.Peer{
			Address:       m.VM().Address,
			FailureDomain: m.VM().FailureDomain,
			Reported:      ok,
			ConfigNext:    config,
			SystemNext:    system,
		})
	}
	return list
}

// updatePeers lets the machine borrow from the VMs that hold slots and answer.
func (c *control) updatePeers(now time.Duration) {
	peers := c.lenders(now)
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	c.perform(now, c.machine.SetPeers(now, peers))
}

func (c *control) lenders(now time.Duration) []syclimit.Peer {
	o := c.limiter.options
	live := map[string]bool{}
	for _, m := range o.Roster.Live(now) {
		live[m.VM().Address] = true
	}
	var peers []syclimit.Peer
	for _, h := range c.holdings {
		if !live[h.Address] || h.Fraction == 0 {
			continue
		}
		near := h.FailureDomain == o.Self.FailureDomain
		peers = append(peers, syclimit.Peer{Address: h.Address, SameDomain: near, Fraction: h.Fraction})
	}
	if len(peers) <= o.Settings.MaxPeers {
		return peers
	}
	slices.SortFunc(peers, func(a, b syclimit.Peer) int { return c.compare(a, b) })
	return peers[:o.Settings.MaxPeers]
}

// compare orders near VMs first, then by a ranking that differs from VM to VM.
func (c *control) compare(a, b syclimit.Peer) int {
	if a.SameDomain != b.SameDomain {
		if a.SameDomain {
			return -1
		}
		return 1
	}
	self := c.limiter.options.Self.Address
	return cmp.Compare(xxhash.Sum64String(self+a.Address), xxhash.Sum64String(self+b.Address))
}

// claim proposes holder records for slots that need a new holder.
func (l *Limiter) claim() error {
	ticker := time.NewTicker(l.options.Settings.TakeoverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case <-ticker.C:
			l.claimOnce()
		}
	}
}

func (l *Limiter) claimOnce() {
	var claim sycslot.Takeover
	found := false
	l.options.Loop.Do(func(now time.Duration) { claim, found = l.control.claim(now) })
	if !found {
		return
	}
	spec, err := json.Marshal(claim.Fields)
	if err != nil {
		log.Errorf("claim of slot %s: %v", claim.Slot, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), claimTimeout)
	defer cancel()
	result, err := l.options.Propose(ctx, sycrecord.Operation{
		Verb: sycrecord.Put, Kind: sycrecord.KindHolder, Name: claim.Slot, Expect: &claim.Expect, Spec: spec,
	})
	if err != nil {
		log.Warnf("claim of slot %s from %s failed: %v", claim.Slot, claim.Fields.Former, err)
		return
	}
	claimsMade.Inc()
	log.Infof("claimed slot %s from %s, accepted: %t", claim.Slot, claim.Fields.Former, result.Accepted())
}

// claim returns the holder record to propose now. Slots of leaving VMs are
// claimed while these still answer, so that little accrual is lost.
func (c *control) claim(now time.Duration) (sycslot.Takeover, bool) {
	c.refresh(now)
	o := c.limiter.options
	if o.Roster.Leaving(o.Self.Address) {
		return sycslot.Takeover{}, false
	}
	var near []string
	for _, m := range o.Roster.Live(now) {
		if m.VM().FailureDomain == o.Self.FailureDomain && !m.VM().Leaving {
			near = append(near, m.VM().Address)
		}
	}
	return c.slots.Takeover(now, c.config, c.system, near, func(address string) bool {
		return o.Roster.Gone(address) || o.Roster.Leaving(address)
	})
}
