package sycversion_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycpipe"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/traffic/sycversion"
)

const (
	// simulatedVMs and simulatedEngines are the sizes of a simulated site, those of the
	// workload of the other sites.
	simulatedVMs, simulatedEngines = 8, 10
	// digestPeriod is the time between two regular digests of a VM.
	digestPeriod = 250 * time.Millisecond
	// peerDelay is the time that a digest takes to the other VMs.
	peerDelay = 1500 * time.Microsecond
)

// simulatedSite is a site of Managers and engines on the simulated time of testing/synctest,
// in which computing takes no time. So its durations, and what is judged by them, don't
// depend on the machine.
type simulatedSite struct {
	network sycpipe.Network
	// client sends requests to engines.
	client  *http.Client
	engines []*sycengine.Engine
	// platform has the weight store, at platformURL. It is nil if engines load at once.
	platform    *sycplatform.Platform
	platformURL string
	store       *simulatedStore
	vms         []*simulatedVM
	// started is closed when all VMs have started.
	started chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// loads holds what VMs know of each engine's requests, by the engine's name.
	loads map[string]*engineLoad
	// failed is the number of requests that weren't answered completely and correctly.
	failed int
}

// simulatedVM is the part of a VM that rollouts need.
type simulatedVM struct {
	site    *simulatedSite
	address string
	loop    *sycloop.Loop
	manager *sycversion.Manager
	// urgent receives a value when the next digest is due at once.
	urgent chan struct{}
	// stop ends the digests when it is closed.
	stop chan struct{}
	// digests waits for the goroutine that sends them.
	digests sync.WaitGroup
}

// simulatedStore is a store whose system stream every VM reads without delay.
type simulatedStore struct {
	*memoryStore
	// changed is called after each accepted operation.
	changed func()
	// rollouts holds the accepted progress records, guarded by mu.
	rollouts []sycrecord.RolloutFields
}

// Propose implements Store.
func (s *simulatedStore) Propose(ctx context.Context, stream string, op sycrecord.Operation) (sycconfig.Result, error) {
	result, err := s.memoryStore.Propose(ctx, stream, op)
	if err != nil || !result.Accepted() {
		return result, err
	}
	if op.Kind == sycrecord.KindRollout {
		var fields sycrecord.RolloutFields
		err = json.Unmarshal(op.Spec, &fields)
		s.mu.Lock()
		s.rollouts = append(s.rollouts, fields)
		s.mu.Unlock()
	}
	s.changed()
	return result, err
}

// records returns the accepted progress records.
func (s *simulatedStore) records() []sycrecord.RolloutFields {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sycrecord.RolloutFields{}, s.rollouts...)
}

// newSimulatedSite starts a site that rolls out a second version, and waits until a VM leads
// the rollout. It must be called in a
// bubble of testing/synctest.
func newSimulatedSite(t *testing.T) *simulatedSite {
	t.Helper()
	return newSimulatedSiteOf(t, longDeadline, sycplatform.Options{})
}

// newSimulatedSiteOf is like newSimulatedSite, with a deadline of the rollout. Unless the rate of
// the weight store is 0, engines load the weights from it, and else at once.
func newSimulatedSiteOf(t *testing.T, deadline time.Duration, store sycplatform.Options) *simulatedSite {
	t.Helper()
	s := &simulatedSite{loads: map[string]*engineLoad{}, started: make(chan struct{})}
	s.client = &http.Client{Transport: sycdial.Transport(s.network.Dial, simulatedVMs)}
	operations := []sycrecord.Operation{
		sycdeploy.Put(sycrecord.KindVersion, "first", sycrecord.VersionFields{Model: sycdeploy.Model, Weights: "w1", Initial: true}),
		sycdeploy.Put(sycrecord.KindVersion, "second", sycrecord.VersionFields{
			Model: sycdeploy.Model, Weights: "w2", Deadline: time.Now().Add(deadline),
			Canary: 0.1, Steps: []float64{0.5, 1}, Bake: sycrecord.Duration(2 * time.Second),
		}),
	}
	if store.StoreBytesPerSecond > 0 {
		s.startPlatform(t, store)
	}
	for i := range simulatedEngines {
		operations = append(operations, s.startEngine(t, i))
	}
	s.store = &simulatedStore{changed: s.refresh, memoryStore: &memoryStore{
		config: configOf(t, operations...),
		system: sycconfig.NewStream(sycstate.SystemStream),
		leases: make(chan struct{}, 1<<16),
	}}
	for i := range simulatedVMs {
		s.vms = append(s.vms, s.newVM(i))
	}
	for _, vm := range s.vms {
		vm.start()
	}
	close(s.started)
	t.Cleanup(func() { s.close(t) })
	s.leader()
	return s
}

// startPlatform starts the platform whose weight store the engines use.
func (s *simulatedSite) startPlatform(t *testing.T, o sycplatform.Options) {
	t.Helper()
	var err error
	o.Listener, err = s.network.Listen("platform:1")
	must.NoError(t, err)
	s.platform, err = sycplatform.New(o)
	must.NoError(t, err)
	s.platformURL = s.platform.URL()
}

