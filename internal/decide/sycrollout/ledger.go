package sycrollout

import (
	"maps"
	"math"
	"time"
)

// Load classes of an endpoint, by the number of its requests when an attempt was sent to it.
const (
	// LoadLow is the class of fewer than middleLoadMin requests.
	LoadLow = iota
	// LoadMiddle is the class from middleLoadMin requests on.
	LoadMiddle
	// LoadHigh is the class from highLoadMin requests on.
	LoadHigh
	// loadClasses is the number of load classes.
	loadClasses
)

const (
	// middleLoadMin is the smallest number of an endpoint's requests in the class
	// LoadMiddle.
	middleLoadMin = 4
	// highLoadMin is the smallest number of an endpoint's requests in the class
	// LoadHigh.
	highLoadMin = 12
	// firstSizeEnd is the number of prompt tokens at which the first size class ends.
	// Later classes are as wide as the duration buckets, since the time to the first
	// token may grow in proportion to the tokens. The last class has no upper end.
	firstSizeEnd = 128
	// SizeClasses is the number of size classes. A request's size is the number of
	// prompt tokens that had to be computed before its first token.
	SizeClasses = 2 + 8*bucketsPerDoubling
	// firstClassNumber is the lowest number that Class returns. VMs of earlier
	// releases, whose size classes were different, use the numbers below. They ignore
	// the numbers of this release as unknown, and this release ignores theirs.
	firstClassNumber = 30
)

// Cell is the key under which attempts are counted: a version, and the route, load class,
// size class and import that its request had. A version's durations are compared with
// those of the predecessor's cells that have the same route, load class and import, and
// the same size class or, if these have too few, other size classes.
type Cell struct {
	// Version is the name of a model's version or of a service's release.
	Version string
	// Generation is that of the version, as in Subject.
	Generation uint64
	// Route is the name of the route that the request came by.
	Route string
	// Load is the load class of the endpoint, from LoadLow to LoadHigh.
	Load int
	// Size is the size class of the request, as SizeClass returns it.
	Size int
	// Imported is set if the endpoint imported prompt blocks for the request. The
	// import takes part of the time to the first token.
	Imported bool
}

// Class packs Load, Size and Imported into one number for messages to other VMs.
func (c Cell) Class() uint32 {
	class := c.Load * 2
	if c.Imported {
		class++
	}
	return uint32(firstClassNumber + class*SizeClasses + c.Size)
}

// SetClass sets Load, Size and Imported from a number that Class returned. It reports
// false for an unknown number.
func (c *Cell) SetClass(class uint32) bool {
	n := int(class) - firstClassNumber
	if n < 0 || n >= 2*loadClasses*SizeClasses {
		return false
	}
	c.Size = n % SizeClasses
	n /= SizeClasses
	c.Load, c.Imported = n/2, n%2 == 1
	return true
}

// LoadClass returns the load class of an endpoint that has a number of requests.
func LoadClass(requests int) int {
	switch {
	case requests >= highLoadMin:
		return LoadHigh
	case requests >= middleLoadMin:
		return LoadMiddle
	}
	return LoadLow
}

// SizeClass returns the size class of a request by the number of prompt tokens that had
// to be computed before its first token: its own that were not cached, and those of the
// requests before it on the endpoint.
func SizeClass(tokens int) int {
	if tokens < firstSizeEnd {
		return 0
	}
	doublings := math.Log2(float64(tokens) / firstSizeEnd)
	return min(1+int(doublings*bucketsPerDoubling), SizeClasses-1)
}

// Counts holds the cumulative counts of a cell, which only grow.
type Counts struct {
	// Requests is the number of ended attempts.
	Requests uint64
	// Failures is the number of ended attempts that failed.
	Failures uint64
	// FirstToken counts the times from sending an attempt to its first token.
	FirstToken Buckets
	// BetweenTokens counts each attempt's mean time between tokens.
	BetweenTokens Buckets
}

// add adds the counts of another cell.
func (c *Counts) add(other *Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	c.FirstToken.add(&other.FirstToken)
	c.BetweenTokens.add(&other.BetweenTokens)
}

// subtract removes earlier counts of the same cell.
func (c *Counts) subtract(earlier *Counts) {
	c.Requests -= min(earlier.Requests, c.Requests)
	c.Failures -= min(earlier.Failures, c.Failures)
	c.FirstToken.subtract(&earlier.FirstToken)
	c.BetweenTokens.subtract(&earlier.BetweenTokens)
}

// Seen returns a number that grows with the counts, so that newer counts of a cell can
// be distinguished from older ones.
func (c *Counts) Seen() uint64 { return c.Requests + c.FirstToken.Total() }

// Sample is the result of one ended attempt. A duration of 0 was not measured.
type Sample struct {
	// Failed says whether the attempt failed.
	Failed bool
	// FirstToken is the time from sending the attempt to its first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between the attempt's tokens.
	BetweenTokens time.Duration
}

// Totals holds cumulative counts by cell, of one VM or summed over all VMs.
type Totals map[Cell]Counts

