// Package sycvm makes a VM of the fleet: it starts the VM's parts in the order of their
// dependencies, connects them, and closes them in the reverse order.
//
// A VM listens at three addresses: for callers (the clients whose requests it routes), for
// operators, and for peers (the other VMs). An incarnation is one run of a VM's process.
//
// The VMs share their state through two streams of the platform's log: the config stream has
// the records of operators, such as customers and endpoints, the system stream those of VMs,
// such as the progress of rollouts. A rate slot is a named fraction of every customer's rate
// and burst. The VM that holds a slot accrues permits for that fraction.
package sycvm

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/operate/sycoperator"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/internal/peer/sycmesh"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclist"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/traffic/sycadmit"
	"sycamorecart.example/sycamorecart/internal/traffic/sycchoose"
	"sycamorecart.example/sycamorecart/internal/traffic/sycclaims"
	"sycamorecart.example/sycamorecart/internal/traffic/sycdrain"
	"sycamorecart.example/sycamorecart/internal/traffic/sycfeed"
	"sycamorecart.example/sycamorecart/internal/traffic/sycgateway"
	"sycamorecart.example/sycamorecart/internal/traffic/sycversion"
)

// claimLifetime is how long claims are kept. A claim is the record by which a request with an
// idempotency key runs at most once. Half of the log's retention is used if that is shorter.
const claimLifetime = 10 * time.Minute

const (
	// logConns limits the idle connections that are kept to the log.
	logConns = 8
	// listConns limits the idle connections that are kept to the platform's list.
	listConns = 1
	// feedConns limits the idle connections that are kept to each endpoint for polling its
	// load and cache events.
	feedConns = 2
	// unlistTimeout limits the time to remove this VM from the platform's list.
	unlistTimeout = time.Second
)

var log = syclogging.New("vm")

// VM is a running VM of the fleet.
type VM struct {
	// settings are the settings that the process was started with.
	settings *sycsetting.Settings
	// address is the address that other VMs reach this VM at, which is its ID.
	address string
	// incarnation is a random ID of this run of the VM.
	incarnation string

	// callersListener, operatorsListener and peersListener accept connections from callers,
	// operators and other VMs.
	callersListener   net.Listener
	operatorsListener net.Listener
	peersListener     net.Listener

	// dial opens outgoing connections from the VM's own IP address.
	dial sycdial.Func
	// loop is the control loop, which runs the VM's decisions one after the other.
	loop *sycloop.Loop
	// log is the client of the log.
	log *syclog.Client
	// store keeps the states of the config and the system stream.
	store *sycstate.Store
	// versions carries out rollouts of model versions.
	versions *sycversion.Manager
	// gateway serves callers' requests.
	gateway *sycgateway.Gateway
	// callerServer is the HTTP server for callers.
	callerServer *http.Server
	// operatorServer is the HTTP server for operators.
	operatorServer *http.Server
	// list is the client of the platform's list of VMs.
	list *syclist.Client
	// peerClient calls other VMs.
	peerClient *sycpeer.Client
	// mesh exchanges introductions and digests with other VMs; nil until it has started.
	mesh atomic.Pointer[sycmesh.Mesh]
	// roster holds the other VMs; it's used on the control loop only.
	roster *sycmember.Roster
	// limiter admits requests within their customer's rate.
	limiter *sycadmit.Limiter
	// claims lets a request with an idempotency key run at most once over all VMs.
	claims *sycclaims.Driver
	// chooser selects endpoints for requests.
	chooser *sycchoose.Chooser
	// feed polls the endpoints' load and cache events.
	feed *sycfeed.Feed
	// drain counts running requests and ends the service to callers.
	drain *sycdrain.Drain
	// started is when New was called.
	started time.Time
	// permitSourceFound is set once hasPermitSource has returned true.
	permitSourceFound atomic.Bool
	// drained is set once Drain has ended the service to callers.
	drained atomic.Bool
	// closers stop the parts above.
	closers closers
}

// New starts a VM. When it returns, the listeners are open, but the VM can serve requests
// only once Ready returns true.
func New(s *sycsetting.Settings) (*VM, error) {
	v := &VM{
		settings:    s,
		started:     time.Now(),
		incarnation: uuid.NewString(),
		drain:       sycdrain.New(s.DrainSettle()),
		dial:        sycdial.From(s.Peers().Addr(), sycdial.DefaultTimeout),
	}
	if err := v.listen(); err != nil {
		v.closers.close()
		return nil, err
	}
	if err := v.start(); err != nil {
		v.closers.close()
		return nil, err
	}
	log.Infof("serving callers at %s, operators at %s, peers at %s", v.Callers(), v.Operators(), v.address)
	return v, nil
}

// Callers returns the address that the VM listens at for callers.
func (v *VM) Callers() string { return v.callersListener.Addr().String() }

// Operators returns the address that the VM listens at for operators.
func (v *VM) Operators() string { return v.operatorsListener.Addr().String() }

// Address returns the address that other VMs reach the VM at, which is its ID.
func (v *VM) Address() string { return v.address }

// listen opens the listeners and sets the VM's address.
func (v *VM) listen() error {
	listeners := []struct {
		name    string
		address string
		// field is the field of VM that receives the listener.
		field *net.Listener
	}{
		{"callers", v.settings.Callers().String(), &v.callersListener},
		{"operators", v.settings.Operators().String(), &v.operatorsListener},
		{"peers", v.settings.Peers().String(), &v.peersListener},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", l.name)
		}
		*l.field = listener
		v.closers.add(func() error {
			listener.Close()
			return nil
		})
	}
	v.address = v.peersListener.Addr().String()
	if external := v.settings.PeerAddress(); external.IsValid() {
		v.address = external.String()
	}
	return nil
}

