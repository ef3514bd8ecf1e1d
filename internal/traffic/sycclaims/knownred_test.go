//go:build knownred

package sycclaims_test

import (
	"testing"

	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// TestKnownRedLostAnswers is the case of TestDuplicatesAtAllVMsRunOnce that KNOWN-RED.txt lists.
func TestKnownRedLostAnswers(t *testing.T) {
	runDuplicates(t, duplicates{"lost answers of the log", sycplatform.Faults{LoseAppends: 5}, 10})
}
