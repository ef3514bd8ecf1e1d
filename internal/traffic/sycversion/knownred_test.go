//go:build knownred

package sycversion_test

import (
	"testing"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// TestKnownRedSlowAfterDone is the case of TestFaultAfterDone that KNOWN-RED.txt lists.
func TestKnownRedSlowAfterDone(t *testing.T) {
	faultAfterDone(t, sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeSlow, Factor: 24})
}
