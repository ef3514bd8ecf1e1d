package sycfleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCachePosition guards against a late copy of cache events that is applied over newer ones, and against a restarted
// engine's events that are taken for one.
func TestCachePosition(t *testing.T) {
	read := cachePosition{next: 20, epoch: 7}
	tests := []struct {
		name  string
		from  cachePosition
		epoch int64
		next  int64
		want  cacheProgress
		to    cachePosition
	}{
		{"first", cachePosition{}, 7, 20, cacheAdvanced, read},
		{"new events", read, 7, 25, cacheAdvanced, cachePosition{next: 25, epoch: 7}},
		{"none", read, 7, 20, cacheAdvanced, read},
		{"late copy", read, 7, 19, cacheOutdated, read},
		{"restarted", read, 8, 3, cacheRestarted, cachePosition{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := tt.from
			must.Eq(t, tt.want, p.advance(CacheEvents{Epoch: tt.epoch, Next: tt.next}))
			must.Eq(t, tt.to, p)
		})
	}
}
