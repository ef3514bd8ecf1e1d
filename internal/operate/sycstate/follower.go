package sycstate

import (
	"context"
	"sync/atomic"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/platform/syclog"
)

// Bounds of reads.
const (
	pageRecords = 512
	maxPause    = 2 * time.Second
	firstPause  = 50 * time.Millisecond
)

// follower keeps the replica of one stream.
type follower struct {
	store  *Store
	stream string
	state  atomic.Pointer[sycconfig.State]
	ready  atomic.Bool
	// proven is the start of the last proof on the loop's clock, -1 for none.
	proven atomic.Int64
	// behind is set while the log ends before the state: it was replaced or
	// truncated.
	behind atomic.Bool

	// The control loop owns the fields below.
	replica *sycconfig.Replica
	waiting map[string]chan sycconfig.Result
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

// context ends with the store.
func (f *follower) context() context.Context { return f.store.tomb.Context(nil) }

// proof returns the age of the last proof of being at the log's end.
func (f *follower) proof() (time.Duration, bool) {
	start := f.proven.Load()
	if start < 0 {
		return 0, false
	}
	return f.store.options.Loop.Now() - time.Duration(start), true
}

// followLog reads the log until the store closes.
func (f *follower) followLog() error {
	failures := 0
	for f.store.tomb.Alive() {
		pause, ok := f.readLog()
		if ok {
			failures = 0
		} else {
			failures++
			pause += syclog.Jitter(firstPause, maxPause, failures)
		}
		f.sleep(pause)
	}
	return nil
}

// readLog makes one read. It reports whether the read helped, and the least
// pause before the next.
func (f *follower) readLog() (pause time.Duration, ok bool) {
	o := f.store.options
	start := o.Loop.Now()
	from := f.state.Load().Next()
	page, err := o.Log.Read(f.context(), f.stream, from, pageRecords, o.Wait)
	if err != nil {
		f.store.log.Debugf("state: reading %s failed: %v", f.stream, err)
		return 0, false
	}
	if f.behind.Swap(page.Next < from) != (page.Next < from) {
		f.store.log.Warnf("state: log stream %s ends at %d, applied %d", f.stream, page.Next, from)
	}
	if page.Next < from || page.First > from {
		return 0, false
	}
	f.offer(batch{records: fromLog(page.Records), next: page.Next, start: start, proves: true})
	return 0, len(page.Records) > 0 || o.Loop.Now()-start >= o.Wait/2
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
		results := f.replica.Offer(b.records)
		if b.proves {
			f.replica.Prove(b.start, b.next)
		}
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

// followPeers asks peers while the log is silent.
func (f *follower) followPeers() error {
	for f.store.tomb.Alive() {
		if f.stale() {
			f.readPeer()
		}
		f.sleep(f.store.options.PeerPoll/2 + syclog.Jitter(f.store.options.PeerPoll, f.store.options.PeerPoll, 1))
	}
	return nil
}

// stale reports whether the log has not been heard for longer than a held read
// and a peer's answer take.
func (f *follower) stale() bool {
	age, ok := f.proof()
	return !ok || age > f.store.options.Wait+f.store.options.PeerPoll
}

func (f *follower) readPeer() {
	start := f.store.options.Loop.Now()
	ctx, cancel := context.WithTimeout(f.context(), f.store.options.Wait)
	defer cancel()
	reply, err := f.store.options.Peers.Records(ctx, f.stream, f.state.Load().Next(), pageRecords)
	if err != nil {
		f.store.log.Debugf("state: asking a peer for %s failed: %v", f.stream, err)
		return
	}
	f.offer(batch{
		records: fromPeer(reply.Records),
		next:    reply.Next,
		start:   start - time.Duration(reply.ProofAgeNano),
		proves:  reply.ProofAgeNano >= 0,
	})
}

func (f *follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.store.tomb.Dying():
	}
}
