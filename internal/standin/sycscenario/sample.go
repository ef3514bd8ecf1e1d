package sycscenario

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
)

// samplePeriod is the time between two readings of the VMs' status, and the timeout of
// one status request.
const samplePeriod = 250 * time.Millisecond

// sampleOffsets reads the configuration offset that each VM has applied, once every
// samplePeriod until the context ends. It leaves out VMs that don't respond.
func (r *run) sampleOffsets(ctx context.Context) []sycoracle.Applied {
	var samples []sycoracle.Applied
	for sycpause.For(ctx, samplePeriod) {
		for _, router := range r.Routers() {
			if s, ok := readStatus(ctx, router); ok {
				samples = append(samples, sycoracle.Applied{
					VM:          router.Name(),
					Incarnation: s.Incarnation,
					At:          time.Now(),
					Offset:      s.ConfigOffset(),
				})
			}
		}
	}
	return samples
}

// readStatus requests a VM's status. It returns false if the VM doesn't respond within
// samplePeriod.
func readStatus(ctx context.Context, router *sycdeploy.Router) (sycdeploy.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, samplePeriod)
	defer cancel()
	return router.Status(ctx)
}
