package sycmember_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
)

// TestGoneWhileLeasesAreRenewed checks that a removed VM counts as gone although a
// neighbour reports a new offset of the system stream every three seconds, as it does
// while a lease is renewed.
func TestGoneWhileLeasesAreRenewed(t *testing.T) {
	self, neighbour, removed := vm(0), vm(1), vm(2)
	r := sycmember.New(self, sycmember.Settings{ListLag: lag})
	r.Expect([]sycmember.VM{removed})
	for second := range 60 {
		now := time.Duration(second) * time.Second
		r.ApplyList(now, []sycmember.VM{self, neighbour})
		if second%3 == 0 {
			r.ApplyReport(now, now, sycmember.Report{VM: neighbour, SystemNext: uint64(second)})
		}
	}
	must.True(t, r.Gone(removed.Address))
}
