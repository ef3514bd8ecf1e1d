package sycrollout

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of buckets of a duration histogram.
	BucketCount = 64
	// firstBucketEnd is the upper bound of the first bucket.
	firstBucketEnd = time.Millisecond
	// bucketsPerDoubling is the resolution of the histogram: a bucket's upper bound is
	// twice that of the bucket so many places before.
	bucketsPerDoubling = 4
)

// Buckets is a histogram of durations with logarithmic buckets from 1 ms to about 46 s.
// The last bucket counts all longer durations.
type Buckets [BucketCount]uint64

// Add counts a duration.
func (b *Buckets) Add(d time.Duration) {
	b[bucketIndex(d)]++
}

// bucketIndex returns the index of the bucket that counts the duration.
func bucketIndex(d time.Duration) int {
	if d <= firstBucketEnd {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(firstBucketEnd))
	return min(int(math.Ceil(doublings*bucketsPerDoubling)), BucketCount-1)
}

// Total returns the number of counted durations.
func (b *Buckets) Total() uint64 {
	var n uint64
	for _, c := range b {
		n += c
	}
	return n
}

// Quantile returns the upper bound of the bucket that has the quantile q, which is from
// 0 to 1. It returns 0 if the histogram is empty.
func (b *Buckets) Quantile(q float64) time.Duration {
	if b.Total() == 0 {
		return 0
	}
	return bucketEnd(b.quantileBucket(q))
}

// bucketEnd returns the upper bound of bucket i.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Exp2(float64(i)/bucketsPerDoubling))
}

// quantileBucket returns the index of the bucket that has the quantile q.
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

// countAbove returns the number of durations in the buckets after bucket i.
func (b *Buckets) countAbove(i int) uint64 {
	var n uint64
	for _, c := range b[i+1:] {
		n += c
	}
	return n
}

// add adds the counts of another histogram.
func (b *Buckets) add(other *Buckets) {
	for i, c := range other {
		b[i] += c
	}
}

// addShifted adds the counts of another histogram as if each duration were longer by a
// number of buckets. It returns the number of durations added.
func (b *Buckets) addShifted(other *Buckets, buckets int) uint64 {
	total := uint64(0)
	for i, c := range other {
		b[min(i+buckets, BucketCount-1)] += c
		total += c
	}
	return total
}

// subtract removes the counts of an earlier state of the same histogram.
func (b *Buckets) subtract(earlier *Buckets) {
	for i, c := range earlier {
		b[i] -= min(c, b[i])
	}
}
