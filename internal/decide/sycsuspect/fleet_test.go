package sycsuspect_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// window is the time after the fifth crash from which on sends with a deadly block are counted.
const window = 3 * time.Second

// maxLateSends is how many of these sends may reach engines.
const maxLateSends = 3

// base is a fleet under load in which one block ends engines.
var base = load{
	vms: 8, engines: 12, slots: 64, sound: 120, deadly: 1, deadlyBlocks: 1, subjects: 71, attempts: 2, repeats: 1,
	prefill: 250 * time.Millisecond, answer: 600 * time.Millisecond, begunCause: 0.9, begunOther: 0.02,
	delay: 500 * time.Millisecond, length: 70 * time.Second,
}

// with returns the base load with changes.
func with(change func(*load)) load {
	l := base
	change(&l)
	return l
}

func TestDeadlyBlockIsKeptFromEngines(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"base", base},
		{"many VMs, each sees little", with(func(l *load) { l.vms, l.engines, l.sound, l.deadly = 60, 60, 600, 4 })},
		{"full engines", with(func(l *load) { l.sound, l.answer = 600, 900*time.Millisecond })},
		{"full engines that read for long", with(func(l *load) { l.sound, l.prefill = 400, 900*time.Millisecond })},
		{"rare", with(func(l *load) { l.deadly = 0.2 })},
		{"frequent", with(func(l *load) { l.deadly = 6 })},
		{"no retries", with(func(l *load) { l.attempts, l.repeats = 1, 0 })},
		{"many subjects", with(func(l *load) { l.subjects = 700 })},
		{"short answers", with(func(l *load) { l.prefill, l.answer = 40*time.Millisecond, 30*time.Millisecond })},
		{"answers begin early", with(func(l *load) { l.begunCause, l.begunOther = 1, 0.7 })},
		{"answers begin unseen", with(func(l *load) { l.begunCause, l.begunOther = 0, 0 })},
		{"always with one subject", with(func(l *load) { l.subject = firstSubject + 7 })},
		{"two deadly blocks", with(func(l *load) { l.deadlyBlocks, l.deadly = 2, 2 })},
		{"one request", with(func(l *load) { l.same = true })},
		{"one request, often", with(func(l *load) { l.same, l.deadly = true, 6 })},
		{"one request, answers begin unseen", with(func(l *load) { l.same, l.begunCause, l.begunOther = true, 0, 0 })},
		{"one plain request", with(func(l *load) { l.same, l.plain = true, true })},
		{"one plain request, many VMs", with(func(l *load) { l.same, l.plain, l.vms, l.engines, l.sound, l.deadly = true, true, 60, 60, 600, 4 })},
		{"one plain request, 200 VMs", with(func(l *load) { l.same, l.plain, l.vms, l.deadly, l.length = true, true, 200, 4, 30*time.Second })},
		{"one plain request, other losses", with(func(l *load) { l.same, l.plain, l.kill, l.killed = true, true, 2*time.Second, 3 })},
		{"other losses", with(func(l *load) { l.kill, l.killed = 2*time.Second, 3 })},
		{"half of the VMs restart", with(func(l *load) { l.restart = 25 * time.Second })},
		{"a VM is cut off before", with(func(l *load) { l.cutFrom, l.cutUntil = 9*time.Second, 12*time.Second })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				r := newRig(tt.load, seed)
				r.play()
				note := must.Sprintf("seed %d: %d crashes, %d sends, %d sound requests", seed, count(r.crashes), count(r.deadlySends), r.soundSent)
				must.LessEq(t, maxLateSends, r.lateSends(), note)
				must.LessEq(t, r.soundSent/100, r.soundRefused, note)
				must.Zero(t, r.convictedSound, note)
			}
		})
	}
}

func TestOtherLossesConvictNoBlock(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"one engine at a time", with(func(l *load) { l.kill, l.killed = time.Second, 1 })},
		{"racks", with(func(l *load) { l.kill, l.killed = 5*time.Second, 6 })},
		{"all engines", with(func(l *load) { l.kill, l.killed = 8*time.Second, 40 })},
		{"one after the other, few subjects", with(func(l *load) { l.kill, l.killed, l.subjects = 400*time.Millisecond, 1, 3 })},
		{"answers begin early", with(func(l *load) { l.kill, l.killed, l.begunOther = time.Second, 1, 0.7 })},
		{"plain, one engine at a time", with(func(l *load) { l.plain, l.kill, l.killed = true, time.Second, 1 })},
		{"plain, racks", with(func(l *load) { l.plain, l.kill, l.killed = true, 5*time.Second, 6 })},
		{"plain, racks, 60 VMs", with(func(l *load) {
			l.plain, l.vms, l.engines, l.sound, l.kill, l.killed = true, 60, 60, 600, 5*time.Second, 20
		})},
		{"plain, one engine at a time, 200 VMs", with(func(l *load) { l.plain, l.vms, l.kill, l.killed, l.length = true, 200, time.Second, 1, 30*time.Second })},
		{"few requests", with(func(l *load) { l.kill, l.killed, l.sound = time.Second, 2, 10 })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				l := tt.load
				l.deadly = 0
				r := newRig(l, seed)
				r.play()
				note := must.Sprintf("seed %d: %d sound requests", seed, r.soundSent)
				must.Zero(t, r.convictedSound, note)
				must.LessEq(t, r.soundSent/50, r.soundRefused, note)
			}
		})
	}
}

func TestConvictionEndsOnceTheBlockIsHarmless(t *testing.T) {
	for seed := range uint64(4) {
		r := newRig(with(func(l *load) { l.harmlessFrom, l.length = 20*time.Second, 120*time.Second }), seed)
		r.play()
		// Requests with the block are served again to the end.
		must.Greater(t, r.length-10*time.Second, r.served, must.Sprint("seed", seed))
	}
}
