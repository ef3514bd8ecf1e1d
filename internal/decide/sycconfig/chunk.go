package sycconfig

import (
	"bytes"
	"time"
)

// Limits on snapshots in the log.
const (
	// ChunkSize limits the data of one chunk, in bytes.
	ChunkSize = 128 << 10
	// maxChunks limits the chunks of one snapshot.
	maxChunks = 512
	// maxPartialSnapshots limits the incomplete snapshots that an Assembler keeps.
	maxPartialSnapshots = 4
)

// Chunk is a part of an encoded snapshot, one record of the snapshots stream.
type Chunk struct {
	// Stream is the name of the stream whose state the snapshot holds.
	Stream string `json:"stream"`
	// Next is the offset after the last record that the snapshot includes.
	Next uint64 `json:"next"`
	// Writer identifies the writer, since several VMs may write a snapshot of the
	// same offset.
	Writer string `json:"writer"`
	// Chunk is the index of this chunk in the snapshot, from 0.
	Chunk int `json:"chunk"`
	// Chunks is the number of chunks of the snapshot.
	Chunks int `json:"chunks"`
	// Data is this chunk's part of the encoded snapshot.
	Data []byte `json:"data"`
}

// Split cuts the encoded snapshot data into chunks of at most ChunkSize bytes. The
// other parameters are set in each chunk.
func Split(stream string, next uint64, writer string, data []byte) []Chunk {
	total := (len(data) + ChunkSize - 1) / ChunkSize
	chunks := make([]Chunk, 0, total)
	for i := range total {
		chunks = append(chunks, Chunk{
			Stream: stream,
			Next:   next,
			Writer: writer,
			Chunk:  i,
			Chunks: total,
			Data:   data[i*ChunkSize : min((i+1)*ChunkSize, len(data))],
		})
	}
	return chunks
}

// EncodedSnapshot is a complete snapshot in its encoded form, for Decode.
type EncodedSnapshot struct {
	// next is the offset after the last record that the snapshot includes.
	next uint64
	// at is when the log accepted the chunk that completed the snapshot.
	at time.Time
	// data is the encoded snapshot, for Decode.
	data []byte
}

// Next returns the offset after the last record that the snapshot includes.
func (a EncodedSnapshot) Next() uint64 { return a.next }

// Time returns when the log accepted the chunk that completed the snapshot.
func (a EncodedSnapshot) Time() time.Time { return a.at }

// Data returns the encoded snapshot.
func (a EncodedSnapshot) Data() []byte { return a.data }

// Assembler joins the chunks of one stream's snapshots. It keeps the newest
// complete snapshot and at most maxPartialSnapshots incomplete ones.
type Assembler struct {
	// newest is the newest complete snapshot; valid if complete is set.
	newest EncodedSnapshot
	// complete is set once there is a complete snapshot.
	complete bool
	// partial holds the incomplete snapshots in the order of their first chunks.
	partial []*partialSnapshot
}

// partialSnapshot is a snapshot of which only some chunks have arrived.
type partialSnapshot struct {
	// next is the offset after the last record that the snapshot includes.
	next uint64
	// writer identifies the writer of the chunks.
	writer string
	// chunks holds the data of each chunk; nil for those that have not arrived.
	chunks [][]byte
	// received is the number of chunks that have arrived.
	received int
}

// Add adds a chunk that the log accepted at the given time. It ignores invalid
// chunks, and chunks of snapshots older than the newest complete one.
func (a *Assembler) Add(c Chunk, at time.Time) {
	if c.Chunks < 1 || c.Chunks > maxChunks || c.Chunk < 0 || c.Chunk >= c.Chunks {
		return
	}
	if len(c.Data) > ChunkSize || a.complete && c.Next < a.newest.next {
		return
	}
	p := a.partialFor(c)
	if p.chunks[c.Chunk] == nil {
		p.chunks[c.Chunk] = append([]byte{}, c.Data...)
		p.received++
	}
	if p.received < len(p.chunks) {
		return
	}
	a.newest = EncodedSnapshot{next: c.Next, at: at, data: bytes.Join(p.chunks, nil)}
	a.complete = true
	a.discard(p)
}

// Newest returns the newest complete snapshot, if there is one.
func (a *Assembler) Newest() (EncodedSnapshot, bool) { return a.newest, a.complete }

// partialFor returns the incomplete snapshot that a chunk belongs to. If there is
// none, it starts one, and drops the oldest if there are too many.
func (a *Assembler) partialFor(c Chunk) *partialSnapshot {
	for _, p := range a.partial {
		if p.next == c.Next && p.writer == c.Writer && len(p.chunks) == c.Chunks {
			return p
		}
	}
	p := &partialSnapshot{next: c.Next, writer: c.Writer, chunks: make([][]byte, c.Chunks)}
	a.partial = append(a.partial, p)
	if len(a.partial) > maxPartialSnapshots {
		a.partial = a.partial[1:]
	}
	return p
}

// discard drops the partial snapshot done, which is now complete, and those of
// lower offsets.
func (a *Assembler) discard(done *partialSnapshot) {
	var rest []*partialSnapshot
	for _, p := range a.partial {
		if p != done && p.next >= done.next {
			rest = append(rest, p)
		}
	}
	a.partial = rest
}

// SnapshotRecords is the least number of records after a snapshot that make a new
// snapshot due. A VM that starts from the log applies at most twice as many records.
const SnapshotRecords = 8192

// SnapshotDue reports whether a VM must append a new snapshot, because the log's
// retention would otherwise drop data that is still needed, or because many records
// have followed the newest snapshot. Uncovered is when the log accepted the newest
// complete snapshot or, if there is none, the first record of the stream. Records is
// the number of records after the newest snapshot.
//
// Draw, a random number from 0 to 1 of each VM, makes a snapshot due at a different
// time on each VM, so that they don't all write one: at an age between a quarter and
// a half of the retention, or after a number of records between SnapshotRecords and
// twice that.
func SnapshotDue(now, uncovered time.Time, retention time.Duration, records uint64, draw float64) bool {
	quarter := float64(retention) / 4
	old := now.Sub(uncovered) > time.Duration(quarter+draw*quarter)
	many := float64(records) > SnapshotRecords*(1+draw)
	return old || many
}
