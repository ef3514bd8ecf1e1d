package sycrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

const (
	// maxReturnWait is how long a stream that has begun waits for an endpoint that goes on with it. Callers give up
	// on a stream that is silent for longer.
	maxReturnWait = 2 * time.Second
	// minReturnPause and maxReturnPause limit the pause before the endpoints are asked again, which doubles each time.
	minReturnPause = 100 * time.Millisecond
	maxReturnPause = 400 * time.Millisecond
)

// returns tracks how a stream that no endpoint goes on with waits and goes back to those that it has been sent to.
type returns struct {
	// until is when the stream is given up, the zero time while it hasn't waited since its last event.
	until time.Time
	// pause is the last pause.
	pause time.Duration
}

// next returns the next pause. Wish is how long the endpoints want to be left alone. Share, from 0 to 1, shortens the pause by
// up to a half, but not below the wish, so that streams that broke off together don't return together. It returns false once
// the wait would be longer than maxReturnWait since the first pause.
func (r *returns) next(now time.Time, wish time.Duration, share float64) (time.Duration, bool) {
	if r.until.IsZero() {
		r.until = now.Add(maxReturnWait)
	}
	r.pause = min(max(2*r.pause, minReturnPause), maxReturnPause)
	pause := max(r.pause-time.Duration(share*float64(r.pause/2)), wish)
	return pause, now.Add(pause).Before(r.until)
}

// mayReturn reports whether the call may wait for endpoints: a part of its stream has gone to the caller, and another
// endpoint may go on with it. Other calls get an answer, a refusal or a failure, and their callers come back by themselves.
func (x *exchange) mayReturn() bool {
	return x.answering && x.route.Kind == sycsite.Stream && x.route.Repeats() && x.verdict == nil
}

// awaitReturn waits until the endpoints may be asked again, also those that were tried. It returns false if the call may not
// wait, or not that long.
func (x *exchange) awaitReturn(ctx context.Context) bool {
	if !x.mayReturn() {
		return false
	}
	pause, ok := x.returns.next(time.Now(), x.relay.fleet.PauseLeft(x.request), rand.Float64())
	if !ok || time.Until(x.deadline) < pause+minRemaining {
		return false
	}
	metrics.GetOrCreateCounter("sycamorecart_stream_waits_total").Inc()
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "route": x.route.Name, "after_event": x.lastEvent, "tried": x.tried, "pause": pause.String(), "rejections": x.rejections,
	}).Info("relay: stream waits for an endpoint")
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	x.tried, x.rejections = nil, 0
	return true
}
