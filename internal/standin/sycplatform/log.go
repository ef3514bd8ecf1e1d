package sycplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

const (
	// MaxRecord limits the data of one record, in bytes.
	MaxRecord = 256 << 10
	// maxBody limits the body of an append, in bytes.
	maxBody = 16 << 20
	// maxRead limits the records that one read returns.
	maxRead = 1000
)

// Record is an entry of a log stream. Its offset is its position in the stream, counted
// from 0 over all appends.
type Record struct {
	// Offset is assigned by the log.
	Offset uint64 `json:"offset"`
	// ID is set by the appending client. The log doesn't remove duplicates.
	ID string `json:"id"`
	// Time is when the log appended the record.
	Time time.Time `json:"time"`
	// Data is the content set by the appending client.
	Data json.RawMessage `json:"data"`
}

// stream is a named sequence of records in the log.
type stream struct {
	// records are the retained records, in order of their offsets, without gaps.
	records []Record
	// next is the offset that the next appended record gets.
	next uint64
	// grown is closed and replaced at each append, to wake waiting reads.
	grown chan struct{}
}

// log holds the streams in memory. It deletes old records as the platform's retention
// rules do.
type log struct {
	// retainAge is the maximum age of a record; 0 for no limit.
	retainAge time.Duration
	// retainCount is the maximum number of records in a stream; 0 for no limit.
	retainCount int
	mu          sync.Mutex
	// streams holds the streams by name.
	streams map[string]*stream
}

// newLog returns an empty log that retains records up to an age and a count per stream,
// each without limit if 0.
func newLog(age time.Duration, count int) *log {
	return &log{retainAge: age, retainCount: count, streams: map[string]*stream{}}
}

// stream deletes the expired records of the named stream and returns it, creating it if
// needed. The caller must hold mu.
func (l *log) stream(name string, now time.Time) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	drop := 0
	if l.retainCount > 0 {
		drop = max(0, len(s.records)-l.retainCount)
	}
	for l.retainAge > 0 && drop < len(s.records) && now.Sub(s.records[drop].Time) > l.retainAge {
		drop++
	}
	s.records = s.records[drop:]
	return s
}

// appendRequest is the body of an append.
type appendRequest struct {
	// Records are the records to append, of which ID and Data are used.
	Records []Record `json:"records"`
}

// appendResponse is the response to an append.
type appendResponse struct {
	// FirstOffset is the offset of the first appended record; the others follow it.
	FirstOffset uint64 `json:"first_offset"`
}

// add appends records to the named stream and returns the offset of the first.
func (l *log) add(name string, records []Record) uint64 {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name, now)
	first := s.next
	for _, r := range records {
		r.Offset = s.next
		r.Time = now
		s.records = append(s.records, r)
		s.next++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// append returns the handler of appends. It rejects calls over the limiter's rate, and
// panics with http.ErrAbortHandler to drop a response that must be lost.
func (p *Platform) append(limiter *rate.Limiter) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if !limiter.Allow() {
			return refuse(w, http.StatusTooManyRequests, "too many appends")
		}
		var body appendRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
			return refuse(w, http.StatusBadRequest, err.Error())
		}
		if len(body.Records) == 0 {
			return refuse(w, http.StatusBadRequest, "no records")
		}
		for _, record := range body.Records {
			if len(record.Data) > MaxRecord {
				return refuse(w, http.StatusRequestEntityTooLarge, "a record is too large")
			}
		}
		first := p.log.add(r.Param("stream"), body.Records)
		if p.takeLostAppend() {
			panic(http.ErrAbortHandler)
		}
		return sycserver.WriteJSON(w, http.StatusOK, appendResponse{FirstOffset: first})
	}
}

// readResponse is the response to a read of a stream.
type readResponse struct {
	// First is the offset of the oldest retained record, or Next if there is none.
	First uint64 `json:"first"`
	// Next is the offset that the next appended record will get.
	Next uint64 `json:"next"`
	// Records are the records that were read, in order of their offsets.
	Records []Record `json:"records"`
}

// slice returns up to limit retained records of a stream, starting at the offset from or at
// the oldest retained record after it. The channel is closed at the next append.
func (l *log) slice(name string, from uint64, limit int) (readResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name, time.Now())
	response := readResponse{First: s.next - uint64(len(s.records)), Next: s.next, Records: []Record{}}
	from = max(from, response.First)
	if from >= s.next {
		return response, s.grown
	}
	retained := s.records[from-response.First:]
	response.Records = append(response.Records, retained[:min(limit, len(retained))]...)
	return response, s.grown
}

// read responds with the records from the query's offset "from" on, at most "max" of them.
// If there are none it waits up to the duration "wait" for an append (a long poll).
func (l *log) read(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil && query.Has("from") {
		return refuse(w, http.StatusBadRequest, "from is no offset")
	}
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit <= 0 || limit > maxRead {
		limit = maxRead
	}
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		response, grown := l.slice(r.Param("stream"), from, limit)
		if len(response.Records) > 0 || wait <= 0 {
			return sycserver.WriteJSON(w, http.StatusOK, response)
		}
		select {
		case <-grown:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return nil
		}
	}
}

// Records returns the retained records of a stream.
func (p *Platform) Records(stream string) []Record {
	response, _ := p.log.slice(stream, 0, int(^uint(0)>>1))
	return response.Records
}
