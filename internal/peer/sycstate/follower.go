package sycstate

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// Limits of reading records.
const (
	// maxPageRecords limits the records in one read from the log or a peer.
	maxPageRecords = 512
	// maxBackoff and firstBackoff are the longest and the first mean pause after a
	// failed read.
	maxBackoff   = 2 * time.Second
	firstBackoff = 50 * time.Millisecond
	// startPollFactor is how many times as often this VM polls peers until its state is
	// ready.
	startPollFactor = 4
	// serveAfterFailures is the number of consecutive failed reads of the log after
	// which a state that was installed from the log's snapshots becomes ready, although
	// the log hasn't been read to its end.
	serveAfterFailures = 2
	// maxRelayedProofAge limits the age of a peer's proof while other VMs read the log for
	// this one. A poll ends at the first peer that has new records, or a proof within the
	// limit that there are none.
	maxRelayedProofAge = 2 * time.Second
)

// snapshotSource tells whether a snapshot came from a peer or from the log.
type snapshotSource int

const (
	// peerSnapshot is the source of snapshots that were fetched from a peer.
	peerSnapshot snapshotSource = iota
	// logSnapshot is the source of snapshots that were read from the log.
	logSnapshot
)

// follower keeps this VM's replica of one stream up to date.
type follower struct {
	// store is the store that the follower belongs to.
	store *Store
	// stream is the name of the followed stream.
	stream string
	// state is the replica's current state. The control loop stores it, any goroutine
	// may load it.
	state atomic.Pointer[sycconfig.State]
	// ready is set once the state may be used to serve requests, and stays set.
	ready atomic.Bool
	// provenAt is the start of the read that gave the latest proof, in nanoseconds on the
	// loop's clock, or -1 without a proof.
	provenAt atomic.Int64
	// logEndsBefore is set while the log ends before the offset that the state has
	// reached: the log was truncated or replaced.
	logEndsBefore atomic.Bool
	// logDiffers is set while the log holds another record at the offset of the last
	// applied one: the log was replaced.
	logDiffers atomic.Bool
	// gap is set while the log, or a peer that was polled, no longer keeps the record that
	// follows the state.
	gap atomic.Bool
	// readFailures counts the reads of the log that failed since the last successful one.
	readFailures atomic.Int64
	// firstRecordTime is when the log accepted the stream's first record, in Unix
	// nanoseconds by the log's clock. It's 0 unless this VM applied that record.
	firstRecordTime atomic.Int64
	// snapshots keeps the snapshots that are being sent to peers.
	snapshots snapshotCache
	// readStart is when the latest read of the log started, in nanoseconds on the loop's
	// clock.
	readStart atomic.Int64
	// proposals counts the calls of ProposeAll that are waiting for results.
	proposals atomic.Int64

	// The control loop owns the fields below.

	// replica applies the stream's records.
	replica *sycconfig.Replica
	// waiters maps the ID of an operation that this VM proposed to the channel that
	// receives its result.
	waiters map[string]chan sycconfig.Result
	// fromLogSnapshot is set if the snapshot that was installed last came from the log.
	fromLogSnapshot bool
}

// newFollower returns a follower of a stream with an empty state.
func newFollower(s *Store, stream string) *follower {
	f := &follower{
		store:   s,
		stream:  stream,
		replica: sycconfig.NewReplica(sycconfig.NewStream(stream)),
		waiters: map[string]chan sycconfig.Result{},
	}
	f.state.Store(f.replica.State())
	f.provenAt.Store(-1)
	return f
}

// proofAge returns the age of the latest proof that the state was up to date, and false
// if there is none.
func (f *follower) proofAge() (time.Duration, bool) {
	start := f.provenAt.Load()
	if start < 0 {
		return 0, false
	}
	return f.store.options.Loop.Now() - time.Duration(start), true
}

// firstRecord returns when the log accepted the stream's first record, and false if
// this VM hasn't applied that record.
func (f *follower) firstRecord() (time.Time, bool) {
	at := f.firstRecordTime.Load()
	return time.Unix(0, at), at != 0
}

// followLog reads the log until the store closes.
func (f *follower) followLog() error {
	for f.store.tomb.Alive() {
		if f.readsPeers() {
			f.store.sleep(f.store.options.PeerPoll)
			continue
		}
		if !f.readLog() {
			failures := f.readFailures.Add(1)
			logReadErrors.Inc()
			f.serveLogSnapshot()
			f.store.sleep(syclog.Jitter(firstBackoff, maxBackoff, int(failures)))
			continue
		}
		f.readFailures.Store(0)
	}
	return nil
}

