package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

// rollout is a service's move to another release.
type rollout struct {
	Rollout
	asked  time.Duration
	offset int64
}

func (f *Fleet) rolloutAsked(now time.Duration, r Rollout, offset int64) {
	f.rollouts[r.Service] = &rollout{Rollout: r, asked: now, offset: offset}
}

func (f *Fleet) rolloutTick(time.Duration) {}

func (f *Fleet) addRollouts(time.Duration, *sycgossippb.State) {}

func (f *Fleet) heardRollouts(time.Duration, *sycgossippb.State) {}
