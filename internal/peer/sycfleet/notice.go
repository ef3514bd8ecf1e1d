package sycfleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

var (
	// noticesLeaving counts the endpoints that this VM learned from an answer to be leaving.
	noticesLeaving = metrics.GetOrCreateCounter(`sycamorecart_endpoint_notices_total{notice="leaving"}`)
	// noticesPause counts the pauses that endpoints asked this VM for.
	noticesPause = metrics.GetOrCreateCounter(`sycamorecart_endpoint_notices_total{notice="pause"}`)
)

// ApplyNotice records what an endpoint has said about itself in an answer. Source names the
// answered request by its ID, or the call to an engine by its path. Requests that are admitted
// after ApplyNotice returns are selected by the notice.
func (f *Fleet) ApplyNotice(source string, e sycplace.Endpoint, n sycplace.Notice) {
	if !n.IsNews() && !(n.Unlimited && f.limited.Load()) {
		return
	}
	f.loop.Post(func(now time.Duration) {
		news := f.selector.ApplyNotice(now, e.ID, e.Incarnation, n)
		line := f.log.WithFields(logrus.Fields{
			"id": source, "endpoint": e.ID, "incarnation": e.Incarnation, "address": e.Address, "service": e.Service,
		})
		if news.Leaving {
			noticesLeaving.Inc()
			line.Info("fleet: endpoint says that it leaves")
		}
		if news.Pause > 0 {
			noticesPause.Inc()
			line.WithFields(logrus.Fields{"asked": n.Pause.String(), "pause": news.Pause.String()}).Info("fleet: endpoint asks for a pause")
		}
		f.noteLimitNews(now, line, news)
	})
}

// PauseLeft returns the time until the first endpoint that serves a request ends its pause and its
// limit allows a request, 0 if there is one without either.
func (f *Fleet) PauseLeft(r *sycplace.Request) time.Duration {
	var left time.Duration
	f.loop.Do(func(now time.Duration) { left = f.selector.PauseLeft(now, r) })
	return left
}