// Ledger holds the counts of this VM and its peers for the versions under rollout, and
// the pending attempts of this VM.
type Ledger struct {
	// own has the counts of this VM. They are cumulative, so that a repeated or lost
	// message to another VM does no harm.
	own Totals
	// peers has the cumulative counts of other VMs, by their address and incarnation.
	peers map[string]Totals
	// peerSum is the sum of peers.
	peerSum Totals
	// pending holds the attempts of this VM that haven't ended, by their numbers.
	pending map[uint64]pendingAttempt
	// paused is the total time for which this VM's process was paused.
	paused time.Duration
	// lateFirstTokens is the number of candidates' first tokens on this VM that were
	// counted while they were awaited.
	lateFirstTokens uint64
	// history holds the readings of about the last Window, oldest first.
	history []reading
}

// reading is a copy of the sums over all VMs at one time.
type reading struct {
	// at is when the reading was taken.
	at     time.Duration
	totals Totals
}

const (
	// Window is the longest span of recent evidence.
	Window = 10 * time.Second
	// ShortWindow is a shorter span of recent evidence, in which a fault shows sooner
	// if requests are many.
	ShortWindow = 2 * time.Second
	// newestWindow is the span of the newest evidence, in which a version that has just
	// become slow shows it before good answers have left ShortWindow.
	newestWindow = 500 * time.Millisecond
	// readingPeriod is the shortest time between two readings.
	readingPeriod = 500 * time.Millisecond
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: Totals{}, peers: map[string]Totals{}, peerSum: Totals{}, pending: map[uint64]pendingAttempt{}}
}

// Record counts an ended attempt of this VM.
func (l *Ledger) Record(cell Cell, s Sample) {
	c := l.own[cell]
	c.Requests++
	if s.Failed {
		c.Failures++
	}
	if s.FirstToken > 0 {
		c.FirstToken.Add(s.FirstToken)
	}
	if s.BetweenTokens > 0 {
		c.BetweenTokens.Add(s.BetweenTokens)
	}
	l.own[cell] = c
}

// Own returns this VM's cumulative counts. The caller must not change them.
func (l *Ledger) Own() Totals { return l.own }

// Merge stores a peer's cumulative counts for a cell. The source is the peer's address
// and incarnation. Counts older than the stored ones are ignored.
func (l *Ledger) Merge(source string, cell Cell, c Counts) {
	totals := l.peers[source]
	if totals == nil {
		totals = Totals{}
		l.peers[source] = totals
	}
	known := totals[cell]
	if c.Seen() < known.Seen() {
		return
	}
	totals[cell] = c
	sum := l.peerSum[cell]
	sum.subtract(&known)
	sum.add(&c)
	l.peerSum[cell] = sum
}

// Keep removes the cells and pending attempts of all versions for which the function
// returns false.
func (l *Ledger) Keep(keep func(version string, generation uint64) bool) {
	prune(l.own, keep)
	prune(l.peerSum, keep)
	for source, totals := range l.peers {
		prune(totals, keep)
		if len(totals) == 0 {
			delete(l.peers, source)
		}
	}
	for _, r := range l.history {
		prune(r.totals, keep)
	}
	maps.DeleteFunc(l.pending, func(_ uint64, a pendingAttempt) bool { return !keep(a.cell.Version, a.cell.Generation) })
}

// prune removes the cells of all versions for which the function returns false.
func prune(t Totals, keep func(version string, generation uint64) bool) {
	for cell := range t {
		if !keep(cell.Version, cell.Generation) {
			delete(t, cell)
		}
	}
}

// Sum returns the cumulative counts over all VMs.
func (l *Ledger) Sum() Totals {
	sum := maps.Clone(l.peerSum)
	sum.merge(l.own)
	return sum
}

// merge adds other counts to those in t.
func (t Totals) merge(other Totals) {
	for cell, counts := range other {
		c := t[cell]
		c.add(&counts)
		t[cell] = c
	}
}

// Since returns the counts in t that were added since earlier totals.
func (t Totals) Since(earlier Totals) Totals {
	out := make(Totals, len(t))
	for cell, counts := range t {
		before := earlier[cell]
		counts.subtract(&before)
		out[cell] = counts
	}
	return out
}

// TakeReading stores a reading of the sums if the last one is at least readingPeriod
// old. Recent works from these readings.
func (l *Ledger) TakeReading(now time.Duration) {
	if n := len(l.history); n > 0 && now-l.history[n-1].at < readingPeriod {
		return
	}
	l.history = append(l.history, reading{at: now, totals: l.Sum()})
	for len(l.history) > 1 && now-l.history[1].at >= Window {
		l.history = l.history[1:]
	}
}

// Recent returns the counts in sum that were added in the window before now. The window
// is at most Window, and the counts may reach back one readingPeriod further.
func (l *Ledger) Recent(sum Totals, now, window time.Duration) Totals {
	var earlier Totals
	for i, r := range l.history {
		if i == 0 || now-r.at >= window {
			earlier = r.totals
		}
	}
	return sum.Since(earlier)
}
