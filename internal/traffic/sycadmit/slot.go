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

// takeoverTimeout limits the time that the proposal of a takeover may take.
const takeoverTimeout = 5 * time.Second

// Refresh applies changes of the config and system states and of the roster. It must be
// called on the control loop after each such change.
func (l *Limiter) Refresh(now time.Duration) { l.control.refresh(now) }

// Applied returns the offsets after the last records of the config and system streams that
// the rate slots of this VM have applied, to be reported to other VMs. It must be called
// on the control loop.
func (l *Limiter) Applied() (config, system uint64) { return l.control.slots.Applied() }

// restartSlots stops all rate slots after a process pause, since other VMs may have taken
// them over. Permits that accrued before are dropped, and no permits accrue until the other
// VMs have confirmed the slots again.
func (c *control) restartSlots(now time.Duration) {
	pauses.Inc()
	log.Warnf("the process was paused; its rate slots stop until other VMs confirm them")
	c.limiter.options.Roster.ResetAfterPause(now)
	c.slots.Restart()
	c.updateSlots(now)
}

// refresh applies the newest states and the roster to the limits, slots and peers.
func (c *control) refresh(now time.Duration) {
	config, system := c.limiter.options.Config(), c.limiter.options.System()
	if config != c.config || system != c.system {
		c.config, c.system = config, system
		c.applied.record(config.Next(), now)
		c.holdings = sycslot.Holdings(config, system)
		c.expectHolders()
		c.setLimits(now)
	}
	c.updateSlots(now)
	c.updatePeers(now)
}

// expectHolders puts the VMs that hold slots of the own failure domain on the roster, where
// they stay also when they are gone.
func (c *control) expectHolders() {
	self := c.limiter.options.Self
	var vms []sycmember.VM
	for _, h := range c.holdings {
		if h.FailureDomain == self.FailureDomain {
			vms = append(vms, sycmember.VM{Address: h.Address, FailureDomain: h.FailureDomain})
		}
	}
	c.limiter.options.Roster.Expect(vms)
}

// setLimits sets the limit of each customer with state to that of its present record.
func (c *control) setLimits(now time.Duration) {
	var names []string
	c.machine.EachCustomer(func(name string) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names {
		_, ok := c.config.Customer(name)
		c.perform(now, c.machine.SetLimit(now, name, c.limit(name), ok))
	}
}

// updateSlots starts and stops rate slots by the states and the reports of other VMs, and
// sets the fraction that this VM accrues.
func (c *control) updateSlots(now time.Duration) {
	roster := c.limiter.options.Roster
	c.slots.Update(sycslot.View{
		Config:    c.config,
		System:    c.system,
		Peers:     peerReports(roster),
		GoneSince: roster.GoneSince,
		Complete:  roster.Complete(now),
		Removed:   roster.Removed(),
	})
	if c.slots.Waiting() {
		roster.HastenIntroductions(now)
	}
	c.perform(now, c.machine.SetFraction(now, c.slots.Fraction()))
}

// peerReports returns the offsets that the other VMs last reported.
func peerReports(roster *sycmember.Roster) []sycslot.Peer {
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

// updatePeers sets the VMs from which the machine may borrow.
func (c *control) updatePeers(now time.Duration) {
	peers := c.lenders(now)
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	c.perform(now, c.machine.SetPeers(now, peers))
}

// lenders returns at most MaxPeers VMs that hold slots and have reported lately.
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
		same := h.FailureDomain == o.Self.FailureDomain
		peers = append(peers, syclimit.Peer{Address: h.Address, SameDomain: same, Fraction: h.Fraction})
	}
	if len(peers) <= o.Settings.MaxPeers {
		return peers
	}
	slices.SortFunc(peers, func(a, b syclimit.Peer) int { return c.comparePeers(a, b) })
	return peers[:o.Settings.MaxPeers]
}

// comparePeers orders VMs of the own failure domain first, then by a hash that includes
// this VM's address, so that VMs borrow from different peers.
func (c *control) comparePeers(a, b syclimit.Peer) int {
	if a.SameDomain != b.SameDomain {
		if a.SameDomain {
			return -1
		}
		return 1
	}
	self := c.limiter.options.Self.Address
	return cmp.Compare(xxhash.Sum64String(self+a.Address), xxhash.Sum64String(self+b.Address))
}

// runTakeovers checks once per TakeoverPeriod for a rate slot to take over.
func (l *Limiter) runTakeovers() error {
	ticker := time.NewTicker(l.options.Settings.TakeoverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case <-ticker.C:
			l.takeOver()
		}
	}
}

// takeOver proposes the holder record of the next takeover, if there is any.
func (l *Limiter) takeOver() {
	var takeover sycslot.Takeover
	found := false
	l.options.Loop.Do(func(now time.Duration) { takeover, found = l.control.takeover(now) })
	if !found {
		return
	}
	spec, err := json.Marshal(takeover.Fields)
	if err != nil {
		log.Errorf("takeover of slot %s: %v", takeover.Slot, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), takeoverTimeout)
	defer cancel()
	result, err := l.options.Propose(ctx, sycrecord.Operation{
		Verb: sycrecord.Put, Kind: sycrecord.KindHolder, Name: takeover.Slot, Expect: &takeover.Expect, Spec: spec,
	})
	if err != nil {
		log.Warnf("takeover of slot %s from %s failed: %v", takeover.Slot, takeover.Fields.Former, err)
		return
	}
	takeovers.Inc()
	log.Infof("proposed the takeover of slot %s from %s, accepted: %t", takeover.Slot, takeover.Fields.Former, result.Accepted())
}

// takeover returns the next takeover to propose, if there is any. The slots of a leaving VM
// are taken over while it still runs, so that few permits go unaccrued.
func (c *control) takeover(now time.Duration) (sycslot.Takeover, bool) {
	c.refresh(now)
	o := c.limiter.options
	if o.Roster.Leaving(o.Self.Address) {
		return sycslot.Takeover{}, false
	}
	var live []string
	for _, m := range o.Roster.Live(now) {
		if m.VM().FailureDomain == o.Self.FailureDomain && !m.VM().Leaving {
			live = append(live, m.VM().Address)
		}
	}
	return c.slots.Takeover(now, c.config, c.system, live, func(address string) bool {
		return o.Roster.Gone(address) || o.Roster.Leaving(address)
	})
}
