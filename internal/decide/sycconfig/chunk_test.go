package sycconfig_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
)

// TestAssemblerTakesWholeSnapshotsOnly adds chunks of several writers and offsets in
// any order, repeated and with gaps, and checks that a snapshot never mixes chunks of
// different snapshots and that the newest never goes back to a lower offset.
func TestAssemblerTakesWholeSnapshotsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoded := map[uint64][]byte{}
		var chunks []sycconfig.Chunk
		for next := uint64(1); next <= 3; next++ {
			encoded[next] = bytes.Repeat([]byte{byte(next)}, rapid.IntRange(1, 3*sycconfig.ChunkSize).Draw(t, "size"))
			for _, writer := range []string{"a", "b"} {
				chunks = append(chunks, sycconfig.Split("config", next, writer, encoded[next])...)
			}
		}
		var assembler sycconfig.Assembler
		last := uint64(0)
		for _, c := range rapid.SliceOfN(rapid.SampledFrom(chunks), 0, 40).Draw(t, "arrivals") {
			assembler.Add(c, time.Unix(int64(c.Next), 0))
			newest, ok := assembler.Newest()
			if !ok {
				continue
			}
			must.GreaterEq(t, last, newest.Next())
			must.True(t, bytes.Equal(encoded[newest.Next()], newest.Data()))
			last = newest.Next()
		}
		for _, c := range chunks {
			assembler.Add(c, time.Time{})
		}
		newest, ok := assembler.Newest()
		must.True(t, ok)
		must.EqOp(t, uint64(3), newest.Next())
	})
}

// TestAssemblerIgnoresInvalidChunks checks that chunks with impossible numbers or too
// much data, which any writer to the log could append, have no effect.
func TestAssemblerIgnoresInvalidChunks(t *testing.T) {
	cases := []sycconfig.Chunk{
		{Chunk: 0, Chunks: 0},
		{Chunk: -1, Chunks: 1},
		{Chunk: 1, Chunks: 1},
		{Chunk: 0, Chunks: 1 << 30},
		{Chunk: 0, Chunks: 1, Data: make([]byte, sycconfig.ChunkSize+1)},
	}
	for _, c := range cases {
		var assembler sycconfig.Assembler
		assembler.Add(c, time.Time{})
		_, ok := assembler.Newest()
		must.False(t, ok)
	}
}

// TestSnapshotDue checks when a snapshot becomes due for the VMs with the lowest and
// the highest draw, by age and by number of records.
func TestSnapshotDue(t *testing.T) {
	const retention = 8 * time.Hour
	start := time.Unix(0, 0)
	cases := []struct {
		name    string
		age     time.Duration
		records uint64
		draw    float64
		due     bool
	}{
		{"recent", time.Hour, 10, 0, false},
		{"old, lowest draw", 2*time.Hour + 1, 0, 0, true},
		{"not old enough, highest draw", 2*time.Hour + 1, 0, 1, false},
		{"old, highest draw", 4*time.Hour + 1, 0, 1, true},
		{"many records, lowest draw", 0, sycconfig.SnapshotRecords + 1, 0, true},
		{"not enough records, highest draw", 0, sycconfig.SnapshotRecords + 1, 1, false},
	}
	for _, c := range cases {
		due := sycconfig.SnapshotDue(start.Add(c.age), start, retention, c.records, c.draw)
		must.EqOp(t, c.due, due, must.Sprint(c.name))
	}
}
