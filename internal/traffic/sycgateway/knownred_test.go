//go:build knownred

package sycgateway_test

import (
	"testing"

	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// TestKnownRedDuplicateKeys is the case of TestDuplicateKeysAtTwoGateways in which the log's answers to appends are
// lost.
func TestKnownRedDuplicateKeys(t *testing.T) {
	testDuplicateKeys(t, []duplicateKeys{
		{"lost answers of the log", sycservice.Faults{}, sycplatform.Faults{LoseAppends: 4}, sycfault.Fault{}, 200},
	})
}
