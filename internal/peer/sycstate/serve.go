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

// maxServed bounds the records in one answer to a peer, maxServedBytes their data.
const (
	maxServed      = 512
	maxServedBytes = 512 << 10
)

// UnknownStreamError reports a stream that the store does not follow.
type UnknownStreamError struct {
	Stream string
}

// Error names the stream.
func (e *UnknownStreamError) Error() string { return fmt.Sprintf("stream %q is unknown", e.Stream) }

// NotReadyError reports that the store has nothing yet.
type NotReadyError struct {
	Stream string
}

// Error names the stream.
func (e *NotReadyError) Error() string { return fmt.Sprintf("stream %q is not ready", e.Stream) }

// ChunkError reports a chunk of a snapshot that is not held.
type ChunkError struct {
	Stream string
	Offset uint64
	Chunk  uint32
}

// Error names the chunk.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d of the snapshot of %q at %d is not held", e.Chunk, e.Stream, e.Offset)
}

// Records answers a peer's question for records. It must not be called on the
// control loop. The error is *StreamError.
func (s *Store) Records(_ context.Context, request *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	f := s.follower(request.Stream)
	if f == nil {
		return nil, &UnknownStreamError{Stream: request.Stream}
	}
	reply := &sycpeerpb.RecordsReply{ProofAgeNano: -1}
	limit := int(min(request.Max, maxServed))
	s.options.Loop.Do(func(now time.Duration) {
		first, records := f.replica.Window(request.From, limit)
		reply.First = first
		reply.Next = f.replica.State().Next()
		reply.Records = toPeer(records)
		if start, ok := f.replica.Proof(); ok {
			reply.ProofAgeNano = int64(now - start)
		}
	})
	return reply, nil
}

// Snapshot answers a peer's question for a chunk of a snapshot. The error is
// *StreamError, *NotReadyError or *ChunkError.
func (s *Store) Snapshot(_ context.Context, request *sycpeerpb.SnapshotRequest) (*sycpeerpb.SnapshotReply, error) {
	f := s.follower(request.Stream)
	if f == nil {
		return nil, &UnknownStreamError{Stream: request.Stream}
	}
	if !f.ready.Load() {
		return nil, &NotReadyError{Stream: request.Stream}
	}
	chunks, err := f.served.chunks(f, request)
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

// served holds the last two snapshots that peers asked for, so that a peer can
// read all chunks of one while another asks for a newer.
type served struct {
	mutex sync.Mutex
	// held is ordered from old to new.
	held [][]sycconfig.Chunk
}

// chunks returns the chunks of the snapshot that a peer asks for.
func (c *served) chunks(f *follower, request *sycpeerpb.SnapshotRequest) ([]sycconfig.Chunk, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := request.Offset == 0 && request.Chunk == 0
	state := f.state.Load()
	want := request.Offset
	if newest {
		want = state.Next()
	}
	for _, chunks := range c.held {
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
	c.held = append(c.held[max(0, len(c.held)-1):], chunks)
	return chunks, nil
}

// toPeer converts records up to a bound of their bytes.
func toPeer(records []sycconfig.Record) []*sycpeerpb.LogRecord {
	list := make([]*sycpeerpb.LogRecord, 0, len(records))
	size := 0
	for _, r := range records {
		size += len(r.Data())
		if size > maxServedBytes && len(list) > 0 {
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

func fromPeer(records []*sycpeerpb.LogRecord) []sycconfig.Record {
	list := make([]sycconfig.Record, 0, len(records))
	for _, r := range records {
		list = append(list, sycconfig.NewRecord(r.Offset, r.Id, time.Unix(0, r.TimeUnixNano), r.Data))
	}
	return list
}

func fromLog(records []syclog.Record) []sycconfig.Record {
	list := make([]sycconfig.Record, 0, len(records))
	for _, r := range records {
		list = append(list, sycconfig.NewRecord(r.Offset, r.ID, r.Time, r.Data))
	}
	return list
}
