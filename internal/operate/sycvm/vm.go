// Package sycvm puts the parts of a VM together and takes them down in order.
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

// claimLifetime is how long idempotency keys are remembered, where the log
// keeps records long enough.
const claimLifetime = 10 * time.Minute

const (
	// platformConns and feedConns are the idle connections kept to the platform
	// and to each endpoint.
	platformConns = 8
	feedConns     = 2
	// unlistTimeout bounds the removal of this VM from the platform's list.
	unlistTimeout = time.Second
)

var log = syclogging.New("vm")

// VM is a running VM of the system.
type VM struct {
	settings    *sycsetting.Settings
	address     string
	incarnation string

	callersListener   net.Listener
	operatorsListener net.Listener
	peersListener     net.Listener

	dial     sycdial.Func
	loop     *sycloop.Loop
	log      *syclog.Client
	store    *sycstate.Store
	versions *sycversion.Manager
	gateway  *sycgateway.Gateway
	callers  *http.Server
	operator *http.Server
	list     *syclist.Client
	calls    *sycpeer.Client
	mesh     atomic.Pointer[sycmesh.Mesh]
	roster   *sycmember.Roster
	limiter  *sycadmit.Limiter
	claims   *sycclaims.Driver
	chooser  *sycchoose.Chooser
	feed     *sycfeed.Feed
	drain    *sycdrain.Drain
	// started is when the VM was made; met is set once it has been acquainted.
	started time.Time
	met     atomic.Bool
	// drained is set when the VM has ended its service to callers.
	drained atomic.Bool
	closers closers
}

// New starts a VM. It returns when the listeners are open; Ready tells when
// the VM can serve.
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
	log.Infof("serves callers at %s, operators at %s, peers at %s", v.Callers(), v.Operators(), v.address)
	return v, nil
}

// Callers is the address that callers reach the VM at.
func (v *VM) Callers() string { return v.callersListener.Addr().String() }

// Operators is the address that operators reach the VM at.
func (v *VM) Operators() string { return v.operatorsListener.Addr().String() }

// Address is the address that other VMs reach the VM at, which is its id.
func (v *VM) Address() string { return v.address }

func (v *VM) listen() error {
	listeners := []struct {
		name    string
		address string
		to      *net.Listener
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
		*l.to = listener
		v.closers.add(func() error {
			listener.Close()
			return nil
		})
	}
	v.address = v.peersListener.Addr().String()
	if outside := v.settings.PeerAddress(); outside.IsValid() {
		v.address = outside.String()
	}
	return nil
}

func (v *VM) start() error {
	v.loop = sycloop.New()
	v.closers.add(v.loop.Close)
	security, err := v.peerTLS()
	if err != nil {
		return err
	}
	v.calls = sycpeer.NewClient(sycpeer.ClientOptions{
		TLS: security,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return v.dial(ctx, "tcp", address)
		},
	})
	v.closers.add(v.calls.Close)
	v.startState()
	if err := v.startClaims(); err != nil {
		return err
	}
	v.startList()
	v.startLimits()
	v.startTraffic()
	if err := v.startMesh(security); err != nil {
		return err
	}
	v.startServers()
	return nil
}

func (v *VM) startState() {
	v.log = syclog.New(syclog.Options{Address: v.settings.LogURL(), Transport: sycdial.Transport(v.dial, platformConns)})
	v.closers.add(v.log.Close)
	v.store = sycstate.New(sycstate.Options{
		Loop:      v.loop,
		Log:       v.log,
		Peers:     sycpeer.NewFetcher(v.calls, v.settings.FailureDomain(), v.peers),
		ReadsLog:  v.readsLog,
		Self:      v.address + "/" + v.incarnation,
		Retention: v.settings.LogRetention(),
	})
	v.closers.add(v.store.Close)
}

func (v *VM) startClaims() error {
	claims, err := sycclaims.New(sycclaims.Options{
		Loop:        v.loop,
		Log:         v.log,
		Peers:       v.calls,
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

func (v *VM) startTraffic() {
	v.versions = sycversion.New(sycversion.Options{
		Loop:        v.loop,
		Store:       v.store,
		Dial:        v.dial,
		Address:     v.address,
		Incarnation: v.incarnation,
		Urgent:      func() { v.chooser.Hurry() },
	})
	v.closers.add(v.versions.Close)
	v.store.OnChange(v.versions.Refresh)
	v.chooser = sycchoose.New(sycchoose.Options{
		Loop:          v.loop,
		Config:        v.store.Config,
		FailureDomain: v.settings.FailureDomain(),
		Policy:        v.settings.Policy(),
		Seed:          seed(v.address),
		Versions:      v.versions.Versions,
	})
	v.feed = sycfeed.New(sycfeed.Options{
		Loop:          v.loop,
		Sink:          v.chooser,
		Config:        v.store.Config,
		Transport:     sycdial.Transport(v.dial, feedConns),
		Self:          v.address,
		FailureDomain: v.settings.FailureDomain(),
		Members:       v.neighbours,
		Urgent:        v.chooser.Hurry,
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

func (v *VM) gatewayLimits() sycgateway.Limits {
	limits := sycgateway.Defaults()
	limits.Body = v.settings.MaxBody()
	limits.Bodies = max(limits.Bodies, limits.Body)
	limits.HeaderBytes = int(v.settings.MaxHeader())
	return limits
}

func (v *VM) startServers() {
	limits := v.gatewayLimits()
	v.callers = &http.Server{
		Handler:           v.drain.Handler(v.gateway),
		ConnState:         newIdleLimit(v.settings.MaxIdle()).track,
		ReadHeaderTimeout: limits.HeaderRead,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	v.operator = &http.Server{
		Handler: sycoperator.New(sycoperator.Options{
			Ready:  v.Ready,
			Status: func() any { return v.Status() },
			Token:  v.settings.OperatorToken(),
			Pprof:  v.settings.Pprof(),
		}),
		ReadHeaderTimeout: limits.HeaderRead,
	}
	v.serve(v.callers, v.callersListener)
	v.serve(v.operator, v.operatorsListener)
}

// Drain takes the VM out of service: it stays open until the balancer has
// noticed, finishes every request and then stops.
func (v *VM) Drain(ctx context.Context) error {
	if limit := v.settings.DrainTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	log.Infof("leaves the list and finishes its requests")
	if err := v.mesh.Load().Leave(ctx); err != nil {
		log.Warnf("the platform's list does not show that this VM leaves: %v", err)
	}
	err := v.drain.Shutdown(ctx, v.callers)
	v.drained.Store(true)
	return err
}

// Close stops the VM at once and waits for its goroutines. Drain comes first
// when requests must not be cut.
func (v *VM) Close() error {
	v.drain.Begin()
	return v.closers.close()
}
