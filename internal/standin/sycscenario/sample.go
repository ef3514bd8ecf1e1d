package sycscenario

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
)

// samplePeriod is how often the VMs' status is read.
const samplePeriod = 250 * time.Millisecond

// sample reads the applied offsets of all VMs until the context ends.
func (r *run) sample(ctx context.Context) []sycoracle.Applied {
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

func readStatus(ctx context.Context, router *sycdeploy.Router) (sycdeploy.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, samplePeriod)
	defer cancel()
	return router.Status(ctx)
}
