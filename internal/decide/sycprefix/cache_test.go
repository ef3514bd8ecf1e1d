package sycprefix_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
)

// chain returns n random block hashes.
func chain(seed uint64, n int) []uint64 {
	r := rand.New(rand.NewPCG(seed, 0))
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = r.Uint64()
	}
	return blocks
}

func store(seq uint64, blocks ...uint64) sycprefix.Event {
	return sycprefix.Event{Seq: seq, Op: sycprefix.Store, Blocks: blocks}
}

func evict(seq uint64, blocks ...uint64) sycprefix.Event {
	return sycprefix.Event{Seq: seq, Op: sycprefix.Evict, Blocks: blocks}
}

func TestEvents(t *testing.T) {
	c := chain(1, 4)
	type batch struct {
		incarnation string
		first, next uint64
		events      []sycprefix.Event
	}
	tests := []struct {
		name    string
		batches []batch
		want    sycprefix.Match
		synced  bool
	}{
		{
			"stored",
			[]batch{{"i", 0, 1, []sycprefix.Event{store(0, c...)}}},
			sycprefix.Match{Depth: 4, Confirmed: 4},
			true,
		},
		{
			"evicted at the end",
			[]batch{{"i", 0, 2, []sycprefix.Event{store(0, c...), evict(1, c[2], c[3])}}},
			sycprefix.Match{Depth: 2, Confirmed: 2},
			true,
		},
		{
			"gap inside a batch",
			[]batch{{"i", 0, 3, []sycprefix.Event{store(0, c...), store(2, 9)}}},
			sycprefix.Match{Depth: 4},
			false,
		},
		{
			"gap between batches",
			[]batch{{"i", 0, 1, []sycprefix.Event{store(0, c...)}}, {"i", 5, 6, nil}},
			sycprefix.Match{Depth: 4},
			false,
		},
		{
			"gap at the end of a batch",
			[]batch{{"i", 0, 4, []sycprefix.Event{store(0, c...)}}},
			sycprefix.Match{Depth: 4},
			false,
		},
		{
			"repeated batch",
			[]batch{
				{"i", 0, 2, []sycprefix.Event{store(0, c...), evict(1, c...)}},
				{"i", 0, 1, []sycprefix.Event{store(0, c...)}},
			},
			sycprefix.Match{},
			true,
		},
		{
			"new incarnation",
			[]batch{{"i", 0, 1, []sycprefix.Event{store(0, c...)}}, {"j", 0, 0, nil}},
			sycprefix.Match{},
			false,
		},
		{
			"late events of a former incarnation",
			[]batch{
				{"j", 0, 0, nil},
				{"i", 1, 2, []sycprefix.Event{store(1, c...)}},
			},
			sycprefix.Match{},
			false,
		},
		{
			"cleared",
			[]batch{{"i", 0, 2, []sycprefix.Event{store(0, c...), {Seq: 1, Op: sycprefix.Clear}}}},
			sycprefix.Match{},
			true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cache := sycprefix.NewCache(sycprefix.TTL{})
			cache.Resync(0, "i", 0, nil)
			for _, b := range tt.batches {
				cache.Apply(time.Second, b.incarnation, b.first, b.next, b.events)
			}
			must.Eq(t, tt.want, cache.Match(time.Second, c))
			must.Eq(t, tt.synced, cache.Synced())
		})
	}
}

func TestResyncAfterAGap(t *testing.T) {
	c := chain(1, 4)
	cache := sycprefix.NewCache(sycprefix.TTL{})
	cache.Apply(0, "i", 3, 4, []sycprefix.Event{store(3, c...)})
	must.Eq(t, sycprefix.Match{Depth: 4}, cache.Match(0, c))
	cache.Resync(0, "i", 2, c[:1])
	must.False(t, cache.Synced())
	cache.Resync(0, "i", 9, c[:2])
	must.Eq(t, sycprefix.Match{Depth: 2, Confirmed: 2}, cache.Match(0, c))
	cache.Apply(0, "i", 8, 9, []sycprefix.Event{store(8, c...)})
	must.Eq(t, sycprefix.Match{Depth: 2, Confirmed: 2}, cache.Match(0, c))
}

