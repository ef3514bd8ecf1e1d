package sycrollout

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of buckets of a duration histogram.
	BucketCount = 64
	// bucketLow is the upper end of the first bucket.
	bucketLow = time.Millisecond
	// bucketsPerDoubling sets the resolution.
	bucketsPerDoubling = 4
)

// Buckets counts durations on a logarithmic scale, from 1 ms to about 46 s.
type Buckets [BucketCount]uint64

// Add counts a duration.
func (b *Buckets) Add(d time.Duration) {
	b[bucketOf(d)]++
}

func bucketOf(d time.Duration) int {
	if d <= bucketLow {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(bucketLow))
	return min(int(math.Ceil(doublings*bucketsPerDoubling)), BucketCount-1)
}

// Total is the number of durations counted.
func (b *Buckets) Total() uint64 {
	var n uint64
	for _, c := range b {
		n += c
	}
	return n
}

// Quantile is the upper end of the bucket that holds the given quantile; 0 if
// the histogram is empty.
func (b *Buckets) Quantile(q float64) time.Duration {
	if b.Total() == 0 {
		return 0
	}
	return bucketEnd(b.quantileBucket(q))
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(bucketLow) * math.Exp2(float64(i)/bucketsPerDoubling))
}

func (b *Buckets) quantileBucket(q float64) int {
	wanted := uint64(math.Ceil(q * float64(b.Total())))
	var n uint64
	for i, c := range b {
		n += c
		if n >= wanted {
			return i
		}
	}
	return BucketCount - 1
}

// above is the number of durations in buckets after i.
func (b *Buckets) above(i int) uint64 {
	var n uint64
	for _, c := range b[i+1:] {
		n += c
	}
	return n
}

func (b *Buckets) add(other *Buckets) {
	for i, c := range other {
		b[i] += c
	}
}

// addLonger adds counts as if each duration were longer by some buckets, and returns how
// many.
func (b *Buckets) addLonger(other *Buckets, buckets int) uint64 {
	total := uint64(0)
	for i, c := range other {
		b[min(i+buckets, BucketCount-1)] += c
		total += c
	}
	return total
}

// subtract removes an earlier reading of the same counts.
func (b *Buckets) subtract(earlier *Buckets) {
	for i, c := range earlier {
		b[i] -= min(c, b[i])
	}
}
