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
	// failedDeviations decides when too many slow durations make a version fail: it is
	// how many standard deviations below the observed part of slow durations the Wilson
	// bound is taken. The Wilson bound is a confidence bound of a proportion.
	failedDeviations = 3.5
	// suspectedDeviations takes the place of failedDeviations for suspecting a version
	// at the traffic share 1. It may be reached by chance, since a re-evaluation
	// doesn't roll the version back.
	suspectedDeviations = 2
	// newestDeviations takes the place of suspectedDeviations for newestWindow, which has so
	// few durations that two slow ones would reach that.
	newestDeviations = 3
	// reevaluationDeviations takes the place of failedDeviations in a re-evaluation. It
	// is lower, since the suspicion before the re-evaluation is evidence too.
	reevaluationDeviations = 3
	// failureChance is the probability below which a number of failures is not taken
	// for chance, but makes a version fail.
	failureChance = 2e-5
	// failureMargin is how much a version's failure rate, from 0 to 1, may exceed its
	// predecessor's.
	failureMargin = 0.02
	// tailPrecision is the fraction of the sum below which binomialTail leaves out
	// further terms.
	tailPrecision = 1e-6
	// suspectedChance is the probability below which a number of failures makes a
	// version suspected.
	suspectedChance = 0.05
	// minFailures is the smallest number of failures for the verdict failed.
	minFailures = 3
	// minSuspectedFailures is the smallest number of failures that make a version
	// suspected.
	minSuspectedFailures = 2
	// referenceQuantile is the quantile of the predecessor's durations that a version's
	// are compared with. Its histogram bucket plus a slack is the reference, above
	// which a duration is slow.
	referenceQuantile = 0.9
	// maxSlowPart is the part of a version's durations that may be slow. A version is
	// slow if the lower Wilson bound of its slow part is larger.
	maxSlowPart = 0.3
	// earlierReferenceSlack is the slack, in buckets, where the predecessor's durations
	// are from an earlier time. The load may have risen within its class since then.
	earlierReferenceSlack = 3
	// minReferenceCount is the smallest number of the predecessor's durations that a
	// comparison may use as the reference.
	minReferenceCount = 10
	// firstTokenSlack is the smallest slack, in buckets, for times to the first token,
	// since sizes differ within their class.
	firstTokenSlack = 1
	// betweenTokensSlack is the smallest slack, in buckets, for times between tokens.
	// These times vary so little that otherwise nearly all of an engine on a busier
	// machine would be slow.
	betweenTokensSlack = 2
)

// Subject identifies a version, or a service's release, that is compared with another.
type Subject struct {
	// Version is the name of the version.
	Version string
	// Generation is that of the version's record, which grows when the record is
	// replaced. For a release it is the log offset of the request to roll it out.
	Generation uint64
}

// Verdict is the result of comparing a version with its predecessor.
type Verdict struct {
	// Failed is set if the evidence shows a fault of the version.
	Failed bool
	// Reason says which fault it is. It is empty unless Failed is set.
	Reason string
	// Suspected is set if more of the version's requests failed than of its
	// predecessor's, over all routes, by a number that is unlikely to be chance.
	Suspected bool
	// Requests is the number of the version's ended requests.
	Requests uint64
	// ComparedFirstTokens is the number of the version's first tokens that were compared with the
	// predecessor's.
	ComparedFirstTokens uint64
	// PredecessorRequests is the number of the predecessor's ended requests on all
	// routes.
	PredecessorRequests uint64
	// ReevaluationReason says why the version, which had all requests, is re-evaluated
	// side by side with its predecessor. It is empty if it isn't.
	ReevaluationReason string
	// Evidence holds the counts by route and load class that the progress record shows.
	Evidence []sycrecord.EvidenceFields
}

// Compare compares a version with its predecessor route by route and returns the
// verdict. Durations are compared only between requests of the same requestKind, and if
// possible with at least as many prompt tokens to compute. Failures are compared over
// all size classes.
func Compare(t Totals, candidate, predecessor Subject) Verdict {
	return compare(t, candidate, predecessor, criteria{deviations: failedDeviations, failures: true})
}

// criteria sets what versions are compared by.
type criteria struct {
	// slack is the number of buckets by which a duration may exceed the predecessor's
	// quantile without being slow. firstTokenSlack and betweenTokensSlack apply if they
	// are larger.
	slack int
	// deviations is how many standard deviations below the observed slow part its
	// Wilson bound lies. Durations are not compared if it is 0.
	deviations float64
	// failures says whether failures are compared.
	failures bool
}

// compare compares a version with its predecessor by the given criteria.
func compare(t Totals, candidate, predecessor Subject, by criteria) Verdict {
	var v Verdict
	kinds := groupByKind(t, candidate, predecessor)
	routes := map[string]bool{}
	for k, s := range kinds {
		for size := range SizeClasses {
			if s.candidate[size] != nil {
				routes[k.route] = true
			}
			if s.predecessor[size] != nil {
				v.PredecessorRequests += s.predecessor[size].Requests
			}
		}
	}
	var all comparison
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		all.merge(v.judgeRoute(kinds, route, by))
	}
	v.ComparedFirstTokens = all.totalFirst
	v.Suspected = all.failsMore(minSuspectedFailures, suspectedChance)
	return v
}

// comparison holds the counts of both versions, added up over kinds of requests and
// size classes.
type comparison struct {
	// candidate and predecessor hold the counts of the compared versions.
	candidate, predecessor Counts
	// slowFirst and slowBetween are the numbers of the candidate's first tokens and
	// times between tokens that are slow, which is above the reference.
	slowFirst, slowBetween uint64
	// totalFirst and totalBetween are the numbers of the candidate's first tokens and
	// times between tokens that could be compared.
	totalFirst, totalBetween uint64
}

