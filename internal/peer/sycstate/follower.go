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

// Bounds of reads.
const (
	pageRecords = 512
	maxPause    = 2 * time.Second
	firstPause  = 50 * time.Millisecond
	// startPolls is how many times as often peers are asked until the VM is ready.
	startPolls = 4
	// graceReads is the number of failed reads of the log after which a VM
	// serves from a snapshot of the log without having read to its end.
	graceReads = 2
	// relayedProof is the age of a peer's proof that settles whether there are
	// new records, while others read the log.
	relayedProof = 2 * time.Second
)

// origin tells where a snapshot came from.
type origin int

const (
	fromPeers origin = iota
	fromArchive
)

// follower keeps the replica of one stream.
type follower struct {
	store  *Store
	stream string
	state  atomic.Pointer[sycconfig.State]
	ready  atomic.Bool
	// proven is the start of the last proof on the loop's clock, -1 for none.
	proven atomic.Int64
	// behind is set while the log ends before the state, diverged while the log
	// holds another record where the state's last one was: the log was replaced.
	behind   atomic.Bool
	diverged atomic.Bool
	// gap is set while a source no longer keeps the next record.
	gap atomic.Bool
	// failures counts the reads of the log that failed since the last good one.
	failures atomic.Int64
	// oldest is the log's time of the first record of the stream, in Unix
	// nanoseconds; 0 unless this VM folded that record.
	oldest atomic.Int64
	served served
	// began is when the newest read of the log began, on the loop's clock.
	began atomic.Int64
	// proposals counts the operations of this VM that wait for their results.
	proposals atomic.Int64

	// The control loop owns the fields below.
	replica *sycconfig.Replica
	waiting map[string]chan sycconfig.Result
	// archived is set when the state came from the log's snapshots.
	archived bool
}

func newFollower(s *Store, stream string) *follower {
	f := &follower{
		store:   s,
		stream:  stream,
		replica: sycconfig.NewReplica(sycconfig.NewStream(stream)),
		waiting: map[string]chan sycconfig.Result{},
	}
	f.state.Store(f.replica.State())
	f.proven.Store(-1)
	return f
}

// proof returns the age of the last proof of being at the log's end.
func (f *follower) proof() (time.Duration, bool) {
	start := f.proven.Load()
	if start < 0 {
		return 0, false
	}
	return f.store.options.Loop.Now() - time.Duration(start), true
}

// oldestRecord returns when the log took the first record of the stream.
func (f *follower) oldestRecord() (time.Time, bool) {
	at := f.oldest.Load()
	return time.Unix(0, at), at != 0
}

// followLog reads the log until the store closes.
func (f *follower) followLog() error {
	for f.store.tomb.Alive() {
		if f.relayed() {
			f.store.sleep(f.store.options.PeerPoll)
			continue
		}
		if !f.readLog() {
			failures := f.failures.Add(1)
			logFaults.Inc()
			f.serveArchived()
			f.store.sleep(syclog.Jitter(firstPause, maxPause, int(failures)))
			continue
		}
		f.failures.Store(0)
	}
	return nil
}

// relayed reports whether records come from peers, since others read the log for
// the failure domain. A VM without a young proof reads for itself: the others
// may be gone. So does one that waits for operations of its own.
func (f *follower) relayed() bool {
	o := f.store.options
	if o.ReadsLog == nil || o.Peers == nil || f.proposals.Load() > 0 || !f.ready.Load() {
		return false
	}
	age, ok := f.proof()
	return ok && age <= o.MaxProofAge && !o.ReadsLog()
}

// verify checks that the log still holds the last record that was folded: a log
// that was replaced must not be folded on top.
func (f *follower) verify() bool {
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
		// The log has forgotten the record.
		return true
	}
	var op struct {
		ID string `json:"id"`
	}
	err = json.Unmarshal(page.Records[0].Data, &op)
	diverged := err != nil || op.ID != id
	if f.diverged.Swap(diverged) != diverged && diverged {
		log.Errorf("log stream %s holds another record at %d: keeping the state", f.stream, state.Next()-1)
	}
	return !diverged
}

// endsBefore notes whether the log ends before an offset.
func (f *follower) endsBefore(page syclog.Page, next uint64) bool {
	behind := page.Next < next
	if f.behind.Swap(behind) != behind && behind {
		log.Errorf("log stream %s ends at %d, applied %d: keeping the state", f.stream, page.Next, next)
	}
	return behind
}

// readLog makes one read and reports whether it helped.
func (f *follower) readLog() bool {
	o := f.store.options
	start := o.Loop.Now()
	f.began.Store(int64(start))
	from := f.state.Load().Next()
	wait := f.wait()
	logReads.Inc()
	page, err := o.Log.Read(f.store.context(), f.stream, from, pageRecords, wait)
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
	if len(page.Records) > 0 && !f.verify() {
		return false
	}
	f.offer(batch{records: fromLog(page.Records), next: page.Next, start: start, proves: true})
	return len(page.Records) > 0 || o.Loop.Now()-start >= wait/2
}

