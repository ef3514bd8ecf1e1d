package sycversion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
)

// TestPausesAreSubtracted runs pause checks late while a first token is pending. Without the
// subtraction, a pause of the VM's process would count against the engine.
func TestPausesAreSubtracted(t *testing.T) {
	t.Parallel()
	const (
		start      = 100 * time.Millisecond
		firstToken = 600 * time.Millisecond
	)
	tests := []struct {
		name string
		// checks holds the times of the pause checks, in milliseconds.
		checks []time.Duration
		want   time.Duration
	}{
		{"checks on time", []time.Duration{110, 130, 150, 170}, firstToken - start},
		{"checks slightly late", []time.Duration{110, 134, 158, 182}, firstToken - start},
		{"one check late", []time.Duration{110, 130, 450, 470}, firstToken - start - 300*time.Millisecond},
		{"two checks late", []time.Duration{110, 240, 450, 470}, firstToken - start - 300*time.Millisecond},
		{"many checks slightly late", []time.Duration{110, 180, 250, 320, 390, 460, 530}, firstToken - start},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := &Manager{ledger: sycrollout.NewLedger(), checkPeriod: rolloutCheckPeriod}
			cell := sycrollout.Cell{Version: "v2", Generation: 1, Route: "chat"}
			m.ledger.Begin(start, 1, cell)
			for _, at := range tt.checks {
				m.checkPause(at * time.Millisecond)
			}
			m.ledger.RecordFirstToken(firstToken, 1)
			m.ledger.End(2*firstToken, 1, cell, sycrollout.Sample{FirstToken: firstToken - start})
			var want sycrollout.Buckets
			want.Add(tt.want)
			must.Eq(t, want, m.ledger.Own()[cell].FirstToken)
		})
	}
}

// TestCheckPeriodChangeIsNoPause changes the time between pause checks, which must not count
// as a pause.
func TestCheckPeriodChangeIsNoPause(t *testing.T) {
	t.Parallel()
	loop := sycloop.New()
	t.Cleanup(func() { must.NoError(t, loop.Close()) })
	m := &Manager{ledger: sycrollout.NewLedger(), checkPeriod: idleCheckPeriod}
	m.pauseCheck = loop.NewTask(time.Hour, m.checkPause)
	loop.Do(func(now time.Duration) {
		m.checkPause(now)
		must.Eq(t, now+idleCheckPeriod, m.nextCheck)
		m.setCheckPeriod(true)
		must.Zero(t, m.nextCheck)
		m.checkPause(now + time.Minute)
		must.Eq(t, now+time.Minute+rolloutCheckPeriod, m.nextCheck)
		m.setCheckPeriod(true)
		must.Eq(t, now+time.Minute+rolloutCheckPeriod, m.nextCheck)
		m.setCheckPeriod(false)
		must.Zero(t, m.nextCheck)
	})
}