// startEngine starts an engine and returns the operation that puts its endpoint record.
func (s *simulatedSite) startEngine(t *testing.T, i int) sycrecord.Operation {
	t.Helper()
	name := fmt.Sprintf("e%d", i)
	listener, err := s.network.Listen(name + ":1")
	must.NoError(t, err)
	engine, err := sycengine.New(sycengine.Options{
		Listener: listener,
		Dial:     s.network.Dial,
		Platform: s.platformURL,
		Models:   map[string]string{sycdeploy.Model: "w1"},
		Speed:    engineSpeed,
		Seed:     uint64(i),
	})
	must.NoError(t, err)
	s.engines = append(s.engines, engine)
	s.loads[name] = &engineLoad{cached: map[uint64]bool{}}
	return sycdeploy.Put(sycrecord.KindEndpoint, name, sycrecord.EndpointFields{
		Address: engine.URL(), FailureDomain: "a", Type: sycrecord.EndpointEngine, Models: []string{sycdeploy.Model},
	})
}

// newVM returns a VM that hasn't started.
func (s *simulatedSite) newVM(i int) *simulatedVM {
	return &simulatedVM{
		site: s, address: fmt.Sprintf("vm%d:1", i), urgent: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// start starts the VM's Manager and its digests.
func (v *simulatedVM) start() {
	began := time.Now()
	v.loop = sycloop.NewWithClock(func() time.Duration { return time.Since(began) })
	v.manager = sycversion.New(sycversion.Options{
		Loop: v.loop, Store: v.site.store, Address: v.address, Incarnation: "one", Dial: v.site.network.Dial,
		Urgent: func() {
			select {
			case v.urgent <- struct{}{}:
			default:
			}
		},
	})
	v.digests.Go(v.sendDigests)
}

// sendDigests sends the VM's evidence to all others until stop is closed.
func (v *simulatedVM) sendDigests() {
	<-v.site.started
	ticker := time.NewTicker(digestPeriod)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-v.stop:
			return
		case <-ticker.C:
		case <-v.urgent:
		}
		evidence := v.manager.LocalEvidence(sequence)
		time.Sleep(peerDelay)
		for _, other := range v.site.vms {
			if other != v {
				other.manager.MergeEvidence(&sycpeerpb.Vm{Address: v.address, Incarnation: "one"}, evidence)
			}
		}
	}
}

// kill ends the VM and keeps its lease, as the end of its process would.
func (v *simulatedVM) kill(t *testing.T) {
	t.Helper()
	select {
	case <-v.stop:
		return
	default:
	}
	close(v.stop)
	v.digests.Wait()
	must.NoError(t, v.manager.Close())
	must.NoError(t, v.loop.Close())
}

// refresh makes all VMs judge the versions again, because a record was accepted.
func (s *simulatedSite) refresh() {
	<-s.started
	for _, vm := range s.vms {
		vm.loop.Post(vm.manager.Refresh)
	}
}

// leader waits until a VM leads rollouts, and returns it.
func (s *simulatedSite) leader() *simulatedVM {
	for {
		for _, vm := range s.vms {
			if _, leading := vm.manager.Rollouts(); leading {
				return vm
			}
		}
		time.Sleep(digestPeriod)
	}
}

// awaitState waits until a record of the rollout has a state and returns the record, or the
// rollout's last one after rolloutTimeout.
func (s *simulatedSite) awaitState(state string) sycrecord.RolloutFields {
	var last sycrecord.RolloutFields
	for deadline := time.Now().Add(rolloutTimeout); time.Now().Before(deadline); time.Sleep(digestPeriod) {
		for _, last = range s.store.records() {
			if last.State == state {
				return last
			}
		}
	}
	return last
}

// sendUntilEnd sends requests to the VMs until the rollout has ended, and returns its final
// record.
func (s *simulatedSite) sendUntilEnd(t *testing.T, vms []*simulatedVM, seed uint64) sycrecord.RolloutFields {
	t.Helper()
	requests := firstRunRequests
	for deadline := time.Now().Add(rolloutTimeout); ; seed++ {
		s.send(t, vms, sycload.Options{Seed: seed, Duration: rolloutTimeout, RateFactor: 3, MaxRequests: requests})
		requests = laterRunRequests
		for _, r := range s.store.records() {
			if r.State == sycrollout.StateDone || r.State == sycrollout.StateRolledBack {
				return r
			}
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("the rollout has not ended"))
	}
}

// close ends all VMs and engines.
func (s *simulatedSite) close(t *testing.T) {
	t.Helper()
	for _, vm := range s.vms {
		vm.kill(t)
	}
	s.client.CloseIdleConnections()
	for _, e := range s.engines {
		must.NoError(t, e.Close())
	}
	if s.platform != nil {
		must.NoError(t, s.platform.Close())
	}
}
