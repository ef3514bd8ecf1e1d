package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
			d := newFeeds()[FeedOperator]
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
