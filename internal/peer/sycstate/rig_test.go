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

var errCut = errors.New("cut off")

// network carries a VM's calls to the log unless it is cut.
type network struct {
	cut atomic.Bool
	// calls counts those that were tried.
	calls atomic.Int64
	next  http.Transport
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.calls.Add(1)
	if n.cut.Load() {
		return nil, errCut
	}
	return n.next.RoundTrip(r)
}

// peers reaches the other stores of a test directly.
type peers struct {
	stores atomic.Pointer[[]*sycstate.Store]
	// queries counts the questions for records.
	queries atomic.Int64
}

func (p *peers) pick() (*sycstate.Store, error) {
	stores := p.stores.Load()
	if stores == nil || len(*stores) == 0 {
		return nil, errCut
	}
	return (*stores)[rand.IntN(len(*stores))], nil
}

// askedPeers is the number of peers that one question goes to at most.
const askedPeers = 3

// Records asks peers until one has records, as sycpeer.Fetcher does.
func (p *peers) Records(ctx context.Context, q sycpeer.Query) (*sycpeerpb.RecordsReply, error) {
	p.queries.Add(1)
	var reply *sycpeerpb.RecordsReply
	for range askedPeers {
		store, err := p.pick()
		if err != nil {
			return nil, err
		}
		reply, err = store.Records(ctx, &sycpeerpb.RecordsRequest{Stream: q.Stream, From: q.From, Max: q.Max})
		if err != nil {
			return nil, err
		}
		settled := reply.Next == q.From && reply.ProofAgeNano >= 0 && reply.ProofAgeNano <= int64(q.Settled)
		if len(reply.Records) > 0 || settled {
			break
		}
	}
	return reply, nil
}

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

// vm is a store with its own loop and network.
type vm struct {
	store   *sycstate.Store
	network *network
	peers   *peers
}

// start runs a store with short times; address is the log's.
func start(t testing.TB, address string, cut bool, known ...*vm) *vm {
	t.Helper()
	return startWith(t, sycstate.Options{
		ReadWait:  200 * time.Millisecond,
		PeerPoll:  20 * time.Millisecond,
		Retention: 2 * time.Second,
	}, address, cut, known...)
}

// startWith runs a store with the times of the options.
func startWith(t testing.TB, o sycstate.Options, address string, cut bool, known ...*vm) *vm {
	t.Helper()
	v := &vm{network: &network{}, peers: &peers{}}
	v.network.cut.Store(cut)
	v.know(known...)
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

func (v *vm) know(known ...*vm) {
	var stores []*sycstate.Store
	for _, other := range known {
		stores = append(stores, other.store)
	}
	v.peers.stores.Store(&stores)
}

func platform(t testing.TB, o sycplatform.Options) *sycplatform.Platform {
	t.Helper()
	p, err := sycplatform.New(o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, p.Close()) })
	return p
}

// eventually waits for a condition that faults may delay.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(f),
		wait.Timeout(20*time.Second),
		wait.Gap(5*time.Millisecond),
	), must.Sprint(what))
}

func customer(t testing.TB, name string, rate float64) sycrecord.Operation {
	t.Helper()
	spec, err := json.Marshal(sycrecord.CustomerFields{Rate: rate, Burst: 1})
	must.NoError(t, err)
	return sycrecord.Operation{Verb: sycrecord.Put, Kind: sycrecord.KindCustomer, Name: name, Spec: spec}
}

func (v *vm) has(name string, rate float64) func() bool {
	return func() bool {
		c, ok := v.store.Config().Customer(name)
		return ok && c.Value().Rate() == rate
	}
}
