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

// SnapshotStream is the stream that VMs append snapshots to.
const SnapshotStream = "snapshots"

// Bounds of the work on the snapshots stream.
const (
	archivePage  = 32
	archiveTicks = 64
	maxArchive   = time.Minute
	minArchive   = 50 * time.Millisecond
	maxYield     = 5 * time.Second
	appendTries  = 3
)

// archive reads snapshots from the log and appends them in time for the log's
// retention. Its goroutine owns all fields.
type archive struct {
	store *Store
	// next is the offset that is read next.
	next       uint64
	assemblers map[string]*sycconfig.Assembler
	// draw is this VM's place in the spread of VMs, from 0 to 1.
	draw float64
}

func newArchive(s *Store) *archive {
	return &archive{
		store: s,
		draw:  rand.Float64(),
		assemblers: map[string]*sycconfig.Assembler{
			ConfigStream: {},
			SystemStream: {},
		},
	}
}

// run keeps the archive until the store closes.
func (a *archive) run() error {
	period := a.period()
	failures := 0
	for a.store.tomb.Alive() {
		if err := a.tick(); err != nil {
			failures++
			log.Debugf("snapshots: %v", err)
			a.store.sleep(syclog.Jitter(firstPause, max(period, maxPause), failures))
			continue
		}
		failures = 0
		a.store.sleep(period/2 + syclog.Jitter(period, period, 1))
	}
	return nil
}

// period is the mean pause between looks at the stream.
func (a *archive) period() time.Duration {
	return min(maxArchive, max(minArchive, a.store.options.Retention/archiveTicks))
}

func (a *archive) tick() error {
	if err := a.read(); err != nil {
		return err
	}
	for _, f := range a.store.followers() {
		a.install(f)
		if !a.due(f) {
			continue
		}
		// Another VM may be quicker.
		a.store.sleep(syclog.Jitter(a.period(), maxYield, 1))
		if err := a.read(); err != nil {
			return err
		}
		if !a.due(f) {
			continue
		}
		if err := a.append(f); err != nil {
			return err
		}
	}
	return nil
}

// read takes in the snapshots stream up to its end.
func (a *archive) read() error {
	ctx := a.store.context()
	for {
		page, err := a.store.options.Log.Read(ctx, SnapshotStream, a.next, archivePage, 0)
		if err != nil {
			return eris.Wrap(err, "state: read snapshots")
		}
		for _, record := range page.Records {
			a.add(record)
			a.next = record.Offset + 1
		}
		if len(page.Records) == 0 || a.next >= page.Next {
			a.next = page.Next
			return nil
		}
	}
}

func (a *archive) add(record syclog.Record) {
	var chunk sycconfig.Chunk
	if err := json.Unmarshal(record.Data, &chunk); err != nil {
		log.Warnf("the snapshot record at %d is malformed: %v", record.Offset, err)
		return
	}
	if assembler, ok := a.assemblers[chunk.Stream]; ok {
		assembler.Add(chunk, record.Time)
	}
}

// install uses the newest snapshot where it is ahead of the folded state and
// the log cannot continue that state. A VM that can read on from its own state
// never needs one, and one of a log that was replaced would revert it.
func (a *archive) install(f *follower) {
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
	f.install(state, fromArchive)
}

// due reports whether the log may forget what no snapshot covers.
func (a *archive) due(f *follower) bool {
	state := f.state.Load()
	if a.store.options.ReadOnly || state.Next() == 0 || !f.ready.Load() {
		return false
	}
	uncovered, known := f.oldestRecord()
	records := state.Next()
	if newest, ok := a.assemblers[f.stream].Newest(); ok {
		uncovered, known = newest.Time(), true
		records -= min(records, newest.Next())
	}
	// A VM that started from a peer cannot know the age of the records.
	return !known || sycconfig.SnapshotDue(time.Now(), uncovered, a.store.options.Retention, records, a.draw)
}

// append writes a snapshot of the present state.
func (a *archive) append(f *follower) error {
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
	snapshots.Inc()
	log.Infof("appended a snapshot of %s at %d", f.stream, state.Next())
	return nil
}

// appendChunk repeats lost appends: a chunk that is there twice does no harm.
func (a *archive) appendChunk(chunk sycconfig.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return eris.Wrap(err, "state: snapshot")
	}
	id := fmt.Sprintf("%s/%s/%d/%d", chunk.Writer, chunk.Stream, chunk.Next, chunk.Chunk)
	for try := 1; ; try++ {
		_, err = a.store.options.Log.Append(a.store.context(), SnapshotStream, syclog.Entry{ID: id, Data: data})
		var lost *syclog.LostError
		if !errors.As(err, &lost) || try == appendTries {
			return err
		}
	}
}

// decode reads a snapshot and checks that it is of the stream.
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

// fetchSnapshot asks peers for a snapshot and uses it.
func (f *follower) fetchSnapshot(ctx context.Context) error {
	_, data, err := f.store.options.Peers.Snapshot(ctx, f.stream)
	if err != nil {
		return err
	}
	state, err := decode(f.stream, data)
	if err != nil {
		return err
	}
	f.install(state, fromPeers)
	return nil
}
