// Package sycnode runs one VM that joins a fleet: its listeners, its part in the
// fleet, and its end.
package sycnode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
	"sycamorecart.example/sycamorecart/internal/traffic/sycrelay"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// idleTime is how long callers may keep an idle connection; the operator's
	// own bound is below it.
	idleTime = 2 * time.Minute
	// headerTime bounds the time for a request's head.
	headerTime = 10 * time.Second
	// headerBytes bounds a request's head.
	headerBytes = 64 << 10
	// settleTime is what the balancer takes to turn away from a VM that is not
	// ready: it asks once a second, and turns away after two misses.
	settleTime = 2600 * time.Millisecond
	// endMargin is kept between the last request and the end of the grace period.
	endMargin = 600 * time.Millisecond
	// memoryPart is the part of the memory that the runtime may use; the rest is
	// for stacks, buffers and code.
	memoryPart = 0.75
	megabyte   = 1 << 20
)

// Options configures a Node.
type Options struct {
	Settings *sycsetting.Node
	Fleet    *sycfleet.Fleet
	Codec    sycrelay.Codec
	Client   *sycwire.Client
}

// Node is a running VM.
type Node struct {
	tomb    tomb.Tomb
	options Options
	log     *logrus.Entry
	relay   *sycrelay.Relay
	servers []*http.Server
	// callers is the server of callers, one of servers.
	callers *http.Server
}

// New starts to serve.
func New(o Options) (*Node, error) {
	n := &Node{
		options: o,
		log:     logrus.WithField("part", "node"),
		relay:   sycrelay.New(sycrelay.Options{Fleet: o.Fleet, Codec: o.Codec, Client: o.Client}),
	}
	Apply(o.Settings)
	listens := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{o.Settings.Callers, n.relay},
		{o.Settings.Readiness, http.HandlerFunc(n.ready)},
		{o.Settings.Metrics, http.HandlerFunc(serveMetrics)},
	}
	for _, l := range listens {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return nil, errors.Join(eris.Wrapf(err, "listen on %s", l.address), n.Close())
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: headerTime,
			IdleTimeout:       idleTime,
			MaxHeaderBytes:    headerBytes,
			ErrorLog:          nil,
		}
		server.ErrorLog = quiet
		n.servers = append(n.servers, server)
		n.tomb.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "serve")
			}
			return nil
		})
	}
	n.callers = n.servers[0]
	n.log.WithFields(logrus.Fields{"name": o.Settings.Name, "callers": o.Settings.Callers.String()}).Info("node: started")
	return n, nil
}

// Apply takes over the settings that may change while a VM runs.
func Apply(s *sycsetting.Node) {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Memory) * megabyte))
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		logrus.SetLevel(level)
	}
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if n.options.Fleet.Ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// Drain finishes all requests and returns when none is left or the grace period
// ends.
func (n *Node) Drain() error {
	start := time.Now()
	n.log.Info("node: draining")
	n.relay.Drain()
	n.options.Fleet.Leave()
	time.Sleep(time.Until(start.Add(settleTime)))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(n.options.Settings.Grace-endMargin))
	defer cancel()
	err := n.callers.Shutdown(ctx)
	n.log.WithField("took", time.Since(start).String()).Info("node: drained")
	return eris.Wrap(err, "finish requests")
}

// Close ends all listeners and connections and waits for their goroutines.
func (n *Node) Close() error {
	n.tomb.Kill(nil)
	var err error
	for _, s := range n.servers {
		err = errors.Join(err, s.Close())
	}
	if len(n.servers) > 0 {
		err = errors.Join(err, n.tomb.Wait())
	}
	return errors.Join(err, n.options.Fleet.Close(), n.options.Client.Close())
}

var _ io.Closer = (*Node)(nil)