// wait is how long a read is held: not at all before the first proof and after
// a failure, so that a VM learns at once that it is at the log's end.
func (f *follower) wait() time.Duration {
	if f.proven.Load() < 0 || f.failures.Load() > 0 {
		return 0
	}
	return f.store.options.ReadWait
}

// batch is the answer of the log or a peer.
type batch struct {
	records []sycconfig.Record
	// next is the stream's end as the source saw it.
	next uint64
	// start is when the read that showed next began, on the loop's clock.
	start  time.Duration
	proves bool
}

// offer folds a batch on the loop and publishes the state.
func (f *follower) offer(b batch) {
	f.store.options.Loop.Do(func(now time.Duration) {
		if len(b.records) > 0 && b.records[0].Offset() == 0 && f.replica.State().Next() == 0 {
			f.oldest.Store(b.records[0].Time().UnixNano())
		}
		results := f.replica.Offer(b.records)
		if b.proves {
			f.replica.Prove(b.start, b.next)
		}
		count(results)
		f.state.Store(f.replica.State())
		// Results go out before the proof: whoever sees the proof has the results.
		f.answer(results)
		f.publish(now, len(results) > 0)
	})
}

// publish shows the proof and tells the listeners; it runs on the loop.
func (f *follower) publish(now time.Duration, changed bool) {
	becameReady := false
	if start, ok := f.replica.Proof(); ok {
		f.proven.Store(int64(start))
		becameReady = !f.ready.Swap(true)
	}
	if changed || becameReady {
		f.store.notify(now)
	}
}

// answer tells writers what became of their operations; it runs on the loop.
func (f *follower) answer(results []sycconfig.Result) {
	for _, result := range results {
		if waiter, ok := f.waiting[result.ID()]; ok {
			waiter <- result
			delete(f.waiting, result.ID())
		}
	}
}

// install replaces the state by a snapshot that is ahead of it. A snapshot of a
// peer is fit to serve from; one of the log may lack the newest records.
func (f *follower) install(state *sycconfig.State, from origin) {
	f.store.options.Loop.Do(func(now time.Duration) {
		changed := f.replica.Install(state)
		if changed {
			installs.Inc()
			f.gap.Store(false)
			f.archived = from == fromArchive
			f.state.Store(f.replica.State())
			log.Infof("took a snapshot of %s at %d", f.stream, state.Next())
		}
		becameReady := from == fromPeers && !f.ready.Swap(true)
		if changed || becameReady {
			f.store.notify(now)
		}
	})
}

// serveArchived makes a state from the log's snapshots fit to serve from when
// the log has failed before its end was read.
func (f *follower) serveArchived() {
	if f.ready.Load() || f.failures.Load() < graceReads {
		return
	}
	f.store.options.Loop.Do(func(now time.Duration) {
		if f.archived && !f.ready.Swap(true) {
			f.store.notify(now)
		}
	})
}

// followPeers asks peers until the VM is ready and whenever the log is silent.
func (f *follower) followPeers() error {
	for f.store.tomb.Alive() {
		f.askPeers()
		poll := f.store.options.PeerPoll
		if !f.ready.Load() {
			poll /= startPolls
		}
		f.store.sleep(poll/2 + syclog.Jitter(poll, poll, 1))
	}
	return nil
}

func (f *follower) askPeers() {
	ctx, cancel := context.WithTimeout(f.store.context(), f.store.options.ReadWait)
	defer cancel()
	if !f.ready.Load() || f.gap.Load() {
		if err := f.fetchSnapshot(ctx); err != nil {
			log.Debugf("asking peers for a snapshot of %s failed: %v", f.stream, err)
		}
	}
	switch {
	case f.relayed():
		f.readPeer(ctx, relayedProof)
	case f.stale():
		f.readPeer(ctx, 0)
	}
}

// stale reports whether the log failed, has not been read to its end, or takes
// longer for an answer than it holds a read.
func (f *follower) stale() bool {
	if _, ok := f.proof(); !ok || f.failures.Load() > 0 {
		return true
	}
	o := f.store.options
	return o.Loop.Now()-time.Duration(f.began.Load()) > o.ReadWait+o.PeerPoll
}

// readPeer asks peers for records until one has some, or a proof that is young
// enough.
func (f *follower) readPeer(ctx context.Context, settled time.Duration) {
	peerReads.Inc()
	start := f.store.options.Loop.Now()
	from := f.state.Load().Next()
	reply, err := f.store.options.Peers.Records(ctx, sycpeer.Query{
		Stream:  f.stream,
		From:    from,
		Max:     pageRecords,
		Settled: settled,
	})
	if err != nil {
		log.Debugf("asking peers for %s failed: %v", f.stream, err)
		return
	}
	if reply.First > from {
		f.gap.Store(true)
	}
	f.offer(batch{
		records: fromPeer(reply.Records),
		next:    reply.Next,
		start:   start - time.Duration(reply.ProofAgeNano),
		proves:  reply.ProofAgeNano >= 0,
	})
}
