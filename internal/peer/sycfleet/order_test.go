package sycfleet

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// TestOlderRecordOfAnEndpointIsIgnoredAfterARestore guards against an endpoint that has left, restarted or gone on and
// gets requests as it was before.
func TestOlderRecordOfAnEndpointIsIgnoredAfterARestore(t *testing.T) {
	first := sycplace.Endpoint{ID: "e", Incarnation: 5, Sequence: 3}
	left := sycplace.Endpoint{ID: "e", Incarnation: 5, Sequence: 3, Leaving: true}
	tests := []struct {
		name   string
		before sycplace.Endpoint
		after  sycplace.Endpoint
		era    int64
		want   bool
	}{
		{"same record", first, first, 1, true},
		{"it has left", left, first, 1, false},
		{"it leaves", first, left, 1, true},
		{"lower sequence", first, sycplace.Endpoint{ID: "e", Incarnation: 5, Sequence: 2}, 1, false},
		{"older start", first, sycplace.Endpoint{ID: "e", Incarnation: 4, Sequence: 9}, 1, false},
		{"newer start", left, sycplace.Endpoint{ID: "e", Incarnation: 6}, 1, true},
		{"older start without a restore", first, sycplace.Endpoint{ID: "e", Incarnation: 4}, 0, true},
		{"another writer", first, sycplace.Endpoint{ID: "e"}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &endpointOrders{byID: map[string]endpointOrder{}}
			must.True(t, o.admit(sycfeed.Position{Offset: 9}, tt.before))
			must.Eq(t, tt.want, o.admit(sycfeed.Position{Era: tt.era, Offset: 4}, tt.after))
		})
	}
}
