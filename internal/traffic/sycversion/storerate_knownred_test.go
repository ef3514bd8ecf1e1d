//go:build knownred

package sycversion_test

import (
	"testing"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// TestKnownRedStoreRate has the store deliver weights too slowly for the deadline: the
// version is rolled back before it.
func TestKnownRedStoreRate(t *testing.T) {
	t.Parallel()
	rateCase{rate: 256 << 10, deadline: 40 * time.Second, state: sycrollout.StateRolledBack}.run(t)
}
