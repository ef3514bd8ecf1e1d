package sycrollout

// A version's engines begin without caches, so that more is computed before its first
// tokens than before its predecessor's. A duration is compared with those of the
// predecessor's requests that had as much to compute or more; where there are too few, with
// those of smaller ones, taken to grow as their tokens do.

// kind is what requests that are compared with each other have in common beside their size.
type kind struct {
	route    string
	load     int
	imported bool
}

func (c Cell) kind() kind { return kind{c.Route, c.Load, c.Imported} }

func (c Cell) subject() Subject { return Subject{c.Version, c.Generation} }

// sizes holds the counts of both versions for a kind of request, by size class; nil
// where there are none.
type sizes struct {
	fresh, old [SizeClasses]*Counts
}

// kindsOf sorts the counts of both versions.
func kindsOf(t Totals, candidate, predecessor Subject) map[kind]*sizes {
	kinds := map[kind]*sizes{}
	for cell, counts := range t {
		s := cell.subject()
		if s != candidate && s != predecessor {
			continue
		}
		k := kinds[cell.kind()]
		if k == nil {
			k = &sizes{}
			kinds[cell.kind()] = k
		}
		if s == candidate {
			k.fresh[cell.Size] = &counts
		} else {
			k.old[cell.Size] = &counts
		}
	}
	return kinds
}

// firstToken is the bucket after which first tokens of a size class count as slow; it
// reports false if too few of the predecessor's were seen.
func (s *sizes) firstToken(size, slack int) (int, bool) {
	return s.reference(size, max(sizeSlack, slack), 1, func(c *Counts) *Buckets { return &c.FirstToken })
}

// betweenTokens is the like for the times between tokens, which don't grow with what is
// computed before.
func (s *sizes) betweenTokens(size, slack int) (int, bool) {
	return s.reference(size, max(tokenSlack, slack), 0, func(c *Counts) *Buckets { return &c.BetweenTokens })
}

// reference gathers the predecessor's durations from the given size class upwards until
// they are enough, then downwards, each longer by some buckets a class.
func (s *sizes) reference(size, slack, grows int, of func(*Counts) *Buckets) (int, bool) {
	if s == nil {
		return 0, false
	}
	var pool Buckets
	total := uint64(0)
	take := func(i, longer int) {
		if s.old[i] != nil {
			total += pool.addLonger(of(s.old[i]), longer)
		}
	}
	for i := size; i < SizeClasses && total < minReference; i++ {
		take(i, 0)
	}
	for i := size - 1; i >= 0 && total < minReference; i-- {
		take(i, grows*(size-i))
	}
	if total < minReference {
		return 0, false
	}
	return min(pool.quantileBucket(referenceQuantile)+slack, BucketCount-1), true
}