// judgeRoute compares the versions on a route by load class and over all loads. It adds
// the result to the verdict and returns the comparison over all loads.
func (v *Verdict) judgeRoute(kinds map[requestKind]*sizeCounts, route string, by criteria) *comparison {
	var all comparison
	for load := range loadClasses {
		var byLoad comparison
		for _, imported := range []bool{false, true} {
			if s := kinds[requestKind{route, load, imported}]; s != nil {
				byLoad.add(s, by.slack)
			}
		}
		if byLoad.candidate.Requests > 0 {
			v.Evidence = append(v.Evidence, byLoad.evidence(route, loadName(load)))
			v.conclude(route, loadName(load), &byLoad, by)
		}
		all.merge(&byLoad)
	}
	v.Requests += all.candidate.Requests
	v.conclude(route, "any", &all, by)
	return &all
}

// add adds the counts of a kind of request. The slack is that of the criteria.
func (c *comparison) add(s *sizeCounts, slack int) {
	for size := range SizeClasses {
		if s.predecessor[size] != nil {
			c.predecessor.add(s.predecessor[size])
		}
		counts := s.candidate[size]
		if counts == nil {
			continue
		}
		c.candidate.add(counts)
		if reference, ok := s.firstTokenReference(size, slack); ok {
			c.slowFirst += counts.FirstToken.countAbove(reference)
			c.totalFirst += counts.FirstToken.Total()
		}
		if reference, ok := s.betweenTokensReference(size, slack); ok {
			c.slowBetween += counts.BetweenTokens.countAbove(reference)
			c.totalBetween += counts.BetweenTokens.Total()
		}
	}
}

// merge adds the counts of another comparison.
func (c *comparison) merge(other *comparison) {
	c.candidate.add(&other.candidate)
	c.predecessor.add(&other.predecessor)
	c.slowFirst += other.slowFirst
	c.totalFirst += other.totalFirst
	c.slowBetween += other.slowBetween
	c.totalBetween += other.totalBetween
}

// conclude sets the verdict to failed, with the reason, if the comparison for a route
// and a load class shows a fault by the criteria. It keeps an earlier reason.
func (v *Verdict) conclude(route, load string, c *comparison, by criteria) {
	if v.Failed {
		return
	}
	switch {
	case by.failures && c.failsMore(minFailures, failureChance):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d requests failed, against %d of %d of the predecessor",
			route, load, c.candidate.Failures, c.candidate.Requests, c.predecessor.Failures, c.predecessor.Requests)
	case by.slow(c.slowFirst, c.totalFirst):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d first tokens came later than 9 in 10 of the predecessor's",
			route, load, c.slowFirst, c.totalFirst)
	case by.slow(c.slowBetween, c.totalBetween):
		v.Reason = fmt.Sprintf("route %s, load %s: %d of %d answers had longer times between tokens than 9 in 10 of the predecessor's",
			route, load, c.slowBetween, c.totalBetween)
	default:
		return
	}
	v.Failed = true
}

// slow reports whether too large a part of the durations was slow. hits is the number
// of slow durations, trials that of all.
func (by criteria) slow(hits, trials uint64) bool {
	return by.deviations > 0 && wilsonLowerBound(hits, trials, by.deviations) > maxSlowPart
}

// failsMore reports whether the candidate fails more often than its predecessor. It
// must have at least a minimum of failures, and the probability of as many at the
// predecessor's failure rate plus failureMargin must be below a chance.
func (c *comparison) failsMore(minimum uint64, chance float64) bool {
	if c.candidate.Failures < minimum {
		return false
	}
	predecessorRate := 0.0
	if c.predecessor.Requests > 0 {
		predecessorRate = float64(c.predecessor.Failures) / float64(c.predecessor.Requests)
	}
	return binomialTail(c.candidate.Failures, c.candidate.Requests, predecessorRate+failureMargin) < chance
}

// binomialTail returns the probability of at least a number of hits in a number of
// trials, where p is the probability of a hit. It returns 1 where hits are no more than
// expected.
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

// logChoose returns the logarithm of the binomial coefficient of n and k.
func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// wilsonLowerBound returns the lower Wilson bound, a confidence bound of the proportion
// of hits in trials, for a number of standard deviations. It returns 0 without trials.
func wilsonLowerBound(hits, trials uint64, deviations float64) float64 {
	if trials == 0 {
		return 0
	}
	n := float64(trials)
	p := float64(hits) / n
	z2 := deviations * deviations
	spread := deviations * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (p + z2/(2*n) - spread) / (1 + z2/n)
}

// evidence returns the counts in the form that a progress record has.
func (c *comparison) evidence(route, load string) sycrecord.EvidenceFields {
	return sycrecord.EvidenceFields{
		Route:       route,
		Load:        load,
		Requests:    c.candidate.Requests,
		Failures:    c.candidate.Failures,
		OldRequests: c.predecessor.Requests,
		OldFailures: c.predecessor.Failures,
		P95:         sycrecord.Duration(c.candidate.FirstToken.Quantile(0.95).Round(time.Millisecond)),
		OldP95:      sycrecord.Duration(c.predecessor.FirstToken.Quantile(0.95).Round(time.Millisecond)),
	}
}

// loadName returns the name of a load class that evidence and reasons show.
func loadName(class int) string {
	switch class {
	case LoadLow:
		return "low"
	case LoadMiddle:
		return "middle"
	}
	return "high"
}
