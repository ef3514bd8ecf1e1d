package sycrollout

// A new version's engines start with empty caches, so that they compute more before a
// first token than the predecessor's. A duration is therefore compared with those of the
// predecessor's requests of the same size class and above. Where these are too few, smaller
// sizes are added, on the assumption that first tokens take longer in proportion to the
// prompt tokens to compute.

// requestKind holds the fields of a Cell that must be equal for the durations of two
// versions' requests to be compared. The size class may differ, see referenceBucket.
type requestKind struct {
	route    string
	load     int
	imported bool
}

// kind returns the cell's kind of request.
func (c Cell) kind() requestKind { return requestKind{c.Route, c.Load, c.Imported} }

// subject returns the cell's version.
func (c Cell) subject() Subject { return Subject{c.Version, c.Generation} }

// sizeCounts holds the counts of both versions for one kind of request, by size class.
// An entry is nil where nothing was counted.
type sizeCounts struct {
	// candidate and predecessor are indexed by size class.
	candidate, predecessor [SizeClasses]*Counts
}

// groupByKind groups the counts of both versions by the kind of request.
func groupByKind(t Totals, candidate, predecessor Subject) map[requestKind]*sizeCounts {
	kinds := map[requestKind]*sizeCounts{}
	for cell, counts := range t {
		s := cell.subject()
		if s != candidate && s != predecessor {
			continue
		}
		k := kinds[cell.kind()]
		if k == nil {
			k = &sizeCounts{}
			kinds[cell.kind()] = k
		}
		if s == candidate {
			k.candidate[cell.Size] = &counts
		} else {
			k.predecessor[cell.Size] = &counts
		}
	}
	return kinds
}

// firstTokenReference returns the bucket above which first tokens of a size class are
// slow. It reports false if too few of the predecessor's were counted. The slack, in
// buckets, is at least firstTokenSlack.
func (s *sizeCounts) firstTokenReference(size, slack int) (int, bool) {
	return s.referenceBucket(size, max(firstTokenSlack, slack), 1, func(c *Counts) *Buckets { return &c.FirstToken })
}

// betweenTokensReference is like firstTokenReference for times between tokens. These
// don't grow with the size, and their slack is at least betweenTokensSlack.
func (s *sizeCounts) betweenTokensReference(size, slack int) (int, bool) {
	return s.referenceBucket(size, max(betweenTokensSlack, slack), 0, func(c *Counts) *Buckets { return &c.BetweenTokens })
}

// referenceBucket collects the predecessor's durations from a size class upwards, and
// then downwards, until there are minReferenceCount. Those of smaller sizes are
// lengthened by growth buckets a class. It returns the bucket of their
// referenceQuantile, plus slack.
func (s *sizeCounts) referenceBucket(size, slack, growth int, durations func(*Counts) *Buckets) (int, bool) {
	if s == nil {
		return 0, false
	}
	var pool Buckets
	total := uint64(0)
	collect := func(i, shift int) {
		if s.predecessor[i] != nil {
			total += pool.addShifted(durations(s.predecessor[i]), shift)
		}
	}
	for i := size; i < SizeClasses && total < minReferenceCount; i++ {
		collect(i, 0)
	}
	for i := size - 1; i >= 0 && total < minReferenceCount; i-- {
		collect(i, growth*(size-i))
	}
	if total < minReferenceCount {
		return 0, false
	}
	return min(pool.quantileBucket(referenceQuantile)+slack, BucketCount-1), true
}
