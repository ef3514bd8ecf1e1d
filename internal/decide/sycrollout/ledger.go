package sycrollout

import (
	"maps"
	"math"
	"time"
)

// Load classes of an endpoint, by its load when a request was sent.
const (
	LoadLow = iota
	LoadMiddle
	LoadHigh
	loadClasses
)

const (
	middleLoad = 4
	highLoad   = 12
	// smallTokens is the upper end of the first size class. The classes after it are as
	// wide as the buckets of durations: where one request has so many times the tokens of
	// another, its first token may take as many times as long. The last has no end.
	smallTokens = 128
	// SizeClasses is the number of size classes, by the prompt tokens that had to
	// be computed before the first token.
	SizeClasses = 2 + 8*bucketsPerDoubling
	// firstClass is the lowest number of a class: VMs of former releases, whose sizes
	// were other ones, leave these numbers out as unknown, and their numbers are left out
	// here.
	firstClass = 30
)

// Cell is a kind of request whose versions are compared with each other.
type Cell struct {
	Version string
	// Generation is that of the version's record.
	Generation uint64
	Route      string
	Load       int
	Size       int
	// Imported is set for requests with imported blocks, whose import takes part of
	// their time.
	Imported bool
}

// Class packs load, size and import into one number.
func (c Cell) Class() uint32 {
	class := c.Load * 2
	if c.Imported {
		class++
	}
	return uint32(firstClass + class*SizeClasses + c.Size)
}

// SetClass unpacks load, size and import; it reports false for an unknown class.
func (c *Cell) SetClass(class uint32) bool {
	n := int(class) - firstClass
	if n < 0 || n >= 2*loadClasses*SizeClasses {
		return false
	}
	c.Size = n % SizeClasses
	n /= SizeClasses
	c.Load, c.Imported = n/2, n%2 == 1
	return true
}

// LoadClass is the class of an endpoint with the given requests.
func LoadClass(requests int) int {
	switch {
	case requests >= highLoad:
		return LoadHigh
	case requests >= middleLoad:
		return LoadMiddle
	}
	return LoadLow
}

// SizeClass is the class of a request before whose first token the given prompt
// tokens had to be computed: its own that were not cached, and those of the
// requests before it.
func SizeClass(tokens int) int {
	if tokens < smallTokens {
		return 0
	}
	doublings := math.Log2(float64(tokens) / smallTokens)
	return min(1+int(doublings*bucketsPerDoubling), SizeClasses-1)
}

// Counts is what was seen in a cell. Counts only grow.
type Counts struct {
	Requests      uint64
	Failures      uint64
	FirstToken    Buckets
	BetweenTokens Buckets
}

func (c *Counts) add(other *Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	c.FirstToken.add(&other.FirstToken)
	c.BetweenTokens.add(&other.BetweenTokens)
}

func (c *Counts) subtract(earlier *Counts) {
	c.Requests -= min(earlier.Requests, c.Requests)
	c.Failures -= min(earlier.Failures, c.Failures)
	c.FirstToken.subtract(&earlier.FirstToken)
	c.BetweenTokens.subtract(&earlier.BetweenTokens)
}

// Seen is how much was counted; it tells a newer reading from an older one.
func (c *Counts) Seen() uint64 { return c.Requests + c.FirstToken.Total() }

// Sample is one finished attempt. Durations of 0 were not measured.
type Sample struct {
	Failed        bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Totals holds counts by cell.
type Totals map[Cell]Counts

// Ledger gathers the counts of this VM and of its peers.
type Ledger struct {
	// own and peers hold cumulative counts, so that a repeated or lost message
	// does no harm.
	own   Totals
	peers map[string]Totals
	// awaited holds this VM's attempts under way, by their numbers.
	awaited map[uint64]await
	// held is for how long this VM was held up in all.
	held time.Duration
	// late counts the first tokens of versions under rollout that were counted late.
	late uint64
	// history holds past sums, oldest first.
	history []reading
}

type reading struct {
	at     time.Duration
	totals Totals
}

const (
	// Window is the longest span of recent evidence.
	Window = 10 * time.Second
	// ShortWindow is the span in which a fault shows soonest where requests are many.
	ShortWindow = 2 * time.Second
	// readingPeriod is the time between readings of the sums.
	readingPeriod = time.Second
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: Totals{}, peers: map[string]Totals{}, awaited: map[uint64]await{}}
}

// Record counts an attempt of this VM.
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

// Own returns this VM's cumulative counts; the caller must not change them.
func (l *Ledger) Own() Totals { return l.own }

// Merge takes in a peer's cumulative counts; source is the peer's address and incarnation.
// Older readings than the one known are ignored.
func (l *Ledger) Merge(source string, cell Cell, c Counts) {
	totals := l.peers[source]
	if totals == nil {
		totals = Totals{}
		l.peers[source] = totals
	}
	if known := totals[cell]; c.Seen() >= known.Seen() {
		totals[cell] = c
	}
}

// Keep drops the cells of all versions but those that the function keeps.
func (l *Ledger) Keep(keep func(version string, generation uint64) bool) {
	prune(l.own, keep)
	for source, totals := range l.peers {
		prune(totals, keep)
		if len(totals) == 0 {
			delete(l.peers, source)
		}
	}
	for _, r := range l.history {
		prune(r.totals, keep)
	}
	maps.DeleteFunc(l.awaited, func(_ uint64, a await) bool { return !keep(a.cell.Version, a.cell.Generation) })
}

func prune(t Totals, keep func(version string, generation uint64) bool) {
	for cell := range t {
		if !keep(cell.Version, cell.Generation) {
			delete(t, cell)
		}
	}
}

// Sum returns the cumulative counts over all VMs.
func (l *Ledger) Sum() Totals {
	sum := make(Totals, len(l.own))
	sum.merge(l.own)
	for _, totals := range l.peers {
		sum.merge(totals)
	}
	return sum
}

func (t Totals) merge(other Totals) {
	for cell, counts := range other {
		c := t[cell]
		c.add(&counts)
		t[cell] = c
	}
}

// Since returns the counts that t has beyond an earlier reading.
func (t Totals) Since(earlier Totals) Totals {
	out := make(Totals, len(t))
	for cell, counts := range t {
		before := earlier[cell]
		counts.subtract(&before)
		out[cell] = counts
	}
	return out
}

// TakeReading takes a reading of the sums when one is due. Recent has counts only
// from readings.
func (l *Ledger) TakeReading(now time.Duration) {
	if n := len(l.history); n > 0 && now-l.history[n-1].at < readingPeriod {
		return
	}
	l.history = append(l.history, reading{at: now, totals: l.Sum()})
	for len(l.history) > 1 && now-l.history[1].at >= Window {
		l.history = l.history[1:]
	}
}

// Recent returns which of the sums are of the last window, which is at most Window, or up
// to the time between two readings more.
func (l *Ledger) Recent(sum Totals, now, window time.Duration) Totals {
	var earlier Totals
	for i, r := range l.history {
		if i == 0 || now-r.at >= window {
			earlier = r.totals
		}
	}
	return sum.Since(earlier)
}
