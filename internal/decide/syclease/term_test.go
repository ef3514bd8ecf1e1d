package syclease_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclease"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// TestTerm follows the lowest fencing number of a holding over renewals, other
// holders and records that the VM has not read one by one.
func TestTerm(t *testing.T) {
	const own, other = "127.0.0.1:1", "127.0.0.1:2"
	tests := []struct {
		name string
		// holders of the records at the offsets 0, 1, …
		holders []string
		// read lists the offsets that the VM reads.
		read []uint64
		want uint64
	}{
		{"first", []string{own}, []uint64{0}, 0},
		{"renewed", []string{other, own, own, own}, []uint64{0, 1, 2, 3}, 1},
		{"lost and taken again", []string{own, own, other, own}, []uint64{0, 1, 2, 3}, 3},
		{"not all were read", []string{own, other, own}, []uint64{0, 2}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := syclease.NewTracker(own, "1", duration)
			state := sycconfig.NewState()
			for i, holder := range tt.holders {
				state = grant(t, state, proposal{
					fields: sycrecord.LeaseFields{Address: holder, Incarnation: "1", Duration: sycrecord.Duration(duration)},
					expect: uint64(i),
				})
				lease, ok := state.Lease("rollout")
				must.True(t, ok)
				if len(tt.read) > 0 && tt.read[0] == lease.Offset() {
					tracker.Observe(0, lease)
					tt.read = tt.read[1:]
				}
			}
			must.Eq(t, tt.want, tracker.Term())
		})
	}
}
