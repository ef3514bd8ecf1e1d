package sycpoll_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
)

// Addresses of the two VMs of the tests, and a unit of time.
const (
	first  = "10.0.0.1:1"
	second = "10.0.0.2:1"
	ms     = time.Millisecond
)

// standby returns the plan of a VM of rank 1 for the engine "e", after the VM's first
// polls of the engine, and the time.
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
	t.Fatal("no VM has rank 1")
	return nil, 0
}

// report returns the report of an engine with work.
func report(incarnation string, asOf time.Duration) sycpoll.Report {
	return sycpoll.Report{Incarnation: incarnation, AsOf: int64(asOf), Busy: true}
}

// answer has the plan poll the engine "e", and checks that the answer is applied.
func answer(t *testing.T, p *sycpoll.Plan, now time.Duration, r sycpoll.Report) {
	t.Helper()
	poll(t, p, now)
	must.True(t, p.Ended(now+ms, "e", sycpoll.Answered, r).Apply)
}

// poll checks that the engine "e" is due.
func poll(t *testing.T, p *sycpoll.Plan, now time.Duration) {
	t.Helper()
	names, _ := p.Due(now)
	must.Eq(t, []string{"e"}, names)
}

// TestApplyReport applies reports of another VM one after another, and checks which of
// them are applied.
func TestApplyReport(t *testing.T) {
	p, now := standby(t)
	steps := []struct {
		name   string
		age    time.Duration
		report sycpoll.Report
		want   bool
	}{
		{"newer", 100 * ms, report("a", now), true},
		{"the same", 0, report("a", now), false},
		{"older by the engine's time", 0, report("a", now-ms), false},
		{"newer, but delayed on its way", time.Second, report("a", now+ms), true},
		{"other incarnation, polled earlier", time.Second, report("b", now+ms), false},
		{"other incarnation, polled later", 50 * ms, report("b", 0), true},
		{"former incarnation", 0, report("a", now+time.Second), false},
		{"next incarnation", 10 * ms, report("c", 0), true},
		{"incarnation before the former", 0, report("a", now+time.Second), false},
	}
	for _, s := range steps {
		must.Eq(t, s.want, p.ApplyReport(now, "e", s.age, s.report), must.Sprint(s.name))
	}
}

// TestReportOvertakesPoll checks that the answer to a poll is ignored if another VM's
// report of a newer incarnation came during the poll.
func TestReportOvertakesPoll(t *testing.T) {
	p, now := standby(t)
	p.PollSoon("e")
	poll(t, p, now)
	must.True(t, p.ApplyReport(now+10*ms, "e", 0, report("b", now+10*ms)))
	must.False(t, p.Ended(now+20*ms, "e", sycpoll.Answered, report("a", now)).Apply)
}

// TestEngineClockSetBack checks that an own poll is applied, and later reports too, if
// the engine's clock is set back.
func TestEngineClockSetBack(t *testing.T) {
	p, now := standby(t)
	must.True(t, p.ApplyReport(now, "e", 0, report("a", now)))
	answer(t, p, now+2*time.Second, report("a", ms))
	must.True(t, p.ApplyReport(now+3*time.Second, "e", 0, report("a", 2*ms)))
}

// TestWarning checks the effect of another VM's warning: one unanswered poll is then
// enough for silence, this VM warns others once, and ignores other VMs' reports until
// the engine answers it.
func TestWarning(t *testing.T) {
	p, now := standby(t)
	p.ApplyWarning("e")
	poll(t, p, now)
	v := p.Ended(now+time.Second, "e", sycpoll.Unanswered, sycpoll.Report{})
	must.Eq(t, sycpoll.PollResult{Silent: true, Warn: true}, v)
	must.False(t, p.ApplyReport(now+time.Second, "e", 0, report("b", now+time.Second)), must.Sprint("engine unreachable"))
	p.ApplyWarning("e")
	poll(t, p, now+2*time.Second)
	v = p.Ended(now+3*time.Second, "e", sycpoll.Refused, sycpoll.Report{})
	must.False(t, v.Warn, must.Sprint("warned twice"))
	answer(t, p, now+4*time.Second, report("b", now))
	must.True(t, p.ApplyReport(now+5*time.Second, "e", 0, report("b", now+ms)))
}

// TestStandbyTakesOver checks that the VM of rank 1 polls the engine when no report came
// for a period and the standby delay.
func TestStandbyTakesOver(t *testing.T) {
	p, now := standby(t)
	_, next := p.Due(now)
	must.Greater(t, now, next)
	settings := sycpoll.Settings{}.Defaults()
	poll(t, p, now+settings.Period+settings.StandbyDelay)
}
