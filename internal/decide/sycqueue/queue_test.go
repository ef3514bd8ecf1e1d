package sycqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
)

type queue = sycqueue.Queue[string]

// pop takes the next request in fair order and returns its value, or an empty string.
func pop(q *queue) string {
	got := ""
	q.Next(func(e *sycqueue.Entry[string]) bool {
		got = e.Value()
		return true
	})
	return got
}

// push adds a request whose value is the customer's name and whose deadline is a minute away.
func push(q *queue, now time.Duration, customer string, weight, work float64) {
	q.Push(now, customer, weight, work, now+time.Minute, customer)
}

// TestSharesFollowWeights takes requests while two customers always have some waiting,
// and checks that the work taken from each is in proportion to its weight.
func TestSharesFollowWeights(t *testing.T) {
	tests := []struct {
		name    string
		weights map[string]float64
		work    map[string]float64
		want    map[string]int
	}{
		{"equal", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 100, "b": 100}, map[string]int{"a": 30, "b": 30}},
		{"weighted", map[string]float64{"a": 2, "b": 1}, map[string]float64{"a": 100, "b": 100}, map[string]int{"a": 40, "b": 20}},
		{"unequal work", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 300, "b": 100}, map[string]int{"a": 15, "b": 45}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := sycqueue.New[string](sycqueue.Limits{})
			for range 100 {
				push(q, 0, "a", tt.weights["a"], tt.work["a"])
				push(q, 0, "b", tt.weights["b"], tt.work["b"])
			}
			got := map[string]int{}
			for range 60 {
				got[pop(q)]++
			}
			must.Eq(t, tt.want, got)
		})
	}
}

func TestBurstDoesNotDelayOthers(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{})
	for range 500 {
		push(q, 0, "greedy", 1, 100)
	}
	for range 50 {
		pop(q)
	}
	push(q, time.Second, "modest", 1, 100)
	must.Eq(t, "modest", pop(q))
}

func TestSmallBeforeLargeWithoutStarving(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{})
	q.Push(0, "a", 1, 32_000, time.Minute, "large")
	q.Push(0, "a", 1, 100, time.Minute, "small")
	must.Eq(t, "small", pop(q))
	for i := range 100 {
		q.Push(time.Duration(i)*time.Second, "a", 1, 100, time.Hour, "small")
		if pop(q) == "large" {
			must.LessEq(t, 15, i)
			return
		}
	}
	t.Fatal("the large request starved")
}

func TestFullQueueShedsTheHeaviest(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{PerCustomer: 8, Total: 10})
	for range 8 {
		push(q, 0, "greedy", 1, 100)
	}
	_, shed := q.Push(0, "greedy", 1, 100, time.Minute, "over")
	must.Eq(t, "over", shed.Value())
	for i := range 3 {
		_, shed = q.Push(time.Duration(i), fmt.Sprint(i), 1, 100, time.Minute, "modest")
	}
	must.Eq(t, "greedy", shed.Value())
	must.Eq(t, 10, q.Len())
}

func TestChargeFromOtherVMs(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{})
	for range 100 {
		push(q, 0, "a", 1, 100)
		push(q, 0, "b", 1, 100)
	}
	q.Charge("a", 1, 1000, 10_000)
	for range 10 {
		must.Eq(t, "b", pop(q))
	}
	q.Charge("a", 1, 1e9, 1000)
	got := map[string]int{}
	for range 40 {
		got[pop(q)]++
	}
	must.Greater(t, 10, got["a"])
}

func TestExpiredAndCorrected(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{})
	q.Push(0, "a", 1, 100, time.Second, "short")
	q.Push(0, "a", 1, 100, time.Minute, "long")
	q.Push(0, "b", 1, 100, time.Minute, "b")
	must.Len(t, 0, q.Expired(time.Second-1))
	expired := q.Expired(time.Second)
	must.Len(t, 1, expired)
	must.Eq(t, "short", expired[0].Value())
	q.Correct("a", 500)
	must.Eq(t, "b", pop(q))
	must.Eq(t, "long", pop(q))
	must.Eq(t, 0, q.Len())
}

func TestWaitEstimate(t *testing.T) {
	q := sycqueue.New[string](sycqueue.Limits{})
	must.Eq(t, 0, q.Wait("a", 1, 100))
	for range 10 {
		push(q, 0, "greedy", 1, 100)
	}
	must.Eq(t, 0, q.Wait("modest", 1, 100))
	must.Eq(t, 10*time.Second, q.Wait("greedy", 1, 100))
	must.Eq(t, 0, q.Wait("greedy", 1, 0))
}

// TestLengthCountsWaitingRequests makes random calls and checks that Len counts the
// requests that were pushed and have not left the queue since.
func TestLengthCountsWaitingRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := sycqueue.New[string](sycqueue.Limits{PerCustomer: 10, Total: 25})
		var entries []*sycqueue.Entry[string]
		pushed, removed := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer")
				work := rapid.Float64Range(1, 1000).Draw(t, "work")
				e, shed := q.Push(now, name, 1, work, now+20*time.Millisecond, name)
				entries = append(entries, e)
				pushed++
				if shed != nil {
					removed++
				}
			case 2:
				if q.Next(func(*sycqueue.Entry[string]) bool { return true }) {
					removed++
				}
			case 3:
				removed += len(q.Expired(now))
			}
			must.Eq(t, pushed-removed, q.Len())
		}
		for _, e := range entries {
			q.Remove(e)
		}
		must.Eq(t, 0, q.Len())
		must.False(t, q.Next(func(*sycqueue.Entry[string]) bool { return true }))
	})
}
