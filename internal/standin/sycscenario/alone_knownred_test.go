//go:build knownred

package sycscenario_test

import (
	"testing"

	"sycamorecart.example/sycamorecart/internal/standin/sycscenario"
)

// TestKnownRedDomainAlone cuts a failure domain off from the others and the platform.
func TestKnownRedDomainAlone(t *testing.T) {
	o := options(t)
	for _, s := range sycscenario.Scenarios() {
		if s.Name() == knownRed {
			hold(t, s, o)
			return
		}
	}
	t.Fatalf("no scenario %q", knownRed)
}
