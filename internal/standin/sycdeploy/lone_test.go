package sycdeploy_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLoneVMServes stops every VM and restarts one of them at its old address. The VM
// must serve requests at the rate of its own slot, although no other VM responds to it.
func TestLoneVMServes(t *testing.T) {
	d := deploy(t, "bottlers")
	for _, r := range d.Routers() {
		must.NoError(t, r.Stop())
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	first := d.Routers()[0]
	must.NoError(t, first.Start())
	must.NoError(t, d.AwaitReady(ctx))
	before := received(d)
	after := loadUntilReceived(t, d, first)
	must.Greater(t, before[first.FailureDomain()], after[first.FailureDomain()])
}
