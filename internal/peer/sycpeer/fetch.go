package sycpeer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

const (
	// maxFetchPeers limits the peers that are asked for one query or snapshot.
	maxFetchPeers = 3
	// maxSnapshotChunks limits the chunks of a snapshot. A reply that announces
	// more is an error.
	maxSnapshotChunks = 4096
)

// Fetcher reads log records and snapshots from peers, which keep copies of the
// log. It asks a few peers one after the other, those of this VM's own failure
// domain first.
type Fetcher struct {
	client *Client
	// failureDomain is the failure domain of this VM.
	failureDomain string
	// peers returns the live peers, without this VM.
	peers func() []*sycpeerpb.Vm
}

// NewFetcher returns a fetcher for a VM in the given failure domain. The
// function peers returns the live peers without this VM, and must be safe for
// concurrent use.
func NewFetcher(c *Client, failureDomain string, peers func() []*sycpeerpb.Vm) *Fetcher {
	return &Fetcher{client: c, failureDomain: failureDomain, peers: peers}
}

// Query asks peers for records of one log stream.
type Query struct {
	// Stream is the name of the stream.
	Stream string
	// From is the offset of the first record wanted.
	From uint64
	// Max is the largest number of records in a reply.
	Max uint32
	// MaxProofAge limits the age at which a peer's proof that the stream ended at
	// From is accepted. After a reply with a proof this young no other peer is
	// asked. With 0, up to three peers are asked.
	MaxProofAge time.Duration
}

// provesEnd reports whether a reply without records ends the query, because its
// proof that the stream ends at From is young enough.
func (q Query) provesEnd(r *sycpeerpb.RecordsReply) bool {
	age := time.Duration(r.GetProofAgeNano())
	return r.GetNext() == q.From && age >= 0 && age <= q.MaxProofAge
}

// Records returns the first reply that has records for the query, or that proves
// that there are none. Otherwise it returns the reply with the highest next
// offset, and among equal ones the reply with the youngest proof of the stream's
// end. It fails only if no peer answers.
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
		if len(reply.GetRecords()) > 0 || q.provesEnd(reply) {
			return reply, nil
		}
		best = newer(best, reply)
	}
	if best != nil {
		return best, nil
	}
	return nil, err
}

// newer returns the reply with the higher next offset, or of two with the same
// offset the reply with the younger proof of the stream's end. A negative proof
// age means no proof. a may be nil.
func newer(a, b *sycpeerpb.RecordsReply) *sycpeerpb.RecordsReply {
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

// Snapshot returns the offset and the data of a peer's newest snapshot of a
// stream. It returns the first snapshot that it can read completely.
func (f *Fetcher) Snapshot(ctx context.Context, stream string) (uint64, []byte, error) {
	err := eris.New("no peer is known")
	for _, vm := range f.candidates() {
		offset, data, readErr := f.readSnapshot(ctx, vm.GetAddress(), stream)
		if readErr == nil {
			return offset, data, nil
		}
		err = readErr
	}
	return 0, nil, err
}

// readSnapshot reads all chunks of one peer's snapshot, and returns its offset
// and its data.
func (f *Fetcher) readSnapshot(ctx context.Context, address, stream string) (uint64, []byte, error) {
	first, err := f.client.SnapshotFrom(ctx, address, &sycpeerpb.SnapshotRequest{Stream: stream})
	if err != nil {
		return 0, nil, err
	}
	if first.GetChunks() == 0 || first.GetChunks() > maxSnapshotChunks || first.GetChunk() != 0 {
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

// candidates returns up to maxFetchPeers peers to ask, in random order but with
// those of this VM's failure domain first.
func (f *Fetcher) candidates() []*sycpeerpb.Vm {
	var own, others []*sycpeerpb.Vm
	for _, vm := range f.peers() {
		if vm.GetFailureDomain() == f.failureDomain {
			own = append(own, vm)
			continue
		}
		others = append(others, vm)
	}
	shuffle(own)
	shuffle(others)
	// Includes a peer of another failure domain if there is one, because this
	// VM's own domain may be cut off.
	if len(own) >= maxFetchPeers && len(others) > 0 {
		own = own[:maxFetchPeers-1]
	}
	all := append(own, others...)
	return all[:min(len(all), maxFetchPeers)]
}

// shuffle puts the elements into random order.
func shuffle[T any](s []T) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