func TestPredictionsExpireAndAreConfirmed(t *testing.T) {
	c := chain(1, 8)
	cache := sycprefix.NewCache(sycprefix.TTL{Predicted: 2 * time.Second, Confirmed: time.Minute})
	cache.Resync(0, "i", 0, nil)
	cache.Predict(0, c)
	must.Eq(t, sycprefix.Match{Depth: 8}, cache.Match(time.Second, c))
	cache.Confirm(time.Second, "i", c[:3])
	must.Eq(t, sycprefix.Match{Depth: 8, Confirmed: 3}, cache.Match(time.Second, c))
	must.Eq(t, sycprefix.Match{Depth: 3, Confirmed: 3}, cache.Match(10*time.Second, c))
	must.Eq(t, sycprefix.Match{}, cache.Match(3*time.Minute, c))
	cache.Sweep(10*time.Second, 1<<10)
	must.Eq(t, 3, cache.Len())
	cache.Confirm(10*time.Second, "j", c[:1])
	must.Eq(t, sycprefix.Match{Depth: 1}, cache.Match(10*time.Second, c))
	cache.Confirm(10*time.Second, "i", c)
	must.Eq(t, sycprefix.Match{Depth: 1}, cache.Match(10*time.Second, c))
}

func TestUnreachableEngineHasNoEntries(t *testing.T) {
	c := chain(1, 8)
	cache := sycprefix.NewCache(sycprefix.TTL{})
	cache.Resync(0, "i", 0, c)
	cache.MarkUnreachable()
	must.Eq(t, 0, cache.Len())
	cache.Apply(0, "i", 0, 1, []sycprefix.Event{store(0, c...)})
	must.Eq(t, sycprefix.Match{}, cache.Match(0, c))
	cache.Resync(0, "i", 1, c[:3])
	must.Eq(t, sycprefix.Match{Depth: 3, Confirmed: 3}, cache.Match(0, c))
}

// TestVerifyFindsEvictedBlock evicts a block in the middle of a prompt. Match doesn't
// look at it, since it bisects, so only Verify notices.
func TestVerifyFindsEvictedBlock(t *testing.T) {
	c := chain(1, 64)
	cache := sycprefix.NewCache(sycprefix.TTL{})
	cache.Resync(0, "i", 0, c)
	cache.Apply(0, "i", 0, 1, []sycprefix.Event{evict(0, c[20])})
	m := cache.Match(0, c)
	must.Eq(t, 64, m.Depth)
	must.Eq(t, sycprefix.Match{Depth: 20, Confirmed: 20}, cache.Verify(0, c, m))
}

func TestMemoryIsBounded(t *testing.T) {
	cache := sycprefix.NewCache(sycprefix.TTL{})
	cache.SetLimit(1000)
	cache.Resync(0, "i", 0, nil)
	for i := range uint64(50) {
		cache.Predict(time.Duration(i)*time.Second, chain(i, 100))
	}
	must.Eq(t, 1000, cache.Len())
	must.LessEq(t, 10_100, cache.Bytes())
	must.Eq(t, 100, cache.Match(49*time.Second, chain(49, 100)).Depth)
}

// TestAgainstMap compares the cache with a map after random stores and evictions.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := sycprefix.NewCache(sycprefix.TTL{})
		cache.Resync(0, "i", 0, nil)
		model := map[uint64]bool{}
		seq := uint64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			// Hashes near the end of the range make the probe sequences wrap around the table.
			block := ^uint64(0) - rapid.Uint64Range(0, 150).Draw(t, "block")<<40
			e := store(seq, block)
			if rapid.Bool().Draw(t, "evict") {
				e = evict(seq, block)
			}
			model[block] = e.Op == sycprefix.Store
			cache.Apply(0, "i", seq, seq+1, []sycprefix.Event{e})
			seq++
		}
		n := 0
		for block, cached := range model {
			must.Eq(t, cached, cache.Match(0, []uint64{block}).Confirmed == 1)
			if cached {
				n++
			}
		}
		must.Eq(t, n, cache.Len())
	})
}