// readsPeers reports whether this VM gets records from peers, because other VMs read
// the log for the failure domain. It reads the log itself until its state is ready, while
// its proof is older than MaxProofAge, since the other VMs may be gone, and while it waits
// for the results of its own operations.
func (f *follower) readsPeers() bool {
	o := f.store.options
	if o.ReadsLog == nil || o.Peers == nil || f.proposals.Load() > 0 || !f.ready.Load() {
		return false
	}
	age, ok := f.proofAge()
	return ok && age <= o.MaxProofAge && !o.ReadsLog()
}

// verifyLastRecord reports whether the log's next records may be applied: the log must
// still hold the last applied record, or must have dropped it after its retention. The
// records of a log that was replaced must not be applied to the state of the old log.
func (f *follower) verifyLastRecord() bool {
	state := f.state.Load()
	id, ok := state.LastID()
	if !ok {
		return true
	}
	page, err := f.store.options.Log.Read(f.store.context(), f.stream, state.Next()-1, 1, 0)
	if err != nil {
		return false
	}
	if f.endsBefore(page, state.Next()) {
		return false
	}
	if len(page.Records) == 0 || page.Records[0].Offset != state.Next()-1 {
		// The log no longer keeps the record.
		return true
	}
	var op struct {
		ID string `json:"id"`
	}
	err = json.Unmarshal(page.Records[0].Data, &op)
	differs := err != nil || op.ID != id
	if f.logDiffers.Swap(differs) != differs && differs {
		log.Errorf("log stream %s holds another record at %d: keeping the state", f.stream, state.Next()-1)
	}
	return !differs
}

// endsBefore reports whether the log, by the end that a page shows, ends before the
// offset next. It records this in logEndsBefore and logs an error when it becomes true.
func (f *follower) endsBefore(page syclog.Page, next uint64) bool {
	before := page.Next < next
	if f.logEndsBefore.Swap(before) != before && before {
		log.Errorf("log stream %s ends at %d, applied %d: keeping the state", f.stream, page.Next, next)
	}
	return before
}

// readLog reads the log once and applies the records. It returns false if followLog
// should back off: the read failed, its records can't be applied, or the log sent an
// empty response in less than half of the requested wait.
func (f *follower) readLog() bool {
	o := f.store.options
	start := o.Loop.Now()
	f.readStart.Store(int64(start))
	from := f.state.Load().Next()
	wait := f.readWait()
	logReads.Inc()
	page, err := o.Log.Read(f.store.context(), f.stream, from, maxPageRecords, wait)
	if err != nil {
		log.Debugf("reading %s failed: %v", f.stream, err)
		return false
	}
	if f.endsBefore(page, from) {
		return false
	}
	f.gap.Store(page.First > from)
	if page.First > from {
		return false
	}
	if len(page.Records) > 0 && !f.verifyLastRecord() {
		return false
	}
	f.apply(batch{records: recordsFromLog(page.Records), next: page.Next, start: start, hasProof: true})
	return len(page.Records) > 0 || o.Loop.Now()-start >= wait/2
}

// readWait returns how long the log may wait for new records before it responds. It's 0
// before the first proof and after a failure, so that this VM learns at once whether it
// has reached the log's end.
func (f *follower) readWait() time.Duration {
	if f.provenAt.Load() < 0 || f.readFailures.Load() > 0 {
		return 0
	}
	return f.store.options.ReadWait
}

// batch is a response of the log or a peer to a read.
type batch struct {
	// records are the records in the response, by ascending offset.
	records []sycconfig.Record
	// next is the offset of the stream's end as the log or the peer saw it.
	next uint64
	// start is when the read of the log that showed next started, on the loop's clock.
	start time.Duration
	// hasProof is set if next was the log's end at start. It's unset for a peer that
	// itself has no proof.
	hasProof bool
}

// apply applies a batch to the replica on the control loop and publishes the state.
func (f *follower) apply(b batch) {
	f.store.options.Loop.Do(func(now time.Duration) {
		if len(b.records) > 0 && b.records[0].Offset() == 0 && f.replica.State().Next() == 0 {
			f.firstRecordTime.Store(b.records[0].Time().UnixNano())
		}
		results := f.replica.Offer(b.records)
		if b.hasProof {
			f.replica.Prove(b.start, b.next)
		}
		countResults(results)
		f.state.Store(f.replica.State())
		// Results are delivered before the proof is published, so that a proposal that sees
		// the proof has the results of all records before the proven end.
		f.deliver(results)
		f.publishProof(now, len(results) > 0)
	})
}

