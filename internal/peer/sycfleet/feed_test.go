package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNewsReachAllWithinTheirBounds follows from the feeds' times what passes at most until
// a VM knows of a record, with the two readers alive and without them.
func TestNewsReachAllWithinTheirBounds(t *testing.T) {
	// told is a period of gossip and what a message may take.
	const told = gossipPeriod + 50*time.Millisecond
	for _, bound := range []time.Duration{time.Second, 1200 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		feeds := newFeeds(bound, bound)
		for _, name := range []string{TopicOperator, TopicEndpoints} {
			d := feeds[name]
			must.Less(t, bound, d.pause+told, must.Sprint(name, bound))
			must.Less(t, bound, d.stale+2*retryPause, must.Sprint(name, bound))
			must.Less(t, d.stale, d.wait+told, must.Sprint(name, bound, ": VMs read for themselves though the readers live"))
		}
		endpoints := feeds[TopicEndpoints]
		must.LessEq(t, time.Second, endpoints.pause, must.Sprint(bound))
		must.Less(t, bound, endpoints.pause+told+scaled(bound, latePart), must.Sprint(bound, ": a drop is held for too long"))
	}
}

func TestAgeOfChanges(t *testing.T) {
	tests := []struct {
		name string
		// fresh is when the state was last known, 0 for a VM that starts.
		fresh time.Duration
		now   time.Duration
		want  time.Duration
	}{
		{"at its start", 0, 5 * time.Second, 5*time.Second - longAgo},
		{"reads all the while", 4 * time.Second, 5 * time.Second, 5 * time.Second},
		{"wakes after four seconds", 5 * time.Second, 9 * time.Second, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newFeeds(2*time.Second, 2*time.Second)[TopicOperator]
			if tt.fresh > 0 {
				d.refreshed(tt.fresh, tt.fresh)
				d.started = true
			}
			d.refreshed(tt.now, tt.now)
			must.Eq(t, tt.want, d.happened(tt.now))
			// A second message that lay in a buffer meanwhile brings the change.
			d.refreshed(tt.now+1, tt.now+1)
			must.LessEq(t, tt.want+1, d.happened(tt.now+1))
		})
	}
}
