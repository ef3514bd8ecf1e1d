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

// news is what this VM has to tell the others of its failure domain.
type news struct {
	// reports holds the newest untold report of each engine; until it is told,
	// its age is the time on the control loop at which the poll began.
	reports   map[string]*sycpeerpb.LoadReport
	unreached map[string]bool
	// told holds the constants of the reports that were told last.
	told map[string]uint64
}

func newNews() news {
	return news{
		reports:   map[string]*sycpeerpb.LoadReport{},
		unreached: map[string]bool{},
		told:      map[string]uint64{},
	}
}

// add notes a report that was polled at a time on the control loop.
func (n *news) add(name string, polled time.Duration, asOf time.Time, r sycdispatch.Report) {
	n.reports[name] = &sycpeerpb.LoadReport{
		Endpoint:      name,
		Incarnation:   r.Incarnation,
		AsOfUnixNano:  asOf.UnixNano(),
		AgeNano:       int64(polled),
		Running:       uint32(max(r.Running, 0)),
		Waiting:       uint32(max(r.Waiting, 0)),
		PrefillTokens: uint32(max(r.PrefillTokens, 0)),
		CacheBlocks:   uint32(max(r.CacheBlocks, 0)),
		UsedBlocks:    uint32(max(r.UsedBlocks, 0)),
		Constant:      constantOf(r),
		Ready:         readyOut(r.Ready),
		Role:          r.Role,
	}
	delete(n.unreached, name)
}

// shorten leaves out what was told before.
func (n *news) shorten(r *sycpeerpb.LoadReport) {
	if n.told[r.GetEndpoint()] == r.GetConstant() {
		r.Incarnation = ""
		r.CacheBlocks = 0
		r.Ready = nil
		r.Role = ""
		return
	}
	n.told[r.GetEndpoint()] = r.GetConstant()
}

// constantOf identifies the parts of a report that seldom change.
func constantOf(r sycdispatch.Report) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %d %q %q", r.Incarnation, r.CacheBlocks, r.Ready, r.Role)
	return h.Sum64()
}

// warn notes that an engine could not be reached.
func (n *news) warn(name string) {
	n.unreached[name] = true
	delete(n.reports, name)
}

// TakeReports returns what this VM tells the others of its failure domain: the
// reports of its own polls since the last call, and the engines that it has
// failed to reach. It must be called on the loop.
func (f *Feed) TakeReports(now time.Duration) (reports []*sycpeerpb.LoadReport, unreached []string) {
	for _, name := range slices.Sorted(maps.Keys(f.news.reports)) {
		report := f.news.reports[name]
		report.AgeNano = int64(now) - report.AgeNano
		f.news.shorten(report)
		reports = append(reports, report)
	}
	unreached = slices.Sorted(maps.Keys(f.news.unreached))
	clear(f.news.reports)
	clear(f.news.unreached)
	return reports, unreached
}

// ApplyReports takes what another VM of the failure domain told. It must be called
// on the loop.
func (f *Feed) ApplyReports(now time.Duration, reports []*sycpeerpb.LoadReport, unreached []string) {
	for _, r := range reports {
		f.hear(now, r)
	}
	for _, name := range unreached {
		f.plan.Warned(name)
	}
	if len(unreached) > 0 {
		f.wakeUp()
	}
}

func (f *Feed) hear(now time.Duration, in *sycpeerpb.LoadReport) {
	name := in.GetEndpoint()
	report, ok := f.complete(in)
	if !ok {
		f.doubt(name)
		return
	}
	asOf := time.Unix(0, in.GetAsOfUnixNano())
	byClock := ageOf(asOf, time.Now())
	// A message that was held up on its way shows by the clock.
	age := max(time.Duration(in.GetAgeNano()), byClock)
	if !f.plan.Heard(now, name, age, planned(report, asOf)) {
		return
	}
	relayed.Inc()
	f.newest[name] = report
	if !f.options.Sink.Relayed(now, name, byClock, report) {
		f.doubt(name)
	}
}

// doubt has an engine polled by this VM itself at once; it must be called on
// the loop.
func (f *Feed) doubt(name string) {
	f.plan.Doubt(name)
	f.wakeUp()
}

// complete adds what the sender left out; false when this VM doesn't know it.
func (f *Feed) complete(in *sycpeerpb.LoadReport) (sycdispatch.Report, bool) {
	r := sycdispatch.Report{
		Incarnation:   in.GetIncarnation(),
		Running:       int(in.GetRunning()),
		Waiting:       int(in.GetWaiting()),
		PrefillTokens: int(in.GetPrefillTokens()),
		CacheBlocks:   int(in.GetCacheBlocks()),
		UsedBlocks:    int(in.GetUsedBlocks()),
		Ready:         readyIn(in.GetReady()),
		Role:          in.GetRole(),
	}
	if r.Incarnation == "" {
		known := f.newest[in.GetEndpoint()]
		r.Incarnation = known.Incarnation
		r.CacheBlocks = known.CacheBlocks
		r.Ready = known.Ready
		r.Role = known.Role
	}
	return r, constantOf(r) == in.GetConstant()
}

func readyOut(list []sycdispatch.Loaded) (out []*sycpeerpb.ReadyWeights) {
	for _, l := range list {
		out = append(out, &sycpeerpb.ReadyWeights{Model: l.Model, Weights: l.Weights, Adapter: l.Adapter})
	}
	return out
}

func readyIn(list []*sycpeerpb.ReadyWeights) (in []sycdispatch.Loaded) {
	for _, l := range list {
		in = append(in, sycdispatch.Loaded{Model: l.GetModel(), Weights: l.GetWeights(), Adapter: l.GetAdapter()})
	}
	return in
}
