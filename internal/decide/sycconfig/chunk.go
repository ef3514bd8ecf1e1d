package sycconfig

import (
	"bytes"
	"time"
)

// Bounds of the assembly of snapshots.
const (
	// ChunkSize is the largest part of a snapshot in one record, in bytes.
	ChunkSize = 128 << 10
	maxChunks = 512
	maxParts  = 4
)

// Chunk is a part of a snapshot, as written to the snapshots stream.
type Chunk struct {
	Stream string `json:"stream"`
	// Next is the snapshot's offset after its last folded record.
	Next uint64 `json:"next"`
	// Writer tells apart snapshots of the same offset.
	Writer string `json:"writer"`
	Chunk  int    `json:"chunk"`
	Chunks int    `json:"chunks"`
	Data   []byte `json:"data"`
}

// Split cuts an encoded snapshot into chunks.
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

// EncodedSnapshot is a complete snapshot.
type EncodedSnapshot struct {
	next uint64
	at   time.Time
	data []byte
}

// Next is the snapshot's offset.
func (a EncodedSnapshot) Next() uint64 { return a.next }

// Time is when the log took the snapshot's last chunk.
func (a EncodedSnapshot) Time() time.Time { return a.at }

// Data is the encoded snapshot.
func (a EncodedSnapshot) Data() []byte { return a.data }

// Assembler joins the chunks of one stream's snapshots. It keeps the newest
// complete snapshot and a few that are not complete.
type Assembler struct {
	newest   EncodedSnapshot
	complete bool
	// parts are incomplete snapshots, oldest first; at most maxParts.
	parts []*part
}

type part struct {
	next   uint64
	writer string
	chunks [][]byte
	held   int
}

// Add takes a chunk that the log accepted at the given time. It ignores chunks
// that make no sense.
func (a *Assembler) Add(c Chunk, at time.Time) {
	if c.Chunks < 1 || c.Chunks > maxChunks || c.Chunk < 0 || c.Chunk >= c.Chunks {
		return
	}
	if len(c.Data) > ChunkSize || a.complete && c.Next < a.newest.next {
		return
	}
	p := a.part(c)
	if p.chunks[c.Chunk] == nil {
		p.chunks[c.Chunk] = append([]byte{}, c.Data...)
		p.held++
	}
	if p.held < len(p.chunks) {
		return
	}
	a.newest = EncodedSnapshot{next: c.Next, at: at, data: bytes.Join(p.chunks, nil)}
	a.complete = true
	a.drop(p)
}

// Newest returns the newest complete snapshot.
func (a *Assembler) Newest() (EncodedSnapshot, bool) { return a.newest, a.complete }

func (a *Assembler) part(c Chunk) *part {
	for _, p := range a.parts {
		if p.next == c.Next && p.writer == c.Writer && len(p.chunks) == c.Chunks {
			return p
		}
	}
	p := &part{next: c.Next, writer: c.Writer, chunks: make([][]byte, c.Chunks)}
	a.parts = append(a.parts, p)
	if len(a.parts) > maxParts {
		a.parts = a.parts[1:]
	}
	return p
}

func (a *Assembler) drop(done *part) {
	var rest []*part
	for _, p := range a.parts {
		if p != done && p.next >= done.next {
			rest = append(rest, p)
		}
	}
	a.parts = rest
}

// SnapshotRecords is the least number of records after a snapshot that make a
// new one worth while: a VM that starts from the log folds no more than twice
// as many.
const SnapshotRecords = 8192

// SnapshotDue reports whether a snapshot must be appended, because the log's
// retention would lose something or because many records have followed the last
// one. Uncovered is when the log took the oldest record that no complete
// snapshot covers, or the newest snapshot itself; records counts those after the
// snapshot. The draw, from 0 to 1, spreads the VMs between a quarter and a half
// of the retention, and between once and twice SnapshotRecords.
func SnapshotDue(now, uncovered time.Time, retention time.Duration, records uint64, draw float64) bool {
	quarter := float64(retention) / 4
	old := now.Sub(uncovered) > time.Duration(quarter+draw*quarter)
	many := float64(records) > SnapshotRecords*(1+draw)
	return old || many
}
