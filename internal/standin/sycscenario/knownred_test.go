//go:build knownred

package sycscenario_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycscenario"
)

// TestKnownRed runs the scenarios whose breaches KNOWN-RED.txt lists.
func TestKnownRed(t *testing.T) {
	o := options(t)
	for _, k := range knownRed() {
		for _, s := range sycscenario.Scenarios() {
			if s.Name() != k.scenario {
				continue
			}
			ledger, _, err := sycscenario.Run(context.Background(), s, o)
			must.NoError(t, err)
			must.Eq(t, 0, ledger.Broken(k.property), must.Sprint(ledger.Notes(k.property)))
		}
	}
}