// publishProof publishes the latest proof, sets ready if there is one, and notifies the
// listeners if the state changed or became ready. It runs on the control loop.
func (f *follower) publishProof(now time.Duration, changed bool) {
	becameReady := false
	if start, ok := f.replica.Proof(); ok {
		f.provenAt.Store(int64(start))
		becameReady = !f.ready.Swap(true)
	}
	if changed || becameReady {
		f.store.notify(now)
	}
}

// deliver sends results to the proposals that wait for them. It runs on the control
// loop.
func (f *follower) deliver(results []sycconfig.Result) {
	for _, result := range results {
		if waiter, ok := f.waiters[result.ID()]; ok {
			waiter <- result
			delete(f.waiters, result.ID())
		}
	}
}

// install replaces the state by a snapshot if the snapshot's offset is higher. A snapshot
// of a peer makes the state ready, also if it doesn't replace it. A snapshot in the log
// doesn't, because it may lack the newest records.
func (f *follower) install(state *sycconfig.State, source snapshotSource) {
	f.store.options.Loop.Do(func(now time.Duration) {
		changed := f.replica.Install(state)
		if changed {
			installedSnapshots.Inc()
			f.gap.Store(false)
			f.fromLogSnapshot = source == logSnapshot
			f.state.Store(f.replica.State())
			log.Infof("took a snapshot of %s at %d", f.stream, state.Next())
		}
		becameReady := source == peerSnapshot && !f.ready.Swap(true)
		if changed || becameReady {
			f.store.notify(now)
		}
	})
}

// serveLogSnapshot makes a state that was installed from the log's snapshots ready, once
// the log has failed serveAfterFailures times in a row before its end was read.
func (f *follower) serveLogSnapshot() {
	if f.ready.Load() || f.readFailures.Load() < serveAfterFailures {
		return
	}
	f.store.options.Loop.Do(func(now time.Duration) {
		if f.fromLogSnapshot && !f.ready.Swap(true) {
			f.store.notify(now)
		}
	})
}

// followPeers polls peers until the store closes.
func (f *follower) followPeers() error {
	for f.store.tomb.Alive() {
		f.pollPeers()
		poll := f.store.options.PeerPoll
		if !f.ready.Load() {
			poll /= startPollFactor
		}
		f.store.sleep(poll/2 + syclog.Jitter(poll, poll, 1))
	}
	return nil
}

// pollPeers fetches a snapshot if the state isn't ready or the next record is no longer
// kept, and reads records if this VM depends on peers for them.
func (f *follower) pollPeers() {
	ctx, cancel := context.WithTimeout(f.store.context(), f.store.options.ReadWait)
	defer cancel()
	if !f.ready.Load() || f.gap.Load() {
		if err := f.fetchSnapshot(ctx); err != nil {
			log.Debugf("fetching a snapshot of %s from peers failed: %v", f.stream, err)
		}
	}
	switch {
	case f.readsPeers():
		f.readPeer(ctx, maxRelayedProofAge)
	case f.logSilent():
		f.readPeer(ctx, 0)
	}
}

// logSilent reports whether records must come from peers because reading the log gives
// none: it failed, it hasn't reached the log's end yet, or its response takes longer than
// ReadWait and PeerPoll together.
func (f *follower) logSilent() bool {
	if _, ok := f.proofAge(); !ok || f.readFailures.Load() > 0 {
		return true
	}
	o := f.store.options
	return o.Loop.Now()-time.Duration(f.readStart.Load()) > o.ReadWait+o.PeerPoll
}

// readPeer asks several peers in turn for records and applies the response. It stops at
// the first peer that has new records, or a proof, no older than maxProofAge, that there
// are none.
func (f *follower) readPeer(ctx context.Context, maxProofAge time.Duration) {
	peerReads.Inc()
	start := f.store.options.Loop.Now()
	from := f.state.Load().Next()
	reply, err := f.store.options.Peers.Records(ctx, sycpeer.Query{
		Stream:      f.stream,
		From:        from,
		Max:         maxPageRecords,
		MaxProofAge: maxProofAge,
	})
	if err != nil {
		log.Debugf("reading %s from peers failed: %v", f.stream, err)
		return
	}
	if reply.First > from {
		f.gap.Store(true)
	}
	f.apply(batch{
		records:  recordsFromPeer(reply.Records),
		next:     reply.Next,
		start:    start - time.Duration(reply.ProofAgeNano),
		hasProof: reply.ProofAgeNano >= 0,
	})
}
