package sycfleet

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// busyEngines are engines that carry out an order for a number of reports.
type busyEngines struct {
	Engines
	reports int
}

// Report implements Engines.
func (b *busyEngines) Report(context.Context, sycplace.Endpoint) (EngineReport, error) {
	b.reports--
	busy := b.reports >= 0
	version := int64(2)
	if busy {
		version = 1
	}
	return EngineReport{Busy: busy, Weights: map[string]int64{"m": version}}, nil
}

// TestLoadLastsWhileTheEngineIsBusy guards against a load that counts as failed while its engine waits for running requests.
func TestLoadLastsWhileTheEngineIsBusy(t *testing.T) {
	f := newNetwork(t, 1).vms[0]
	f.options.Engines = &busyEngines{reports: maxLoadPolls + 2}
	e, _ := f.selector.Endpoint("e")
	must.NoError(t, f.loadWeights(e, Weights{Model: "m", Version: 2}, false))
}
