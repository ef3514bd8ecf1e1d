package sycgateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

const (
	// cancelWorkers is the number of cancellations sent at the same time, and
	// cancelDepth the number that may wait.
	cancelWorkers  = 16
	cancelQueueLen = 1024
	// cancelTries and cancelPause cover an engine that is still reading the
	// request that is to be cancelled.
	cancelTries      = 3
	cancelRetryDelay = 100 * time.Millisecond
)

// cancelLater hands a stream to the workers that cancel. An engine that is
// never told goes on until the stream's end; nothing but its time is lost.
func (g *Gateway) enqueueCancel(call sycstream.Call) {
	select {
	case g.cancelQueue <- call:
	default:
		logrus.Warn("gateway: too many streams to cancel, one was left to end by itself")
	}
}

func (g *Gateway) sendCancel(call sycstream.Call) {
	ctx, stop := context.WithTimeout(context.Background(), g.limits.Cancel)
	defer stop()
	for range cancelTries {
		known, err := g.engines.Cancel(ctx, call)
		if known || err != nil {
			return
		}
		if !sycpause.For(ctx, cancelRetryDelay) {
			return
		}
	}
}
