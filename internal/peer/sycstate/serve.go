package sycstate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// Limits of one response to a peer that asks for records.
const (
	// maxReplyRecords limits the number of records.
	maxReplyRecords = 512
	// maxReplyBytes limits the total size of the records' data, in bytes; a single
	// larger record is sent alone.
	maxReplyBytes = 512 << 10
)

// UnknownStreamError reports a stream that the store does not follow.
type UnknownStreamError struct {
	// Stream is the name of the stream that was asked for.
	Stream string
}

// Error names the stream.
func (e *UnknownStreamError) Error() string { return fmt.Sprintf("stream %q is unknown", e.Stream) }

// NotReadyError reports that no snapshot can be sent yet, because the state of the stream
// isn't ready.
type NotReadyError struct {
	// Stream is the name of the stream.
	Stream string
}

// Error names the stream.
func (e *NotReadyError) Error() string { return fmt.Sprintf("stream %q is not ready", e.Stream) }

// ChunkError reports that a peer asked for a chunk of a snapshot that this VM doesn't
// keep.
type ChunkError struct {
	// Stream is the name of the stream whose state the snapshot holds.
	Stream string
	// Offset is the offset after the last record that the snapshot includes.
	Offset uint64
	// Chunk is the index of the chunk in the snapshot, from 0.
	Chunk uint32
}

// Error names the chunk.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d of the snapshot of %q at %d is not held", e.Chunk, e.Stream, e.Offset)
}

// Records serves a peer's RPC for records from the newest ones that the replica keeps. It
// must not be called on the control loop. The error is *UnknownStreamError.
func (s *Store) Records(_ context.Context, request *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	f := s.follower(request.Stream)
	if f == nil {
		return nil, &UnknownStreamError{Stream: request.Stream}
	}
	reply := &sycpeerpb.RecordsReply{ProofAgeNano: -1}
	limit := int(min(request.Max, maxReplyRecords))
	s.options.Loop.Do(func(now time.Duration) {
		first, records := f.replica.Window(request.From, limit)
		reply.First = first
		reply.Next = f.replica.State().Next()
		reply.Records = recordsToPeer(records)
		if start, ok := f.replica.Proof(); ok {
			reply.ProofAgeNano = int64(now - start)
		}
	})
	return reply, nil
}

// Snapshot serves a peer's RPC for a chunk of a snapshot. Offset 0 and chunk 0 ask for a
// snapshot of the current state. The error is *UnknownStreamError, *NotReadyError or
// *ChunkError.
func (s *Store) Snapshot(_ context.Context, request *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	f := s.follower(request.Stream)
	if f == nil {
		return nil, &UnknownStreamError{Stream: request.Stream}
	}
	if !f.ready.Load() {
		return nil, &NotReadyError{Stream: request.Stream}
	}
	chunks, err := f.snapshots.chunks(f, request)
	if err != nil {
		return nil, err
	}
	if int(request.Chunk) >= len(chunks) {
		return nil, &ChunkError{Stream: request.Stream, Offset: request.Offset, Chunk: request.Chunk}
	}
	chunk := chunks[request.Chunk]
	return &sycpeerpb.SnapshotReply{
		Offset: chunk.Next,
		Chunk:  request.Chunk,
		Chunks: uint32(chunk.Chunks),
		Data:   chunk.Data,
	}, nil
}

// snapshotCache keeps the last two snapshots that were made for peers, so that one peer
// can fetch all chunks of a snapshot while another asks for a newer one.
type snapshotCache struct {
	// mutex guards kept.
	mutex sync.Mutex
	// kept holds the chunks of each snapshot, the older snapshot first.
	kept [][]sycconfig.Chunk
}

// chunks returns the chunks of the snapshot that a peer asks for. It makes a snapshot of
// the follower's state if the peer asks for the newest one and it isn't kept.
func (c *snapshotCache) chunks(f *follower, request *sycpeerpb.SnapshotRequest) ([]sycconfig.Chunk, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := request.Offset == 0 && request.Chunk == 0
	state := f.state.Load()
	want := request.Offset
	if newest {
		want = state.Next()
	}
	for _, chunks := range c.kept {
		if chunks[0].Next == want {
			return chunks, nil
		}
	}
	if !newest {
		return nil, &ChunkError{Stream: request.Stream, Offset: request.Offset, Chunk: request.Chunk}
	}
	data, err := state.Encode()
	if err != nil {
		return nil, eris.Wrap(err, "state: snapshot")
	}
	chunks := sycconfig.Split(f.stream, state.Next(), f.store.options.Self, data)
	c.kept = append(c.kept[max(0, len(c.kept)-1):], chunks)
	return chunks, nil
}

// recordsToPeer converts records for a response to a peer, up to maxReplyBytes of data.
func recordsToPeer(records []sycconfig.Record) []*sycpeerpb.LogRecord {
	list := make([]*sycpeerpb.LogRecord, 0, len(records))
	size := 0
	for _, r := range records {
		size += len(r.Data())
		if size > maxReplyBytes && len(list) > 0 {
			break
		}
		list = append(list, &sycpeerpb.LogRecord{
			Offset:       r.Offset(),
			Id:           r.ID(),
			TimeUnixNano: r.Time().UnixNano(),
			Data:         r.Data(),
		})
	}
	return list
}

// recordsFromPeer converts the records of a peer's response.
func recordsFromPeer(records []*sycpeerpb.LogRecord) []sycconfig.Record {
	list := make([]sycconfig.Record, 0, len(records))
	for _, r := range records {
		list = append(list, sycconfig.NewRecord(r.Offset, r.Id, time.Unix(0, r.TimeUnixNano), r.Data))
	}
	return list
}

// recordsFromLog converts the records of a page of the log.
func recordsFromLog(records []syclog.Record) []sycconfig.Record {
	list := make([]sycconfig.Record, 0, len(records))
	for _, r := range records {
		list = append(list, sycconfig.NewRecord(r.Offset, r.ID, r.Time, r.Data))
	}
	return list
}
