package sycfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycreplica"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

// countLimitChange counts a change of an endpoint's limit. Source is "answer" or "vm".
func countLimitChange(source string, change sycthrottle.Change) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_limit_changes_total{source=%q,change=%q}`, source, change)).Inc()
}

// noteLimitNews logs news of an endpoint's limit from an answer, and tells the other VMs at once. Line has the
// fields of the answer.
func (f *Fleet) noteLimitNews(now time.Duration, line *logrus.Entry, news sycplace.Notice) {
	if news.UnreadLimit != "" {
		line.WithField("limit", fmt.Sprintf("%.40q", news.UnreadLimit)).Warn("fleet: endpoint's limit can't be read")
	}
	switch {
	case news.Limit > 0:
		countLimitChange("answer", sycthrottle.Named)
		line.WithField("limit", news.Limit).Info("fleet: endpoint names a limit")
	case news.Unlimited:
		countLimitChange("answer", sycthrottle.Lifted)
		line.Info("fleet: endpoint lifts its limit")
	default:
		return
	}
	f.updateLimits(now)
	f.kick()
}

// updateLimits brings the VMs that share endpoints' limits up to date, if there are any limits or may be.
func (f *Fleet) updateLimits(now time.Duration) {
	limited := f.selector.CountLimited() > 0
	f.limited.Store(limited)
	if !limited && (!f.selector.HasColdLimits() || !f.knowsVMs()) {
		return
	}
	var vms []sycthrottle.VM
	if !f.leaving.Load() {
		vms = append(vms, sycthrottle.VM{
			Address: f.options.Address, FailureDomain: f.options.FailureDomain, Capacity: f.options.Capacity, Runs: true,
		})
	}
	for address, vm := range f.peers.vms {
		if !vm.leaving {
			vms = append(vms, sycthrottle.VM{Address: address, FailureDomain: vm.domain, Capacity: vm.capacity, Runs: vm.runs(now)})
		}
	}
	slices.SortFunc(vms, sycthrottle.CompareVMs)
	if !slices.Equal(vms, f.limitVMs) {
		f.limitVMs = vms
		f.selector.SetVMs(now, vms)
	}
}

// knowsVMs reports whether this VM has got the records of the VMs, from the log or from another VM. Before, it may take itself for
// the only VM, whose part of what a cold endpoint tolerates would be all of it.
func (f *Fleet) knowsVMs() bool { return f.subscriptions[TopicVMs].Next() != sycfeed.Position{} }

// publishLimits records what this VM has learned of endpoints' limits and has sent under them. It is told until the
// endpoint is gone, also that a limit has been lifted: a VM that was cut off may still believe in it.
func (f *Fleet) publishLimits() {
	for _, r := range f.selector.TakeLimitReports() {
		message := encodeLimit(r)
		message.Version = f.changes.version()
		f.changes.SetOwn(changeKey{process: f.changes.process, kind: limitChange, name: r.Endpoint}, message, 0)
	}
}

// receiveLimits applies what another VM's process tells of endpoints' limits.
func (f *Fleet) receiveLimits(now time.Duration, source, address string, p process, in []*sycgossippb.EndpointLimit) {
	for _, m := range in {
		if !f.applyChange(source, p, limitChange, m.Endpoint, m.Version, m, 0) {
			continue
		}
		change := f.selector.ReceiveLimit(now, address, f.peers.vms[address].incarnation, decodeLimit(m))
		if change == sycthrottle.Unchanged {
			continue
		}
		countLimitChange("vm", change)
		f.log.WithFields(logrus.Fields{
			"endpoint": m.Endpoint, "incarnation": m.Born, "limit": m.Rate, "number": m.Number, "vm": address, "change": string(change),
		}).Info("fleet: endpoint's limit told by another VM")
		f.updateLimits(now)
	}
}

// dropLimits forgets what VMs tell of the limit of an endpoint that is gone.
func (f *Fleet) dropLimits(endpoint string) {
	f.changes.DropIf(func(e *sycreplica.Entry[changeKey, change]) bool {
		return e.Key.kind == limitChange && e.Key.name == endpoint
	})
}

// Withdraw cancels what an attempt was charged to its endpoint's limit, since it won't be sent.
func (f *Fleet) Withdraw(id uint64) {
	f.loop.Post(func(time.Duration) { f.selector.Withdraw(id) })
}
