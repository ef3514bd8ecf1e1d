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
	// MaxRecord is the largest record in bytes.
	MaxRecord = 256 << 10
	maxBody   = 16 << 20
	maxRead   = 1000
)

// Record is a record of the log.
type Record struct {
	Offset uint64          `json:"offset"`
	ID     string          `json:"id"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

type stream struct {
	// records are in order of their offsets, which have no gaps.
	records []Record
	// next is the offset of the next record appended.
	next uint64
	// grown is closed and replaced at each append.
	grown chan struct{}
}

type log struct {
	retainAge   time.Duration
	retainCount int
	mu          sync.Mutex
	streams     map[string]*stream
}

func newLog(age time.Duration, count int) *log {
	return &log{retainAge: age, retainCount: count, streams: map[string]*stream{}}
}

// stream returns the named stream without its expired records. The caller holds mu.
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

type appendRequest struct {
	Records []Record `json:"records"`
}

type appendAnswer struct {
	FirstOffset uint64 `json:"first_offset"`
}

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
		return sycserver.WriteJSON(w, http.StatusOK, appendAnswer{FirstOffset: first})
	}
}

type readAnswer struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

func (l *log) slice(name string, from uint64, limit int) (readAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name, time.Now())
	answer := readAnswer{First: s.next - uint64(len(s.records)), Next: s.next, Records: []Record{}}
	from = max(from, answer.First)
	if from >= s.next {
		return answer, s.grown
	}
	kept := s.records[from-answer.First:]
	answer.Records = append(answer.Records, kept[:min(limit, len(kept))]...)
	return answer, s.grown
}

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
		answer, grown := l.slice(r.Param("stream"), from, limit)
		if len(answer.Records) > 0 || wait <= 0 {
			return sycserver.WriteJSON(w, http.StatusOK, answer)
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

// Records returns the kept records of a stream.
func (p *Platform) Records(stream string) []Record {
	answer, _ := p.log.slice(stream, 0, int(^uint(0)>>1))
	return answer.Records
}
