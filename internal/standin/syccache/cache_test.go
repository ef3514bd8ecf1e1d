package syccache_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/syccache"
)

func TestEvictsLeastRecentlyUsed(t *testing.T) {
	tests := []struct {
		name string
		// use is a chain that is looked up before add is stored.
		use []uint64
		add []uint64
		// stored and evicted are the hashes that Store is expected to return.
		stored  []uint64
		evicted []uint64
	}{
		{"below capacity", nil, []uint64{5}, []uint64{5}, nil},
		{"ends of chains first", nil, []uint64{5, 6}, []uint64{5, 6}, []uint64{3}},
		{"recently used blocks stay", []uint64{1, 2, 3}, []uint64{5, 6}, []uint64{5, 6}, []uint64{4}},
		{"cached blocks are not new", nil, []uint64{1, 2, 5}, []uint64{5}, nil},
		{"larger than the cache", nil, []uint64{5, 6, 7, 8, 9, 10}, []uint64{5, 6, 7, 8, 9}, []uint64{3, 2, 1, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cache := syccache.New(5)
			cache.Store("s", "w", []uint64{1, 2, 3})
			cache.Store("t", "v", []uint64{4})
			cache.MatchPrefix(tt.use)
			stored, evicted := cache.Store("s", "w", tt.add)
			must.Eq(t, tt.stored, stored)
			var hashes []uint64
			for _, block := range evicted {
				hashes = append(hashes, block.Hash())
			}
			must.Eq(t, tt.evicted, hashes)
		})
	}
}

func TestSeparatesSaltsAndWeights(t *testing.T) {
	cache := syccache.New(5)
	cache.Store("s", "w", []uint64{1, 2})
	cache.Store("t", "v", []uint64{4})
	must.Eq(t, []uint64{1}, cache.Cached("s", []uint64{1, 4, 9}))
	must.Len(t, 2, cache.DropWeights("w"))
	must.Eq(t, []uint64{4}, cache.Hashes())
	must.Eq(t, 0, cache.MatchPrefix([]uint64{1, 2}))
}
