package sycconfig

import "time"

// Sizes of a replica's memory of recent records and results; WindowBytes bounds
// the data of the records.
const (
	WindowRecords = 4096
	WindowBytes   = 8 << 20
	WindowResults = 1024
)

// Record is a log record on its way into the fold.
type Record struct {
	offset uint64
	id     string
	at     time.Time
	data   []byte
}

// NewRecord returns the record that the log holds at an offset. The time is the
// log's.
func NewRecord(offset uint64, id string, at time.Time, data []byte) Record {
	return Record{offset: offset, id: id, at: at, data: data}
}

// Offset is the record's place in its stream.
func (r Record) Offset() uint64 { return r.offset }

// ID is the id that the writer gave to the record.
func (r Record) ID() string { return r.id }

// Time is when the log took the record.
func (r Record) Time() time.Time { return r.at }

// Data is the operation; it must not be changed.
func (r Record) Data() []byte { return r.data }

// Replica follows one stream: it folds records from the log and from peers, in
// any order of arrival, into one state that never goes back.
type Replica struct {
	// state.Next never decreases.
	state *State
	// window holds the newest applied records; contiguous, and the last is at
	// state.Next - 1 unless it is empty.
	window []Record
	// bytes is the size of the data of the window's records.
	bytes int
	// results are of the newest records, in the order of their offsets.
	results []Result
	// proven is the start of the newest read that showed that the state
	// reached the end of the log; meaningful if proof is set.
	proven time.Duration
	proof  bool
}

// NewReplica returns a replica that starts from a state.
func NewReplica(s *State) *Replica { return &Replica{state: s} }

// State is the present state.
func (r *Replica) State() *State { return r.state }

// Offer folds those records that continue the state and ignores all others. It
// returns the results of the folded ones.
func (r *Replica) Offer(records []Record) []Result {
	var results []Result
	for _, record := range records {
		if record.offset != r.state.next {
			continue
		}
		state, result := r.state.Apply(record.offset, record.data)
		r.state = state
		r.remember(record)
		results = append(results, result)
	}
	r.results = newest(append(r.results, results...), WindowResults)
	return results
}

// Install replaces the state by a snapshot of a higher offset and reports
// whether it did.
func (r *Replica) Install(s *State) bool {
	if s.next <= r.state.next {
		return false
	}
	r.state = s
	r.window = nil
	r.bytes = 0
	return true
}

// remember adds a record to the window and drops the oldest ones that are too
// many or too large together.
func (r *Replica) remember(record Record) {
	r.window = append(r.window, record)
	r.bytes += len(record.data)
	for len(r.window) > WindowRecords || r.bytes > WindowBytes {
		r.bytes -= len(r.window[0].data)
		r.window[0] = Record{}
		r.window = r.window[1:]
	}
}

// Prove notes that a read that started at the given time showed that the
// stream's end was at next. It counts only if the state has got there.
func (r *Replica) Prove(start time.Duration, next uint64) {
	if r.state.next < next {
		return
	}
	if !r.proof || start > r.proven {
		r.proven = start
		r.proof = true
	}
}

// Proof returns the start of the newest read that showed that the state was
// at the stream's end.
func (r *Replica) Proof() (start time.Duration, ok bool) { return r.proven, r.proof }

// Results returns the results of records from an offset on, as far as they are
// remembered.
func (r *Replica) Results(since uint64) []Result {
	var list []Result
	for _, result := range r.results {
		if result.offset >= since {
			list = append(list, result)
		}
	}
	return list
}

// Window returns at most limit records from an offset on, and the oldest offset
// that is remembered.
func (r *Replica) Window(from uint64, limit int) (first uint64, records []Record) {
	first = r.state.next - uint64(len(r.window))
	if from < first || from >= r.state.next {
		return first, nil
	}
	records = r.window[from-first:]
	return first, records[:min(limit, len(records))]
}

// newest keeps the last n items of a list; it copies only when the list has
// grown to twice that, so the cost per item stays constant.
func newest[T any](list []T, n int) []T {
	if len(list) <= 2*n {
		return list
	}
	return append([]T(nil), list[len(list)-n:]...)
}
