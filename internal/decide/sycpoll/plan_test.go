package sycpoll_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
)

const (
	first  = "10.0.0.1:1"
	second = "10.0.0.2:1"
	ms     = time.Millisecond
)

// standby returns a plan of a VM that is second for engine "e" and has polled
// it as often as a new engine asks for, and the time.
func standby(t *testing.T) (*sycpoll.Plan, time.Duration) {
	t.Helper()
	for _, vms := range [][2]string{{first, second}, {second, first}} {
		p := sycpoll.New(vms[0], sycpoll.Settings{}, 1)
		p.SetEngines([]sycpoll.Engine{{Name: "e"}})
		p.SetMembers(vms[1:])
		now := time.Second
		for range 3 {
			answer(t, p, now, report("a", now))
			now += 250 * ms
		}
		if names, _ := p.Due(now); len(names) == 0 {
			return p, now
		}
	}
	t.Fatal("no VM is second")
	return nil, 0
}

func report(incarnation string, asOf time.Duration) sycpoll.Report {
	return sycpoll.Report{Incarnation: incarnation, AsOf: int64(asOf), Busy: true}
}

func answer(t *testing.T, p *sycpoll.Plan, now time.Duration, r sycpoll.Report) {
	t.Helper()
	poll(t, p, now)
	must.True(t, p.Ended(now+ms, "e", sycpoll.Answered, r).Apply)
}

func poll(t *testing.T, p *sycpoll.Plan, now time.Duration) {
	t.Helper()
	names, _ := p.Due(now)
	must.Eq(t, []string{"e"}, names)
}

func TestHeard(t *testing.T) {
	p, now := standby(t)
	steps := []struct {
		name   string
		age    time.Duration
		report sycpoll.Report
		taken  bool
	}{
		{"newer", 100 * ms, report("a", now), true},
		{"the same", 0, report("a", now), false},
		{"older by the engine's time", 0, report("a", now-ms), false},
		{"newer, but long under way", time.Second, report("a", now+ms), true},
		{"other incarnation, polled earlier", time.Second, report("b", now+ms), false},
		{"other incarnation, polled later", 50 * ms, report("b", 0), true},
		{"former incarnation", 0, report("a", now+time.Second), false},
		{"next incarnation", 10 * ms, report("c", 0), true},
		{"former of the former", 0, report("a", now+time.Second), false},
	}
	for _, s := range steps {
		must.Eq(t, s.taken, p.ApplyReport(now, "e", s.age, s.report), must.Sprint(s.name))
	}
}

func TestReportOvertakesPoll(t *testing.T) {
	p, now := standby(t)
	p.PollSoon("e")
	poll(t, p, now)
	must.True(t, p.ApplyReport(now+10*ms, "e", 0, report("b", now+10*ms)))
	must.False(t, p.Ended(now+20*ms, "e", sycpoll.Answered, report("a", now)).Apply)
}

func TestEngineClockSetBack(t *testing.T) {
	p, now := standby(t)
	must.True(t, p.ApplyReport(now, "e", 0, report("a", now)))
	answer(t, p, now+2*time.Second, report("a", ms))
	must.True(t, p.ApplyReport(now+3*time.Second, "e", 0, report("a", 2*ms)))
}

func TestWarning(t *testing.T) {
	p, now := standby(t)
	p.ApplyWarning("e")
	poll(t, p, now)
	v := p.Ended(now+time.Second, "e", sycpoll.Unanswered, sycpoll.Report{})
	must.Eq(t, sycpoll.PollResult{Silent: true, Warn: true}, v)
	must.False(t, p.ApplyReport(now+time.Second, "e", 0, report("b", now+time.Second)), must.Sprint("out of reach"))
	p.ApplyWarning("e")
	poll(t, p, now+2*time.Second)
	v = p.Ended(now+3*time.Second, "e", sycpoll.Refused, sycpoll.Report{})
	must.False(t, v.Warn, must.Sprint("told twice"))
	answer(t, p, now+4*time.Second, report("b", now))
	must.True(t, p.ApplyReport(now+5*time.Second, "e", 0, report("b", now+ms)))
}

func TestSecondTakesOver(t *testing.T) {
	p, now := standby(t)
	_, next := p.Due(now)
	must.Greater(t, now, next)
	settings := sycpoll.Settings{}.Defaults()
	poll(t, p, now+settings.Period+settings.StandbyDelay)
}
