package sycpeer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

const (
	// fetchPeers bounds the peers that one fetch asks.
	fetchPeers = 3
	// maxChunks bounds the chunks of a snapshot.
	maxChunks = 4096
)

// Fetcher reads records and snapshots from whichever peers answer, those of
// the VM's own failure domain first.
type Fetcher struct {
	client        *Client
	failureDomain string
	peers         func() []*sycpeerpb.Vm
}

// NewFetcher returns a fetcher; peers returns the live peers without this VM
// and is called from any goroutine.
func NewFetcher(c *Client, failureDomain string, peers func() []*sycpeerpb.Vm) *Fetcher {
	return &Fetcher{client: c, failureDomain: failureDomain, peers: peers}
}

// Query asks for records of a stream.
type Query struct {
	Stream string
	// From is the offset of the first record wanted, Max the most records of a reply.
	From uint64
	Max  uint32
	// MaxProofAge is the age of a proof of the log's end at From with which one
	// peer's answer will do; 0 asks several peers.
	MaxProofAge time.Duration
}

// settles reports whether a reply without records ends the query.
func (q Query) settles(r *sycpeerpb.RecordsReply) bool {
	age := time.Duration(r.GetProofAgeNano())
	return r.GetNext() == q.From && age >= 0 && age <= q.MaxProofAge
}

// Records returns records of a stream from an offset on. When no peer that it
// asks holds newer records it returns the reply with the youngest proof of the
// log's end.
func (f *Fetcher) Records(ctx context.Context, q Query) (*sycpeerpb.RecordsReply, error) {
	in := &sycpeerpb.RecordsRequest{Stream: q.Stream, From: q.From, Max: q.Max}
	var best *sycpeerpb.RecordsReply
	err := eris.New("no peer is known")
	for _, vm := range f.candidates() {
		reply, callErr := f.client.RecordsFrom(ctx, vm.GetAddress(), in)
		if callErr != nil {
			err = callErr
			continue
		}
		if len(reply.GetRecords()) > 0 || q.settles(reply) {
			return reply, nil
		}
		best = fresher(best, reply)
	}
	if best != nil {
		return best, nil
	}
	return nil, err
}

// fresher returns the reply that reaches further, then the one with the
// younger proof.
func fresher(a, b *sycpeerpb.RecordsReply) *sycpeerpb.RecordsReply {
	if a == nil || b.GetNext() > a.GetNext() {
		return b
	}
	if b.GetNext() < a.GetNext() || b.GetProofAgeNano() < 0 {
		return a
	}
	if a.GetProofAgeNano() < 0 || b.GetProofAgeNano() < a.GetProofAgeNano() {
		return b
	}
	return a
}

// Snapshot returns the newest snapshot of a stream that a peer holds, and the
// offset that it was taken at.
func (f *Fetcher) Snapshot(ctx context.Context, stream string) (uint64, []byte, error) {
	err := eris.New("no peer is known")
	for _, vm := range f.candidates() {
		offset, data, readErr := f.read(ctx, vm.GetAddress(), stream)
		if readErr == nil {
			return offset, data, nil
		}
		err = readErr
	}
	return 0, nil, err
}

// read joins the chunks of one peer's snapshot.
func (f *Fetcher) read(ctx context.Context, address, stream string) (uint64, []byte, error) {
	first, err := f.client.SnapshotFrom(ctx, address, &sycpeerpb.SnapshotRequest{Stream: stream})
	if err != nil {
		return 0, nil, err
	}
	if first.GetChunks() == 0 || first.GetChunks() > maxChunks || first.GetChunk() != 0 {
		return 0, nil, eris.Errorf("snapshot of peer %s has %d chunks", address, first.GetChunks())
	}
	data := first.GetData()
	for i := uint32(1); i < first.GetChunks(); i++ {
		in := &sycpeerpb.SnapshotRequest{Stream: stream, Offset: first.GetOffset(), Chunk: i}
		next, err := f.client.SnapshotFrom(ctx, address, in)
		if err != nil {
			return 0, nil, err
		}
		if next.GetOffset() != first.GetOffset() || next.GetChunk() != i {
			return 0, nil, eris.Errorf("snapshot of peer %s changed while it was read", address)
		}
		data = append(data, next.GetData()...)
	}
	return first.GetOffset(), data, nil
}

// candidates returns a few peers in random order, own failure domain first.
func (f *Fetcher) candidates() []*sycpeerpb.Vm {
	var near, far []*sycpeerpb.Vm
	for _, vm := range f.peers() {
		if vm.GetFailureDomain() == f.failureDomain {
			near = append(near, vm)
			continue
		}
		far = append(far, vm)
	}
	shuffle(near)
	shuffle(far)
	// One place is kept for another domain: the own one may be cut off.
	if len(near) >= fetchPeers && len(far) > 0 {
		near = near[:fetchPeers-1]
	}
	all := append(near, far...)
	return all[:min(len(all), fetchPeers)]
}

func shuffle[T any](list []T) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
