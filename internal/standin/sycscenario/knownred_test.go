//go:build knownred

package sycscenario_test

import (
	"testing"

	"sycamorecart.example/sycamorecart/internal/standin/sycscenario"
)

// TestKnownRedDomainAlone guards against calls in a failure domain that is cut off from everything which are neither
// answered nor refused.
func TestKnownRedDomainAlone(t *testing.T) {
	for _, s := range sycscenario.Scenarios() {
		if s.Name() == domainAlone {
			checkScenario(t, s, options(t))
		}
	}
}
