package sycconfig

import "time"

// Limits on the recent records and results that a replica keeps.
const (
	// WindowRecords limits the number of records.
	WindowRecords = 4096
	// WindowBytes limits the total size of the records' data, in bytes.
	WindowBytes = 8 << 20
	// WindowResults is the number of newest results that are kept at least. Up to twice
	// as many may be kept.
	WindowResults = 1024
)

// Record is a log record that holds an operation.
type Record struct {
	// offset is the record's offset in its stream.
	offset uint64
	// id is the ID that the writer gave to the record.
	id string
	// at is when the log accepted the record, by the log's clock.
	at time.Time
	// data is the operation's JSON.
	data []byte
}

// NewRecord returns the record that the log holds at an offset. At is when the log
// accepted it, by the log's clock.
func NewRecord(offset uint64, id string, at time.Time, data []byte) Record {
	return Record{offset: offset, id: id, at: at, data: data}
}

// Offset returns the record's offset in its stream.
func (r Record) Offset() uint64 { return r.offset }

// ID returns the ID that the writer gave to the record.
func (r Record) ID() string { return r.id }

// Time returns when the log accepted the record, by the log's clock.
func (r Record) Time() time.Time { return r.at }

// Data returns the operation's JSON; the caller must not change it.
func (r Record) Data() []byte { return r.data }

// Replica is this VM's copy of the state of one stream. It applies records that the
// VM read from the log or received from other VMs, in any order of arrival. Its
// offset never decreases. A replica isn't safe for concurrent use.
type Replica struct {
	// state is the current state; its offset never decreases.
	state *State
	// window holds the newest applied records, for other VMs that are behind. Their
	// offsets are contiguous and end at state.Next() - 1.
	window []Record
	// windowBytes is the total size of the data of the window's records, in bytes.
	windowBytes int
	// results holds the results of the newest applied records, by ascending offset.
	results []Result
	// provenAt is when the newest read began that showed an end of the stream which the
	// state had reached, on the caller's monotonic clock; valid if hasProof is set.
	provenAt time.Duration
	// hasProof is set once a read has shown that the state was up to date.
	hasProof bool
}

// NewReplica returns a replica with the given state.
func NewReplica(s *State) *Replica { return &Replica{state: s} }

// State returns the current state.
func (r *Replica) State() *State { return r.state }

// Offer applies, in the given order, each record whose offset is the next one of the
// state, and ignores all others. It returns the results of the applied records.
func (r *Replica) Offer(records []Record) []Result {
	var results []Result
	for _, record := range records {
		if record.offset != r.state.next {
			continue
		}
		state, result := r.state.Apply(record.offset, record.data)
		r.state = state
		r.addToWindow(record)
		results = append(results, result)
	}
	r.results = keepNewest(append(r.results, results...), WindowResults)
	return results
}

// Install replaces the state by a snapshot's and reports true if the snapshot's
// offset is higher. Otherwise it does nothing.
func (r *Replica) Install(s *State) bool {
	if s.next <= r.state.next {
		return false
	}
	r.state = s
	r.window = nil
	r.windowBytes = 0
	return true
}

// addToWindow adds a record to the window and drops the oldest records beyond
// WindowRecords or WindowBytes.
func (r *Replica) addToWindow(record Record) {
	r.window = append(r.window, record)
	r.windowBytes += len(record.data)
	for len(r.window) > WindowRecords || r.windowBytes > WindowBytes {
		r.windowBytes -= len(r.window[0].data)
		r.window[0] = Record{}
		r.window = r.window[1:]
	}
}

// Prove records a read of the stream's end, which started at the given time and
// showed the end at offset next. If the state has reached that offset, the read
// proves that the state was up to date at start. Otherwise it's ignored.
func (r *Replica) Prove(start time.Duration, next uint64) {
	if r.state.next < next {
		return
	}
	if !r.hasProof || start > r.provenAt {
		r.provenAt = start
		r.hasProof = true
	}
}

// Proof returns the latest time at which the state is proven to have been up to
// date, see Prove. It returns false if there is no proof yet.
func (r *Replica) Proof() (start time.Duration, ok bool) { return r.provenAt, r.hasProof }

// Results returns the kept results of records at the offset since and later.
func (r *Replica) Results(since uint64) []Result {
	var list []Result
	for _, result := range r.results {
		if result.offset >= since {
			list = append(list, result)
		}
	}
	return list
}

// Window returns at most limit of the kept records, starting at the offset from, and
// the offset first of the oldest kept record. It returns no records if the record at
// from isn't kept.
func (r *Replica) Window(from uint64, limit int) (first uint64, records []Record) {
	first = r.state.next - uint64(len(r.window))
	if from < first || from >= r.state.next {
		return first, nil
	}
	records = r.window[from-first:]
	return first, records[:min(limit, len(records))]
}

// keepNewest drops old items of a list but keeps at least the last n. It copies only
// when the list has more than 2n items, so that the amortized cost per item is
// constant.
func keepNewest[T any](list []T, n int) []T {
	if len(list) <= 2*n {
		return list
	}
	return append([]T(nil), list[len(list)-n:]...)
}
