package sycfeed

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// outbox holds what this VM will send to the other VMs of its failure domain.
type outbox struct {
	// reports holds the newest unsent load report of each engine. Until TakeReports returns
	// a report, its AgeNano is the time on the control loop at which the poll began.
	reports map[string]*sycpeerpb.LoadReport
	// unreached holds the engines that this VM failed to reach.
	unreached map[string]bool
	// sentStatic holds the hash of the static fields in each engine's last sent report. The
	// static fields of a report are those that seldom change, see hashStatic.
	sentStatic map[string]uint64
}

// newOutbox returns an empty outbox.
func newOutbox() outbox {
	return outbox{
		reports:    map[string]*sycpeerpb.LoadReport{},
		unreached:  map[string]bool{},
		sentStatic: map[string]uint64{},
	}
}

// add replaces an engine's unsent load report. polled is the time on the control loop at
// which the poll began, asOf the engine's time of the report.
func (o *outbox) add(name string, polled time.Duration, asOf time.Time, r sycdispatch.Report) {
	o.reports[name] = &sycpeerpb.LoadReport{
		Endpoint:      name,
		Incarnation:   r.Incarnation,
		AsOfUnixNano:  asOf.UnixNano(),
		AgeNano:       int64(polled),
		Running:       uint32(max(r.Running, 0)),
		Waiting:       uint32(max(r.Waiting, 0)),
		PrefillTokens: uint32(max(r.PrefillTokens, 0)),
		CacheBlocks:   uint32(max(r.CacheBlocks, 0)),
		UsedBlocks:    uint32(max(r.UsedBlocks, 0)),
		Constant:      hashStatic(r),
		Ready:         encodeReady(r.Ready),
		Role:          r.Role,
	}
	delete(o.unreached, name)
}

// omitStatic removes the static fields from a report if they are the same as in the last sent
// report of the engine.
func (o *outbox) omitStatic(r *sycpeerpb.LoadReport) {
	if o.sentStatic[r.GetEndpoint()] == r.GetConstant() {
		r.Incarnation = ""
		r.CacheBlocks = 0
		r.Ready = nil
		r.Role = ""
		return
	}
	o.sentStatic[r.GetEndpoint()] = r.GetConstant()
}

// hashStatic returns a hash of the static fields of a report: the incarnation, the size of
// the cache, the ready weights and the role.
func hashStatic(r sycdispatch.Report) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %d %q %q", r.Incarnation, r.CacheBlocks, r.Ready, r.Role)
	return h.Sum64()
}

// addUnreached records that this VM failed to reach an engine, and drops its unsent report.
func (o *outbox) addUnreached(name string) {
	o.unreached[name] = true
	delete(o.reports, name)
}

// TakeReports returns what this VM sends to the other VMs of its failure domain: the load
// reports that it polled since the last call, and the names of the engines that it failed to
// reach since then. It must be called on the loop.
func (f *Feed) TakeReports(now time.Duration) (reports []*sycpeerpb.LoadReport, unreached []string) {
	for _, name := range slices.Sorted(maps.Keys(f.outbox.reports)) {
		report := f.outbox.reports[name]
		report.AgeNano = int64(now) - report.AgeNano
		f.outbox.omitStatic(report)
		reports = append(reports, report)
	}
	unreached = slices.Sorted(maps.Keys(f.outbox.unreached))
	clear(f.outbox.reports)
	clear(f.outbox.unreached)
	return reports, unreached
}

// ApplyReports applies what another VM of the failure domain sent: the load reports that it
// polled, and the engines that it failed to reach, which this VM then polls itself. It must
// be called on the loop.
func (f *Feed) ApplyReports(now time.Duration, reports []*sycpeerpb.LoadReport, unreached []string) {
	for _, r := range reports {
		f.applyReport(now, r)
	}
	for _, name := range unreached {
		f.plan.ApplyWarning(name)
	}
	if len(unreached) > 0 {
		f.wakeUp()
	}
}

// applyReport applies another VM's load report. If the report has static fields that this VM
// doesn't know, or the Sink ignores it, this VM polls the engine itself.
func (f *Feed) applyReport(now time.Duration, in *sycpeerpb.LoadReport) {
	name := in.GetEndpoint()
	report, ok := f.decodeReport(in)
	if !ok {
		f.pollNow(name)
		return
	}
	asOf := time.Unix(0, in.GetAsOfUnixNano())
	byClock := ageOf(asOf, time.Now())
	// The sender's AgeNano doesn't include a delay of the message on its way. The clocks
	// show such a delay.
	age := max(time.Duration(in.GetAgeNano()), byClock)
	if !f.plan.ApplyReport(now, name, age, planReport(report, asOf)) {
		return
	}
	relayed.Inc()
	f.newest[name] = report
	if !f.options.Sink.Relayed(now, name, byClock, report) {
		f.pollNow(name)
	}
}

// pollNow has this VM poll an engine itself at once. It must be called on the loop.
func (f *Feed) pollNow(name string) {
	f.plan.PollSoon(name)
	f.wakeUp()
}

// decodeReport converts a report from its wire form. Static fields that the sender omitted
// are taken from the newest report of the engine. It returns false if these differ from the
// sender's.
func (f *Feed) decodeReport(in *sycpeerpb.LoadReport) (sycdispatch.Report, bool) {
	r := sycdispatch.Report{
		Incarnation:   in.GetIncarnation(),
		Running:       int(in.GetRunning()),
		Waiting:       int(in.GetWaiting()),
		PrefillTokens: int(in.GetPrefillTokens()),
		CacheBlocks:   int(in.GetCacheBlocks()),
		UsedBlocks:    int(in.GetUsedBlocks()),
		Ready:         decodeReady(in.GetReady()),
		Role:          in.GetRole(),
	}
	if r.Incarnation == "" {
		newest := f.newest[in.GetEndpoint()]
		r.Incarnation = newest.Incarnation
		r.CacheBlocks = newest.CacheBlocks
		r.Ready = newest.Ready
		r.Role = newest.Role
	}
	return r, hashStatic(r) == in.GetConstant()
}

// encodeReady converts ready weights to their wire form.
func encodeReady(list []sycdispatch.Loaded) (out []*sycpeerpb.ReadyWeights) {
	for _, l := range list {
		out = append(out, &sycpeerpb.ReadyWeights{Model: l.Model, Weights: l.Weights, Adapter: l.Adapter})
	}
	return out
}

// decodeReady converts ready weights from their wire form.
func decodeReady(list []*sycpeerpb.ReadyWeights) (in []sycdispatch.Loaded) {
	for _, l := range list {
		in = append(in, sycdispatch.Loaded{Model: l.GetModel(), Weights: l.GetWeights(), Adapter: l.GetAdapter()})
	}
	return in
}
