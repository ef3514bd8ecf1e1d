package sycstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// SnapshotStream is the log stream that holds the snapshots of the config and system
// states. VMs append snapshots to it as chunks, one per record.
const SnapshotStream = "snapshots"

// Limits of reading and appending snapshots.
const (
	// maxSnapshotPage limits the records of the snapshots stream in one read.
	maxSnapshotPage = 32
	// checksPerRetention is how many times per retention of the log the archiver
	// checks whether a snapshot is due, within the two periods below.
	checksPerRetention = 64
	// maxCheckPeriod and minCheckPeriod limit the mean time between two checks.
	maxCheckPeriod = time.Minute
	minCheckPeriod = 50 * time.Millisecond
	// maxAppendDelay limits the random delay before a due snapshot is appended, in
	// which another VM may append one.
	maxAppendDelay = 5 * time.Second
	// maxAppendTries limits how many times the append of a chunk is tried if the
	// responses are lost.
	maxAppendTries = 3
)

// archiver reads the snapshots in the log and appends a new one before the log's
// retention drops records that no snapshot includes. All fields belong to the
// goroutine that calls run.
type archiver struct {
	// store is the store that the archiver belongs to.
	store *Store
	// next is the offset of the snapshots stream to read next.
	next uint64
	// assemblers join the chunks of snapshots. The key is the name of the stream whose
	// state the snapshots hold.
	assemblers map[string]*sycconfig.Assembler
	// draw is a random number from 0 to 1 that makes snapshots due at different times
	// on different VMs; see sycconfig.SnapshotDue.
	draw float64
}

// newArchiver returns an archiver that has read no snapshots yet.
func newArchiver(s *Store) *archiver {
	return &archiver{
		store: s,
		draw:  rand.Float64(),
		assemblers: map[string]*sycconfig.Assembler{
			ConfigStream: {},
			SystemStream: {},
		},
	}
}

// run checks periodically whether snapshots have to be installed or appended, until
// the store closes.
func (a *archiver) run() error {
	period := a.period()
	failures := 0
	for a.store.tomb.Alive() {
		if err := a.check(); err != nil {
			failures++
			log.Debugf("snapshots: %v", err)
			a.store.sleep(syclog.Jitter(firstBackoff, max(period, maxBackoff), failures))
			continue
		}
		failures = 0
		a.store.sleep(period/2 + syclog.Jitter(period, period, 1))
	}
	return nil
}

// period returns the mean time between two checks.
func (a *archiver) period() time.Duration {
	return min(maxCheckPeriod, max(minCheckPeriod, a.store.options.Retention/checksPerRetention))
}

