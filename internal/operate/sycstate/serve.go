package sycstate

import (
	"fmt"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/platform/syclog"
)

// maxServed bounds the records in one answer to a peer.
const maxServed = 512

// StreamError reports a stream that the store does not follow.
type StreamError struct {
	Stream string
}

// Error names the stream.
func (e *StreamError) Error() string { return fmt.Sprintf("stream %q is unknown", e.Stream) }

// NotReadyError reports that the store has nothing yet.
type NotReadyError struct {
	Stream string
}

// Error names the stream.
func (e *NotReadyError) Error() string { return fmt.Sprintf("stream %q is not ready", e.Stream) }

// ServeRecords answers a peer's question for records. It must not be called on
// the control loop.
func (s *Store) ServeRecords(request *sycpeerpb.RecordsRequest) (*sycpeerpb.RecordsReply, error) {
	f := s.follower(request.Stream)
	if f == nil {
		return nil, &StreamError{Stream: request.Stream}
	}
	reply := &sycpeerpb.RecordsReply{ProofAgeNano: -1}
	limit := min(int(request.Max), maxServed)
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

func toPeer(records []sycconfig.Record) []*sycpeerpb.LogRecord {
	list := make([]*sycpeerpb.LogRecord, 0, len(records))
	for _, r := range records {
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