// start starts the VM's parts, each after the parts that it depends on.
func (v *VM) start() error {
	v.loop = sycloop.New()
	v.closers.add(v.loop.Close)
	tlsConfig, err := v.peerTLS()
	if err != nil {
		return err
	}
	v.peerClient = sycpeer.NewClient(sycpeer.ClientOptions{
		TLS: tlsConfig,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return v.dial(ctx, "tcp", address)
		},
	})
	v.closers.add(v.peerClient.Close)
	v.startStore()
	if err := v.startClaims(); err != nil {
		return err
	}
	v.startList()
	v.startLimiter()
	v.startTraffic()
	if err := v.startMesh(tlsConfig); err != nil {
		return err
	}
	v.startServers()
	return nil
}

// startStore makes the client of the log and the store, which starts to follow the streams.
func (v *VM) startStore() {
	v.log = syclog.New(syclog.Options{Address: v.settings.LogURL(), Transport: sycdial.Transport(v.dial, logConns)})
	v.closers.add(v.log.Close)
	v.store = sycstate.New(sycstate.Options{
		Loop:      v.loop,
		Log:       v.log,
		Peers:     sycpeer.NewFetcher(v.peerClient, v.settings.FailureDomain(), v.peers),
		ReadsLog:  v.readsLog,
		Self:      v.address + "/" + v.incarnation,
		Retention: v.settings.LogRetention(),
	})
	v.closers.add(v.store.Close)
}

// startClaims starts the driver of claims.
func (v *VM) startClaims() error {
	claims, err := sycclaims.New(sycclaims.Options{
		Loop:        v.loop,
		Log:         v.log,
		Peers:       v.peerClient,
		VM:          v.address,
		Incarnation: v.incarnation,
		Lifetime:    min(claimLifetime, v.settings.LogRetention()/2),
		Retention:   v.settings.LogRetention(),
	})
	if err != nil {
		return err
	}
	v.claims = claims
	v.closers.add(claims.Close)
	return nil
}

// startTraffic starts the rollouts, the selection of endpoints, the polling of endpoints
// and the gateway.
func (v *VM) startTraffic() {
	v.versions = sycversion.New(sycversion.Options{
		Loop:        v.loop,
		Store:       v.store,
		Dial:        v.dial,
		Address:     v.address,
		Incarnation: v.incarnation,
		Urgent:      func() { v.chooser.MarkUrgent() },
	})
	v.closers.add(v.versions.Close)
	v.store.OnChange(v.versions.Refresh)
	v.chooser = sycchoose.New(sycchoose.Options{
		Loop:          v.loop,
		Config:        v.store.Config,
		FailureDomain: v.settings.FailureDomain(),
		Policy:        v.settings.Policy(),
		Seed:          seedFrom(v.address),
		Versions:      v.versions.Versions,
	})
	v.feed = sycfeed.New(sycfeed.Options{
		Loop:          v.loop,
		Sink:          v.chooser,
		Config:        v.store.Config,
		Transport:     sycdial.Transport(v.dial, feedConns),
		Self:          v.address,
		FailureDomain: v.settings.FailureDomain(),
		Members:       v.domainPeers,
		Urgent:        v.chooser.MarkUrgent,
	})
	v.closers.add(v.feed.Close)
	v.gateway = sycgateway.New(sycgateway.Options{
		Config:  v.store.Config,
		Ready:   v.store.Ready,
		Chooser: v.versions.Chooser(v.chooser),
		Limiter: v.limiter,
		Claims:  v.claims,
		VM:      v.address,
		Dial:    v.dial,
		Limits:  v.gatewayLimits(),
	})
	v.closers.add(v.gateway.Close)
}

// gatewayLimits returns the gateway's default limits with those of the settings applied.
func (v *VM) gatewayLimits() sycgateway.Limits {
	limits := sycgateway.Defaults()
	limits.Body = v.settings.MaxBody()
	limits.Bodies = max(limits.Bodies, limits.Body)
	limits.HeaderBytes = int(v.settings.MaxHeader())
	return limits
}

// startServers starts the HTTP servers for callers and operators.
func (v *VM) startServers() {
	limits := v.gatewayLimits()
	v.callerServer = &http.Server{
		Handler:           v.drain.Handler(v.gateway),
		ConnState:         newIdleLimit(v.settings.MaxIdle()).track,
		ReadHeaderTimeout: limits.HeaderRead,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	v.operatorServer = &http.Server{
		Handler: sycoperator.New(sycoperator.Options{
			Ready:  v.Ready,
			Status: func() any { return v.Status() },
			Token:  v.settings.OperatorToken(),
			Pprof:  v.settings.Pprof(),
		}),
		ReadHeaderTimeout: limits.HeaderRead,
	}
	v.serve(v.callerServer, v.callersListener)
	v.serve(v.operatorServer, v.operatorsListener)
}

// Drain ends the VM's service to callers. It announces that the VM is leaving, accepts
// requests for the settle time, in which the load balancer learns of it, and then waits
// for all running requests. The drain timeout of the settings and ctx limit its duration.
func (v *VM) Drain(ctx context.Context) error {
	if timeout := v.settings.DrainTimeout(); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	log.Infof("leaving the list and finishing the running requests")
	if err := v.mesh.Load().Leave(ctx); err != nil {
		log.Warnf("marking this VM as leaving in the platform's list failed: %v", err)
	}
	err := v.drain.Shutdown(ctx, v.callerServer)
	v.drained.Store(true)
	return err
}

// Close stops the VM at once and waits for its goroutines. It interrupts running requests
// unless Drain was called before.
func (v *VM) Close() error {
	v.drain.Begin()
	return v.closers.close()
}
