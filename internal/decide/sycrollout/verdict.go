package sycrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const (
	// confidence is the number of standard deviations of the Wilson bounds.
	confidence = 3.5
	// doubtConfidence is the like for a version to be compared side by side: that takes
	// nothing back yet, so it may come too soon.
	doubtConfidence = 2
	// trialConfidence is that of the side by side comparison, which the doubt speaks for.
	trialConfidence = 3
	// failureChance is the probability below which failures are not taken for chance.
	failureChance = 2e-5
	// failureMargin is how much higher a version's failure rate may be.
	failureMargin = 0.02
	// tailPrecision is the part of a sum below which a further term is left out.
	tailPrecision = 1e-6
	// suspectChance is the probability below which failures make a version suspect.
	suspectChance = 0.05
	// minFailures is the smallest number of failures that counts as evidence.
	minFailures = 3
	// minSuspect is the smallest number of failures for a suspicion.
	minSuspect = 2
	// referenceQuantile and slowShare define slowness: more than slowShare of a
	// version's requests take longer than the predecessor's referenceQuantile.
	referenceQuantile = 0.9
	slowShare         = 0.3
	// laterSlack is the number of buckets by which durations must be above the
	// reference where the predecessor's were counted earlier: load may have risen
	// within its class since.
	laterSlack = 3
	// minReference is the smallest number of the predecessor's requests that a
	// comparison rests on.
	minReference = 10
	// sizeSlack is the number of buckets by which first tokens must be above the
	// reference, since sizes differ within their class.
	sizeSlack = 1
	// tokenSlack is the number of buckets by which times between tokens must be above it:
	// they differ so little that a machine with less room for an engine shows in all.
	tokenSlack = 2
)

// Subject is a version under comparison.
type Subject struct {
	Version    string
	Generation uint64
}

// Verdict is the result of comparing a version with its predecessor.
type Verdict struct {
	// Failed is true only when Reason says why.
	Failed bool
	Reason string
	// Suspected is set where more of the version's requests failed than of its
	// predecessor's, over all routes, by a number that chance seldom brings.
	Suspected bool
	// Requests is the number of the version's requests that were seen.
	Requests uint64
	// Timed is the number of the version's first tokens that were compared.
	Timed uint64
	// OldRequests is the number of the predecessor's requests on all routes.
	OldRequests uint64
	// ReevaluationReason says why the version, which had all requests, is compared side by side with
	// its predecessor again; empty while it isn't.
	ReevaluationReason string
	Evidence           []sycrecord.EvidenceFields
}

// Compare judges a version against its predecessor, route by route. Requests
// are compared only with requests of the same load that had as much to compute.
func Compare(t Totals, candidate, predecessor Subject) Verdict {
	return compare(t, candidate, predecessor, measure{confidence: confidence, failures: true})
}

// measure is what versions are compared by.
type measure struct {
	// slack is how many buckets above the reference a duration counts as slow.
	slack int
	// confidence is that of the bounds on slow durations; 0 leaves them out.
	confidence float64
	// failures has failures compared.
	failures bool
}

func compare(t Totals, candidate, predecessor Subject, by measure) Verdict {
	var v Verdict
	kinds := kindsOf(t, candidate, predecessor)
	routes := map[string]bool{}
	for k, s := range kinds {
		for size := range SizeClasses {
			if s.fresh[size] != nil {
				routes[k.route] = true
			}
			if s.old[size] != nil {
				v.OldRequests += s.old[size].Requests
			}
		}
	}
	var all comparison
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		all.merge(v.judge(kinds, route, by))
	}
	v.Timed = all.totalFirst
	v.Suspected = all.failsMore(minSuspect, suspectChance)
	return v
}

// comparison gathers a route's counts over load and size classes.
type comparison struct {
	fresh, old            Counts
	slowFirst, slowNext   uint64
	totalFirst, totalNext uint64
}

// judge compares the versions on a route, and returns what it compared.
func (v *Verdict) judge(kinds map[kind]*sizes, route string, by measure) *comparison {
	var all comparison
	for load := range loadClasses {
		var byLoad comparison
		for _, imported := range []bool{false, true} {
			if s := kinds[kind{route, load, imported}]; s != nil {
				byLoad.add(s, by.slack)
			}
		}
		if byLoad.fresh.Requests > 0 {
			v.Evidence = append(v.Evidence, byLoad.evidence(route, loadName(load)))
			v.conclude(route, loadName(load), &byLoad, by)
		}
		all.merge(&byLoad)
	}
	v.Requests += all.fresh.Requests
	v.conclude(route, "any", &all, by)
	return &all
}

