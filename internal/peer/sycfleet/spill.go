package sycfleet

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

// updateSpill tells the selector how old the loads of the failure domains' endpoints are, and logs which shares
// of this VM's requests that leave for other domains have changed.
func (f *Fleet) updateSpill(now time.Duration) {
	if f.options.Selection.CrossDomainPrice <= 0 {
		return
	}
	for domain, at := range f.domainsHeardAt() {
		f.selector.ObserveDomainLoads(domain, at)
	}
	for _, c := range f.selector.TakeSpillChanges(now) {
		f.log.WithFields(logrus.Fields{
			"domain": c.Domain, "share": c.Share, "before": c.Before, "reason": string(c.Reason), "gaining": c.Gaining,
			"home": c.Home.String(), "away": c.Away.String(), "path": c.Path.String(), "age": c.Age.String(),
		}).Info("fleet: share that leaves the failure domain changed")
	}
}

// domainsHeardAt returns when the loads at each failure domain's endpoints were last heard of. They are as old as the
// latest news of any VM of the domain, since most requests at its endpoints come from these.
func (f *Fleet) domainsHeardAt() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, vm := range f.peers.vms {
		if vm.heard && !vm.leaving && vm.domain != "" {
			out[vm.domain] = max(out[vm.domain], vm.heardAt)
		}
	}
	return out
}

// measureSpill adds the share of this VM's requests that may leave for each other failure domain.
func (f *Fleet) measureSpill(out map[string]float64) {
	for domain, share := range f.selector.SpillShares() {
		out[fmt.Sprintf(`cross_domain_share{domain=%q}`, domain)] = share
	}
}
