// Package sycnode runs one VM of a fleet: its listeners, its membership of the fleet, and its
// drain and shutdown. A fleet is the set of VMs of one deployment.
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
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
	"sycamorecart.example/sycamorecart/internal/traffic/syccallers"
	"sycamorecart.example/sycamorecart/internal/traffic/sycending"
	"sycamorecart.example/sycamorecart/internal/traffic/sycrelay"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// idleTimeout limits how long callers may keep an idle connection if the configuration names no limit.
	idleTimeout = 2 * time.Minute
	// headerTimeout limits the time to read a request's line and headers if the configuration names no limit.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's line and headers. Configurations may only lower it.
	maxHeaderBytes = 64 << 10
	// balancerDelay is how long the load balancer may still send new connections to a VM
	// that isn't ready: it checks once a second and stops after two failed checks.
	balancerDelay = 2600 * time.Millisecond
	// shutdownMargin is the time kept between the deadline for running requests and the
	// end of the grace period.
	shutdownMargin = 600 * time.Millisecond
	// cutTime limits how long the requests that are cut when the VM stops may take to end.
	cutTime = 200 * time.Millisecond
	// memoryFraction is the fraction of the VM's memory limit that is set as the Go
	// runtime's soft limit. The rest is for stacks, buffers and code.
	memoryFraction = 0.75
	// budgetFraction is the fraction of the VM's memory limit that bodies of requests and answers in transit may
	// hold. An idle VM takes about 30 MB, and connections and garbage need room below the soft limit.
	budgetFraction = 0.25
	// bytesPerMB converts the memory setting to bytes.
	bytesPerMB = 1 << 20
)

// Options configures a Node.
type Options struct {
	// Settings holds the VM's checked settings.
	Settings *sycsetting.Node
	// Fleet is the VM's membership of the fleet. The node closes it.
	Fleet *sycfleet.Fleet
	// Codec translates between the platform's HTTP headers and the relay's requests.
	Codec sycrelay.Codec
	// Client sends requests to endpoints. The node closes it.
	Client *sycwire.Client
}

// Node is a running VM of a fleet.
type Node struct {
	// tomb waits for the goroutines of the servers.
	tomb    tomb.Tomb
	options Options
	log     *logrus.Entry
	// endings observes how callers' connections end.
	endings *sycending.Tracker
	// budget bounds the memory of requests and answers in transit.
	budget *sycbudget.Budget
	// relay forwards callers' requests to endpoints.
	relay *sycrelay.Relay
	// servers holds the HTTP servers for callers, readiness checks and metrics.
	servers []*http.Server
	// callers accepts the callers' connections.
	callers *syccallers.Listener
}

// New starts a node's listeners for callers, readiness checks and, if set, metrics.
func New(o Options) (*Node, error) {
	n := &Node{
		options: o,
		log:     logrus.WithField("part", "node"),
		endings: sycending.New(),
		budget:  sycbudget.New(int64(budgetFraction * float64(o.Settings.Memory) * bytesPerMB)),
	}
	n.relay = sycrelay.New(sycrelay.Options{Fleet: o.Fleet, Codec: o.Codec, Client: o.Client, Budget: n.budget})
	Apply(o.Settings)
	listeners := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{o.Settings.Callers, n.relay},
		{o.Settings.Readiness, http.HandlerFunc(n.serveReadiness)},
		{o.Settings.Metrics, http.HandlerFunc(serveMetrics)},
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return nil, errors.Join(eris.Wrapf(err, "listen on %s", l.address), n.Close())
		}
		wrapped := syccallers.Wrap(listener, callerLimits(nil, o.Settings.Memory), n.budget.EndStalest)
		if n.callers == nil {
			n.callers = wrapped
		}
		// The listener enforces the limits, so that the server's own timeouts stay 0.
		server := &http.Server{Handler: l.handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: connectionLog, ConnState: wrapped.ConnState}
		if len(n.servers) == 0 {
			n.endings.Install(server)
		}
		n.servers = append(n.servers, server)
		n.tomb.Go(func() error {
			if err := server.Serve(wrapped); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "serve")
			}
			return nil
		})
	}
	n.tomb.Go(n.followLimits)
	n.log.WithFields(logrus.Fields{"name": o.Settings.Name, "callers": o.Settings.Callers.String()}).Info("node: started")
	return n, nil
}

// Apply applies the settings that may change while the VM runs: the memory limit and the
// log level. It ignores an invalid log level.
func Apply(s *sycsetting.Node) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(s.Memory) * bytesPerMB))
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		logrus.SetLevel(level)
	}
}

// serveReadiness responds with status 200 if the VM may get new connections, else with 503.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if n.options.Fleet.Ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// serveMetrics responds with the process's metrics in Prometheus format.
func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// Drain takes the VM out of service and finishes its requests. The VM reports that it isn't
// ready and leaves the fleet, accepts connections until the load balancer has noticed, and
// then waits for running requests. Drain returns an error if they haven't finished
// shutdownMargin before the end of the grace period.
func (n *Node) Drain() error {
	start := time.Now()
	n.log.Info("node: draining")
	n.relay.Drain()
	n.options.Fleet.Leave()
	time.Sleep(time.Until(start.Add(balancerDelay)))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(n.options.Settings.Grace-shutdownMargin))
	defer cancel()
	err := n.callers.Drain(ctx)
	n.log.WithField("took", time.Since(start).String()).Info("node: drained")
	return eris.Wrap(err, "finish requests")
}

// Close closes all listeners and connections, the fleet membership and the client, and waits
// for their goroutines.
func (n *Node) Close() error {
	n.tomb.Kill(nil)
	n.endings.Cut()
	var err error
	for _, s := range n.servers {
		err = errors.Join(err, s.Close())
	}
	if len(n.servers) > 0 {
		err = errors.Join(err, n.tomb.Wait())
	}
	n.endings.Wait(cutTime)
	return errors.Join(err, n.options.Fleet.Close(), n.options.Client.Close())
}

var _ io.Closer = (*Node)(nil)
