package sycprefix_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
)

// newFilledCache returns a cache of n blocks that include the prompt's.
func newFilledCache(n int, prompt []uint64) *sycprefix.Cache {
	cache := sycprefix.NewCache(sycprefix.TTL{})
	cache.SetLimit(n)
	blocks := append(chain(rand.Uint64(), n-len(prompt)), prompt...)
	cache.Resync(0, "i", 0, blocks)
	return cache
}

func BenchmarkMatch(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 13, 1 << 16} {
		for _, length := range []int{50, 500} {
			b.Run(fmt.Sprintf("blocks=%d/prompt=%d", size, length), func(b *testing.B) {
				prompt := chain(7, length)
				cache := newFilledCache(size, prompt)
				for b.Loop() {
					cache.Match(0, prompt)
				}
				b.ReportMetric(float64(cache.Bytes())/float64(cache.Len()), "B/block")
			})
		}
	}
}

func BenchmarkStore(b *testing.B) {
	cache := newFilledCache(1<<16, nil)
	blocks := chain(3, 1<<18)
	i := 0
	for b.Loop() {
		cache.Predict(0, blocks[i:i+1])
		i = (i + 1) % len(blocks)
	}
}
