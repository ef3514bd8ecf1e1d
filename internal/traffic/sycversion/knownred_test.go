//go:build knownred

package sycversion_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// TestKnownRedKilledLeader guards against a good version that is rolled back after its leader was
// killed.
func TestKnownRedKilledLeader(t *testing.T) {
	t.Parallel()
	last := killLeader(t)
	must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
}

// TestKnownRedFailsAfterDone guards against a version that fails and keeps its requests for too long.
func TestKnownRedFailsAfterDone(t *testing.T) {
	t.Parallel()
	must.LessEq(t, maxFaultyShare, faultyShareAfterDone(t, failingVersion))
}
