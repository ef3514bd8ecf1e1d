package sycspill

import (
	"math"
	"time"
)

const (
	// adaptPeriod is the shortest time between two changes of a share. Loads that are up to 500 ms old show the
	// effect of a change within two periods.
	adaptPeriod = 300 * time.Millisecond
	// minCounted is how many requests a change needs. Without as many the share falls after idlePeriod.
	minCounted = 4
	idlePeriod = 4 * time.Second
	// A share rises if at least riseAbove of the requests gain by leaving, and falls if at most fallBelow do.
	// The gap between the two keeps VMs that decide at the same time from oscillating.
	riseAbove = 0.75
	fallBelow = 0.35
	// gainingWeight is the weight of a period in the fractions of requests that gain and that leave. A share so
	// needs three periods of gains to rise from 0: a short burst at home moves nothing.
	gainingWeight = 0.4
	// Between the two the share approaches headroom times what leaves, by unusedStep of the difference a period, if it is
	// above that. So it stays near what is needed when a burst comes.
	headroom   = 1.3
	unusedStep = 0.15
	// A share rises by riseFactor, at least by riseStep, and falls by fallFactor. Below minShare it is 0.
	riseFactor = 1.25
	riseStep   = 0.04
	fallFactor = 0.8
	minShare   = 0.02
	// maxCredit is how many requests may leave for a domain at once.
	maxCredit = 2
	// noticeable is the change of a share that is reported.
	noticeable = 0.1
	// costWeight is the weight of a request in the average costs of a report.
	costWeight = 0.1
)

// Reason says why a share changed.
type Reason string

// Reasons of changes.
const (
	// Gain means that most requests gain by leaving.
	Gain Reason = "gain"
	// NoGain means that few requests gain by leaving.
	NoGain Reason = "no_gain"
	// Unused means that fewer requests leave than may.
	Unused Reason = "unused"
	// Idle means that there are too few requests to tell.
	Idle Reason = "idle"
	// Stale means that the loads of the domain's endpoints are out of date.
	Stale Reason = "stale"
	// Unreachable means that the domain's endpoints can't be reached.
	Unreachable Reason = "unreachable"
	// Congested means that the path time has grown.
	Congested Reason = "congested"
)

// Change is a noticeable change of the share of an away domain.
type Change struct {
	// Domain is the failure domain.
	Domain string
	// Share is its new share and Before the one that was last reported, from 0 to 1.
	Share, Before float64
	Reason        Reason
	// Gaining is the moving average of the fraction of requests that would gain by leaving.
	Gaining float64
	// Home and Away are the average costs of a request at home and there, with the price.
	Home, Away time.Duration
	// Path is the domain's path time.
	Path time.Duration
	// Age is the age of the loads of its endpoints.
	Age time.Duration
}

// domain is what is known of a failure domain.
type domain struct {
	name string
	path path
	// heardAt is when the loads of its endpoints were last heard of.
	heardAt time.Duration
	// share is the fraction of this VM's requests that may go there, from 0 to 1, and reason why it last changed.
	share  float64
	reason Reason
	// credit is how many requests may go there now, at most maxCredit.
	credit float64
	// counted is the number of requests since adaptedAt, gained how many of them would gain there, and left how
	// many have left for it.
	counted, gained, left int
	adaptedAt             time.Duration
	// gaining is the moving average over periods of the fraction of requests that would gain there, and used of the
	// fraction that has left for it.
	gaining, used float64
	// homeCost and cost are the average costs of a request at home and there.
	homeCost, cost time.Duration
	// reported is the share that was last reported.
	reported float64
}

// closed returns why no request with an option at home may go to the domain, empty if it may.
func (d *domain) closed(now time.Duration) Reason {
	switch {
	case now-d.heardAt > staleAfter:
		return Stale
	case now < d.path.closedUntil:
		return d.path.reason
	default:
		return ""
	}
}

// count counts a request, its costs at home and there, and whether it would gain there.
func (d *domain) count(gains bool, home, away time.Duration) {
	d.counted++
	if gains {
		d.gained++
	}
	d.credit = min(d.credit+d.share, maxCredit)
	d.homeCost += time.Duration(costWeight * float64(home-d.homeCost))
	d.cost += time.Duration(costWeight * float64(away-d.cost))
}

// spend charges a request to the share.
func (d *domain) spend() {
	d.credit = max(d.credit-1, 0)
	d.left++
}

// adapt changes the domain's share if that is due. The shares of all domains are at most 1 together.
func (s *Spill) adapt(now time.Duration, d *domain) {
	if why := d.closed(now); why != "" {
		d.reset(now, why)
		return
	}
	elapsed := now - d.adaptedAt
	if elapsed < adaptPeriod || d.counted < minCounted && elapsed < idlePeriod {
		return
	}
	if d.counted < minCounted {
		d.fall(Idle)
	} else {
		d.gaining += gainingWeight * (float64(d.gained)/float64(d.counted) - d.gaining)
		d.used += gainingWeight * (float64(d.left)/float64(d.counted) - d.used)
		d.move(1 - s.total() + d.share)
	}
	d.counted, d.gained, d.left, d.adaptedAt = 0, 0, 0, now
}

// total returns the sum of all shares.
func (s *Spill) total() float64 {
	total := 0.0
	for _, d := range s.domains {
		total += d.share
	}
	return total
}

// move changes the share by the fraction of requests that gain, up to a limit.
func (d *domain) move(limit float64) {
	switch {
	case d.gaining >= riseAbove:
		d.share, d.reason = min(max(d.share*riseFactor, d.share+riseStep), limit), Gain
	case d.gaining <= fallBelow:
		d.fall(NoGain)
	case d.share > headroom*d.used:
		d.share, d.reason = d.share-unusedStep*(d.share-headroom*d.used), Unused
	}
}

// fall lowers the share.
func (d *domain) fall(why Reason) {
	if d.share == 0 {
		return
	}
	d.share, d.reason = d.share*fallFactor, why
	if d.share < minShare {
		d.share, d.credit = 0, 0
	}
}

// reset sets the share of a closed domain to 0.
func (d *domain) reset(now time.Duration, why Reason) {
	if d.share > 0 {
		d.reason = why
	}
	d.share, d.credit, d.gaining, d.used = 0, 0, 0, 0
	d.counted, d.gained, d.left, d.adaptedAt = 0, 0, 0, now
}

// Shares returns the share of each away domain, by domain.
func (s *Spill) Shares() map[string]float64 {
	out := map[string]float64{}
	for _, d := range s.domains {
		if d.name != s.home {
			out[d.name] = d.share
		}
	}
	return out
}

// TakeChanges adapts the shares that are due and returns those that have changed noticeably since they were last
// returned, or have become or ceased to be 0, ordered by domain.
func (s *Spill) TakeChanges(now time.Duration) []Change {
	var out []Change
	for _, d := range s.domains {
		if d.name == s.home {
			continue
		}
		s.adapt(now, d)
		if math.Abs(d.share-d.reported) < noticeable && (d.share > 0) == (d.reported > 0) {
			continue
		}
		out = append(out, Change{
			Domain: d.name, Share: d.share, Before: d.reported, Reason: d.reason, Gaining: d.gaining,
			Home: d.homeCost, Away: d.cost, Path: s.pathTime(now, d), Age: now - d.heardAt,
		})
		d.reported = d.share
	}
	return out
}
