package sycstate_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// errUnreachable is the error of calls to the log while it is down, and of calls to peers if
// the VM has none.
var errUnreachable = errors.New("unreachable")

// network carries a VM's HTTP requests to the log and can be taken down.
type network struct {
	// down makes all requests fail.
	down atomic.Bool
	// calls counts the requests, including failed ones.
	calls atomic.Int64
	// next sends the requests.
	next http.Transport
}

// RoundTrip sends a request unless the network is down.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.calls.Add(1)
	if n.down.Load() {
		return nil, errUnreachable
	}
	return n.next.RoundTrip(r)
}

// peers calls other stores of the same test directly, in place of RPCs.
type peers struct {
	stores atomic.Pointer[[]*sycstate.Store]
	// queries counts the calls of Records.
	queries atomic.Int64
}

// pick returns a random peer.
func (p *peers) pick() (*sycstate.Store, error) {
	stores := p.stores.Load()
	if stores == nil || len(*stores) == 0 {
		return nil, errUnreachable
	}
	return (*stores)[rand.IntN(len(*stores))], nil
}

// maxAskedPeers limits the peers that are asked in one call of Records.
const maxAskedPeers = 3

// Records asks peers until one has records or a proof that is recent enough, as
// sycpeer.Fetcher does.
func (p *peers) Records(ctx context.Context, q sycpeer.Query) (*sycpeerpb.RecordsReply, error) {
	p.queries.Add(1)
	var reply *sycpeerpb.RecordsReply
	for range maxAskedPeers {
		store, err := p.pick()
		if err != nil {
			return nil, err
		}
		reply, err = store.Records(ctx, &sycpeerpb.RecordsRequest{Stream: q.Stream, From: q.From, Max: q.Max})
		if err != nil {
			return nil, err
		}
		settled := reply.Next == q.From && reply.ProofAgeNano >= 0 && reply.ProofAgeNano <= int64(q.MaxProofAge)
		if len(reply.Records) > 0 || settled {
			break
		}
	}
	return reply, nil
}

// Snapshot fetches all chunks of a snapshot from one peer.
func (p *peers) Snapshot(ctx context.Context, stream string) (uint64, []byte, error) {
	store, err := p.pick()
	if err != nil {
		return 0, nil, err
	}
	var data []byte
	request := &sycpeerpb.SnapshotRequest{Stream: stream}
	for {
		reply, err := store.Snapshot(ctx, request)
		if err != nil {
			return 0, nil, err
		}
		data = append(data, reply.Data...)
		if reply.Chunk+1 == reply.Chunks {
			return reply.Offset, data, nil
		}
		request.Offset = reply.Offset
		request.Chunk = reply.Chunk + 1
	}
}

// vm is a store with its own control loop, its connection to the log and its peers.
type vm struct {
	store   *sycstate.Store
	network *network
	peers   *peers
}

// start runs a store with short durations. Address is the log's URL, down tells whether
// the VM can't reach it, and known are the VM's peers.
func start(t testing.TB, address string, down bool, known ...*vm) *vm {
	t.Helper()
	return startWith(t, sycstate.Options{
		ReadWait:  200 * time.Millisecond,
		PeerPoll:  20 * time.Millisecond,
		Retention: 2 * time.Second,
	}, address, down, known...)
}

// startWith is like start but takes the durations from the options.
func startWith(t testing.TB, o sycstate.Options, address string, down bool, known ...*vm) *vm {
	t.Helper()
	v := &vm{network: &network{}, peers: &peers{}}
	v.network.down.Store(down)
	v.setPeers(known...)
	loop := sycloop.New()
	o.Loop = loop
	o.Log = syclog.New(syclog.Options{Address: address, Transport: v.network})
	o.Peers = v.peers
	o.Self = fmt.Sprintf("vm-%p", v)
	v.store = sycstate.New(o)
	t.Cleanup(func() {
		must.NoError(t, v.store.Close())
		must.NoError(t, loop.Close())
		v.network.next.CloseIdleConnections()
	})
	return v
}

// setPeers replaces the peers of a VM.
func (v *vm) setPeers(known ...*vm) {
	var stores []*sycstate.Store
	for _, other := range known {
		stores = append(stores, other.store)
	}
	v.peers.stores.Store(&stores)
}

// platform runs a stand-in for the platform's log and list.
func platform(t testing.TB, o sycplatform.Options) *sycplatform.Platform {
	t.Helper()
	p, err := sycplatform.New(o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, p.Close()) })
	return p
}

// eventually waits until a condition holds, and fails the test after 20 seconds.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(f),
		wait.Timeout(20*time.Second),
		wait.Gap(5*time.Millisecond),
	), must.Sprint(what))
}

// customer returns an operation that puts a customer with a rate.
func customer(t testing.TB, name string, rate float64) sycrecord.Operation {
	t.Helper()
	spec, err := json.Marshal(sycrecord.CustomerFields{Rate: rate, Burst: 1})
	must.NoError(t, err)
	return sycrecord.Operation{Verb: sycrecord.Put, Kind: sycrecord.KindCustomer, Name: name, Spec: spec}
}

// has returns a condition: the VM's state has a customer with the rate.
func (v *vm) has(name string, rate float64) func() bool {
	return func() bool {
		c, ok := v.store.Config().Customer(name)
		return ok && c.Value().Rate() == rate
	}
}
