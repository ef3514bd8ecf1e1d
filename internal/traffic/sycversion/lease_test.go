package sycversion_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/traffic/sycversion"
)

// memory is a store that folds what is proposed at once.
type memory struct {
	config *sycconfig.State

	mu     sync.Mutex
	system *sycconfig.State
	// leases has a token for each lease record.
	leases chan struct{}
}

// Config implements Store.
func (s *memory) Config() *sycconfig.State { return s.config }

// System implements Store.
func (s *memory) System() *sycconfig.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.system
}

// Propose implements Store.
func (s *memory) Propose(_ context.Context, _ string, op sycrecord.Operation) (sycconfig.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op.ID = fmt.Sprint(s.system.Next())
	data, err := json.Marshal(op)
	if err != nil {
		return sycconfig.Result{}, err
	}
	next, result := s.system.Apply(s.system.Next(), data)
	s.system = next
	if op.Kind == sycrecord.KindLease && result.Accepted() {
		s.leases <- struct{}{}
	}
	return result, nil
}

// configWith is a configuration of one model with one engine.
func configWith(t *testing.T, engine string) *sycconfig.State {
	t.Helper()
	config := sycconfig.NewStream(sycstate.ConfigStream)
	for _, op := range []sycrecord.Operation{
		sycdeploy.Put(sycrecord.KindEndpoint, "e1", sycrecord.EndpointFields{
			Address: engine, FailureDomain: "a", Type: sycrecord.EndpointEngine, Models: []string{"chat"},
		}),
		sycdeploy.Put(sycrecord.KindVersion, "first", sycrecord.VersionFields{Model: "chat", Weights: "w1", Initial: true}),
	} {
		op.ID = op.Name
		data, err := json.Marshal(op)
		must.NoError(t, err)
		next, result := config.Apply(config.Next(), data)
		must.True(t, result.Accepted(), must.Sprint(result.Reason()))
		config = next
	}
	return config
}

// TestLeaseIsKeptWhileEnginesAreSilent lets an engine keep the leader waiting: the lease
// must be renewed meanwhile, or nobody decides until it has run out.
func TestLeaseIsKeptWhileEnginesAreSilent(t *testing.T) {
	t.Parallel()
	const renewals = 2
	asked := make(chan struct{}, 1)
	givenUp := make(chan struct{}, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
		givenUp <- struct{}{}
	}))
	t.Cleanup(engine.Close)
	loop := sycloop.New()
	t.Cleanup(func() { must.NoError(t, loop.Close()) })
	store := &memory{
		config: configWith(t, engine.URL),
		system: sycconfig.NewStream(sycstate.SystemStream),
		leases: make(chan struct{}, 1000),
	}
	m := sycversion.New(sycversion.Options{Loop: loop, Store: store, Address: "127.0.0.1:1", Incarnation: "one", Lease: 600 * time.Millisecond})
	t.Cleanup(func() { must.NoError(t, m.Close()) })
	<-asked
	for len(store.leases) > 0 {
		<-store.leases
	}
	for range renewals {
		select {
		case <-store.leases:
		case <-givenUp:
			t.Fatal("the leader gave the engine up before it renewed its lease")
		}
	}
}
