package sycgateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

const (
	// cancelWorkers is the number of goroutines that send cancellations to engines.
	cancelWorkers = 16
	// cancelQueueLen limits the cancellations that wait for a worker.
	cancelQueueLen = 1024
	// cancelTries is how often a cancellation is sent if the engine doesn't know
	// the stream. The engine may still be reading the request to be cancelled.
	cancelTries = 3
	// cancelRetryDelay is the pause before a cancellation is sent again.
	cancelRetryDelay = 100 * time.Millisecond
)

// enqueueCancel queues the cancellation of a stream at its engine. If the queue is
// full, the cancellation is dropped and the engine generates the stream to its end,
// which costs only its time.
func (g *Gateway) enqueueCancel(call sycstream.Request) {
	select {
	case g.cancelQueue <- call:
	default:
		logrus.Warn("gateway: the queue of cancellations is full, an engine was not asked to cancel its stream")
	}
}

// sendCancel asks the engine to cancel a stream, until it knows the stream, the
// request fails or the tries are used up.
func (g *Gateway) sendCancel(call sycstream.Request) {
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