func (c *comparison) add(s *sizes, slack int) {
	for size := range SizeClasses {
		if s.old[size] != nil {
			c.old.add(s.old[size])
		}
		fresh := s.fresh[size]
		if fresh == nil {
			continue
		}
		c.fresh.add(fresh)
		if reference, ok := s.firstToken(size, slack); ok {
			c.slowFirst += fresh.FirstToken.above(reference)
			c.totalFirst += fresh.FirstToken.Total()
		}
		if reference, ok := s.betweenTokens(size, slack); ok {
			c.slowNext += fresh.BetweenTokens.above(reference)
			c.totalNext += fresh.BetweenTokens.Total()
		}
	}
}

func (c *comparison) merge(other *comparison) {
	c.fresh.add(&other.fresh)
	c.old.add(&other.old)
	c.slowFirst += other.slowFirst
	c.totalFirst += other.totalFirst
	c.slowNext += other.slowNext
	c.totalNext += other.totalNext
}

func (v *Verdict) conclude(route, load string, c *comparison, by measure) {
	if v.Failed {
		return
	}
	switch {
	case by.failures && c.failsMore(minFailures, failureChance):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d requests failed, against %d of %d of the predecessor",
			route, load, c.fresh.Failures, c.fresh.Requests, c.old.Failures, c.old.Requests)
	case by.slow(c.slowFirst, c.totalFirst):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d first tokens came later than 9 in 10 of the predecessor's",
			route, load, c.slowFirst, c.totalFirst)
	case by.slow(c.slowNext, c.totalNext):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d answers had longer times between tokens than 9 in 10 of the predecessor's",
			route, load, c.slowNext, c.totalNext)
	default:
		return
	}
	v.Failed = true
}

// slow reports whether too large a part of the durations was slow.
func (by measure) slow(hits, trials uint64) bool {
	return by.confidence > 0 && wilsonLow(hits, trials, by.confidence) > slowShare
}

// failsMore reports whether the version fails more often than its predecessor: at least so
// many times, and as often by chance with a probability below the given one.
func (c *comparison) failsMore(least uint64, chance float64) bool {
	if c.fresh.Failures < least {
		return false
	}
	before := 0.0
	if c.old.Requests > 0 {
		before = float64(c.old.Failures) / float64(c.old.Requests)
	}
	return binomialTail(c.fresh.Failures, c.fresh.Requests, before+failureMargin) < chance
}

// binomialTail is the probability of at least hits in a number of trials. It
// returns 1 where hits are no more than expected.
func binomialTail(hits, trials uint64, p float64) float64 {
	k, n := float64(hits), float64(trials)
	if k <= n*p {
		return 1
	}
	term := math.Exp(logChoose(n, k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	sum := 0.0
	for ; k <= n && term > sum*tailPrecision; k++ {
		sum += term
		term *= (n - k) / (k + 1) * p / (1 - p)
	}
	return sum
}

// logChoose is the logarithm of the binomial coefficient.
func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// wilsonLow is the lower Wilson bound of a proportion, so many standard deviations below; 0
// without trials.
func wilsonLow(hits, trials uint64, deviations float64) float64 {
	if trials == 0 {
		return 0
	}
	n := float64(trials)
	p := float64(hits) / n
	z2 := deviations * deviations
	spread := deviations * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (p + z2/(2*n) - spread) / (1 + z2/n)
}

func (c *comparison) evidence(route, load string) sycrecord.EvidenceFields {
	return sycrecord.EvidenceFields{
		Route:       route,
		Load:        load,
		Requests:    c.fresh.Requests,
		Failures:    c.fresh.Failures,
		OldRequests: c.old.Requests,
		OldFailures: c.old.Failures,
		P95:         sycrecord.Duration(c.fresh.FirstToken.Quantile(0.95).Round(time.Millisecond)),
		OldP95:      sycrecord.Duration(c.old.FirstToken.Quantile(0.95).Round(time.Millisecond)),
	}
}

func loadName(class int) string {
	switch class {
	case LoadLow:
		return "low"
	case LoadMiddle:
		return "middle"
	}
	return "high"
}