// check reads new snapshots, and for each followed stream installs the newest one if
// the state needs it and appends one if it is due.
func (a *archiver) check() error {
	if err := a.readSnapshots(); err != nil {
		return err
	}
	for _, f := range a.store.followers() {
		a.installNewest(f)
		if !a.snapshotDue(f) {
			continue
		}
		// Another VM may append a snapshot during the delay.
		a.store.sleep(syclog.Jitter(a.period(), maxAppendDelay, 1))
		if err := a.readSnapshots(); err != nil {
			return err
		}
		if !a.snapshotDue(f) {
			continue
		}
		if err := a.appendSnapshot(f); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshots reads the new records of the snapshots stream up to its end.
func (a *archiver) readSnapshots() error {
	ctx := a.store.context()
	for {
		page, err := a.store.options.Log.Read(ctx, SnapshotStream, a.next, maxSnapshotPage, 0)
		if err != nil {
			return eris.Wrap(err, "state: read snapshots")
		}
		for _, record := range page.Records {
			a.addChunk(record)
			a.next = record.Offset + 1
		}
		if len(page.Records) == 0 || a.next >= page.Next {
			a.next = page.Next
			return nil
		}
	}
}

// addChunk adds the snapshot chunk in a record to the assembler of its stream. Records
// that are malformed or belong to other streams are ignored.
func (a *archiver) addChunk(record syclog.Record) {
	var chunk sycconfig.Chunk
	if err := json.Unmarshal(record.Data, &chunk); err != nil {
		log.Warnf("the snapshot record at %d is malformed: %v", record.Offset, err)
		return
	}
	if assembler, ok := a.assemblers[chunk.Stream]; ok {
		assembler.Add(chunk, record.Time)
	}
}

// installNewest replaces the follower's state by the newest snapshot in the log if the
// snapshot's offset is higher, and the follower isn't ready or can't read the next
// record. A VM that can read the next record doesn't need a snapshot, and a snapshot of
// a log that was replaced would revert its state.
func (a *archiver) installNewest(f *follower) {
	if f.ready.Load() && !f.gap.Load() {
		return
	}
	newest, ok := a.assemblers[f.stream].Newest()
	if !ok || newest.Next() <= f.state.Load().Next() {
		return
	}
	state, err := decode(f.stream, newest.Data())
	if err != nil {
		log.Warnf("the snapshot of %s at %d is unusable: %v", f.stream, newest.Next(), err)
		return
	}
	f.install(state, logSnapshot)
}

// snapshotDue reports whether this VM should append a snapshot of the follower's state,
// because the log's retention may drop records that no snapshot includes or because many
// records have followed the newest snapshot. It returns false if the store is read-only,
// no record has been applied or the state isn't ready.
func (a *archiver) snapshotDue(f *follower) bool {
	state := f.state.Load()
	if a.store.options.ReadOnly || state.Next() == 0 || !f.ready.Load() {
		return false
	}
	uncovered, known := f.firstRecord()
	records := state.Next()
	if newest, ok := a.assemblers[f.stream].Newest(); ok {
		uncovered, known = newest.Time(), true
		records -= min(records, newest.Next())
	}
	// A VM that started from a peer's snapshot doesn't know the age of the log's first
	// record. For such a VM a snapshot is due at once if the log has none.
	return !known || sycconfig.SnapshotDue(time.Now(), uncovered, a.store.options.Retention, records, a.draw)
}

// appendSnapshot appends a snapshot of the follower's current state to the log.
func (a *archiver) appendSnapshot(f *follower) error {
	state := f.state.Load()
	data, err := state.Encode()
	if err != nil {
		return eris.Wrap(err, "state: snapshot")
	}
	for _, chunk := range sycconfig.Split(f.stream, state.Next(), a.store.options.Self, data) {
		if err := a.appendChunk(chunk); err != nil {
			return err
		}
	}
	appendedSnapshots.Inc()
	log.Infof("appended a snapshot of %s at %d", f.stream, state.Next())
	return nil
}

// appendChunk appends a chunk to the log. It repeats the append if the response was
// lost, because a chunk that appears twice in the log does no harm.
func (a *archiver) appendChunk(chunk sycconfig.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return eris.Wrap(err, "state: snapshot")
	}
	id := fmt.Sprintf("%s/%s/%d/%d", chunk.Writer, chunk.Stream, chunk.Next, chunk.Chunk)
	for try := 1; ; try++ {
		_, err = a.store.options.Log.Append(a.store.context(), SnapshotStream, syclog.Entry{ID: id, Data: data})
		var lost *syclog.LostError
		if !errors.As(err, &lost) || try == maxAppendTries {
			return err
		}
	}
}

// decode decodes a snapshot and checks that it holds the state of the given stream.
func decode(stream string, data []byte) (*sycconfig.State, error) {
	state, err := sycconfig.Decode(data)
	if err != nil {
		return nil, err
	}
	if state.Stream() != stream {
		return nil, &UnknownStreamError{Stream: state.Stream()}
	}
	return state, nil
}

// fetchSnapshot fetches a snapshot from a peer and installs it.
func (f *follower) fetchSnapshot(ctx context.Context) error {
	_, data, err := f.store.options.Peers.Snapshot(ctx, f.stream)
	if err != nil {
		return err
	}
	state, err := decode(f.stream, data)
	if err != nil {
		return err
	}
	f.install(state, peerSnapshot)
	return nil
}
