package sycversion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
)

// TestBeatsCountStalls lets beats come late while a first token is awaited: that time is
// none of the engine's.
func TestBeatsCountStalls(t *testing.T) {
	t.Parallel()
	const (
		begun   = 100 * time.Millisecond
		arrived = 600 * time.Millisecond
	)
	tests := []struct {
		name  string
		beats []time.Duration
		want  time.Duration
	}{
		{"in time", []time.Duration{110, 130, 150, 170}, arrived - begun},
		{"a little late", []time.Duration{110, 134, 158, 182}, arrived - begun},
		{"one late", []time.Duration{110, 130, 450, 470}, arrived - begun - 300*time.Millisecond},
		{"two late", []time.Duration{110, 240, 450, 470}, arrived - begun - 300*time.Millisecond},
		{"many a little late", []time.Duration{110, 180, 250, 320, 390, 460, 530}, arrived - begun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := &Manager{ledger: sycrollout.NewLedger(), beatEvery: beatPeriod}
			cell := sycrollout.Cell{Version: "v2", Generation: 1, Route: "chat"}
			m.ledger.Begin(begun, 1, cell)
			for _, at := range tt.beats {
				m.beat(at * time.Millisecond)
			}
			m.ledger.RecordFirstToken(arrived, 1)
			m.ledger.End(2*arrived, 1, cell, sycrollout.Sample{FirstToken: arrived - begun})
			var want sycrollout.Buckets
			want.Add(tt.want)
			must.Eq(t, want, m.ledger.Own()[cell].FirstToken)
		})
	}
}

// TestBeatsChangePace counts no stall where the time between beats changes.
func TestBeatsChangePace(t *testing.T) {
	t.Parallel()
	loop := sycloop.New()
	t.Cleanup(func() { must.NoError(t, loop.Close()) })
	m := &Manager{ledger: sycrollout.NewLedger(), beatEvery: idleBeat}
	m.beats = loop.NewTask(time.Hour, m.beat)
	loop.Do(func(now time.Duration) {
		m.beat(now)
		must.Eq(t, now+idleBeat, m.beatDue)
		m.pace(true)
		must.Zero(t, m.beatDue)
		m.beat(now + time.Minute)
		must.Eq(t, now+time.Minute+beatPeriod, m.beatDue)
		m.pace(true)
		must.Eq(t, now+time.Minute+beatPeriod, m.beatDue)
		m.pace(false)
		must.Zero(t, m.beatDue)
	})
}
