package sycpoll

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPolls is the number of answered polls that each VM makes of a new engine
	// at the usual period. The first poll includes the time to connect, so a VM needs
	// further polls to know the round-trip time.
	firstPolls = 3
	// silentPolls is the number of unanswered polls in a row after which an engine
	// counts as silent.
	silentPolls = 2
	// jitter is the width of the range of random factors for a period, so a factor is
	// between 1-jitter/2 and 1+jitter/2.
	jitter = 0.5
	// earlyDivisor limits how early an engine may be polled together with engines that
	// are due: by its period divided by earlyDivisor.
	earlyDivisor = 4
	// recheckInterval is the shortest time until Due should be called again because of
	// an engine whose poll takes longer than its period.
	recheckInterval = 50 * time.Millisecond
	// maxFormer limits the former incarnations that are stored of each engine, so that
	// late reports of them can be recognized.
	maxFormer = 8
)

// Engine is an engine to poll.
type Engine struct {
	// Name identifies the engine's endpoint.
	Name string
	// Far is set for an engine of another failure domain.
	Far bool
}

// Outcome is how a poll ended.
type Outcome int

// Outcomes of a poll.
const (
	// Answered means that the engine sent a report.
	Answered Outcome = iota
	// Refused means that no connection could be made.
	Refused
	// Unanswered means that a connection was made and that no report came.
	Unanswered
)

// Report is the part of an engine's load report that a Plan uses.
type Report struct {
	// Incarnation identifies the engine's process: each start has another value.
	Incarnation string
	// AsOf is when the engine made the report, by the engine's clock, in nanoseconds.
	AsOf int64
	// Busy is set if the engine has work.
	Busy bool
}

// engine holds the state of polls and reports of an engine.
type engine struct {
	Engine
	// rank is this VM's rank for the engine: 0 if this VM polls the engine regularly,
	// and 1 or more if it is a standby.
	rank int
	// newest is the newest report, from an own poll or another VM; valid if reported
	// is set.
	newest Report
	// reported is set once a report of the engine was stored.
	reported bool
	// newestAt is when the poll that gave the newest report began.
	newestAt time.Duration
	// former holds the last incarnations before that of the newest report, oldest first.
	former []string
	// pollBegan is when the last own poll began; valid if polled is set.
	pollBegan time.Duration
	// polled is set once an own poll has begun.
	polled bool
	// polling is set while an own poll is running.
	polling bool
	// answers counts answered own polls, up to firstPolls.
	answers int
	// failures counts unanswered polls in a row, up to silentPolls.
	failures int
	// pollSoon is set if an own poll is due at once.
	pollSoon bool
	// unreachable is set from a failed own poll until an answered own poll. Reports
	// from other VMs are ignored meanwhile.
	unreachable bool
	// periodFactor is the random factor by which the time until the next own poll is
	// multiplied. It is drawn again for each poll.
	periodFactor float64
}

// Plan decides which engines one VM polls, and when. All calls must come from one
// goroutine, with times that do not decrease.
type Plan struct {
	settings Settings
	// self is the peer address of the VM that the plan belongs to.
	self string
	// random draws the factors of periods.
	random *rand.Rand
	// engines is ordered by name.
	engines []*engine
	// far is the number of far engines.
	far int
	// members holds the sorted peer addresses of the live VMs of this failure domain,
	// including this VM.
	members []string
	// credit is the number of own polls that may start, as of the time creditAt. It
	// grows by Settings.PollRate a second, up to Settings.Burst.
	credit float64
	// creditAt is the time for which credit was last computed.
	creditAt time.Duration
}

// New returns a plan without engines for the VM with the address self.
func New(self string, s Settings, seed uint64) *Plan {
	s = s.Defaults()
	return &Plan{
		settings: s,
		self:     self,
		random:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(self))),
		members:  []string{self},
		credit:   s.Burst,
	}
}

// SetEngines replaces the engines to poll. Engines that the plan had before keep
// their state.
func (p *Plan) SetEngines(engines []Engine) {
	list := make([]*engine, 0, len(engines))
	for _, e := range engines {
		known := p.find(e.Name)
		if known == nil {
			known = &engine{periodFactor: p.drawFactor()}
		}
		known.Engine = e
		list = append(list, known)
	}
	slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	p.engines = list
	p.far = 0
	for _, e := range list {
		if e.Far {
			p.far++
		}
	}
	p.updateRanks()
}

// Reset discards the state of an engine. The caller uses it when the engine's address
// has changed.
func (p *Plan) Reset(name string) {
	if e := p.find(name); e != nil {
		*e = engine{Engine: e.Engine, rank: e.rank, periodFactor: p.drawFactor()}
	}
}

// SetMembers replaces the addresses of the live VMs of this failure domain, which
// share the polls. This VM is always among them.
func (p *Plan) SetMembers(addresses []string) {
	list := append(slices.Clone(addresses), p.self)
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, p.members) {
		return
	}
	p.members = list
	p.updateRanks()
}

// updateRanks computes this VM's rank for all engines.
func (p *Plan) updateRanks() {
	for _, e := range p.engines {
		own := weight(p.self, e.Name)
		e.rank = 0
		for _, vm := range p.members {
			if vm != p.self && weight(vm, e.Name) > own {
				e.rank++
			}
		}
	}
}

// weight returns a VM's weight for an engine in rendezvous hashing. The VM with the
// highest weight has rank 0.
func weight(vm, engine string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + engine)
}

// find returns the engine with a name, or nil.
func (p *Plan) find(name string) *engine {
	i, found := slices.BinarySearchFunc(p.engines, name, func(e *engine, n string) int {
		return cmp.Compare(e.Name, n)
	})
	if !found {
		return nil
	}
	return p.engines[i]
}

// drawFactor returns a random value for engine.periodFactor.
func (p *Plan) drawFactor() float64 { return 1 - jitter/2 + jitter*p.random.Float64() }

// Due returns the names of the engines to poll now, the longest overdue first, and
// when to call Due again. The caller must poll each engine and then call Ended for it.
func (p *Plan) Due(now time.Duration) (names []string, next time.Duration) {
	p.refill(now)
	var due []*engine
	for _, e := range p.engines {
		if !e.polling && p.dueAt(e) <= now {
			due = append(due, e)
		}
	}
	if len(due) > 0 {
		names = p.startPolls(now, p.addEarly(now, due))
	}
	return names, p.next(now)
}

// next returns when Due should be called again.
func (p *Plan) next(now time.Duration) time.Duration {
	next := now + p.settings.IdlePeriod
	for _, e := range p.engines {
		at := p.dueAt(e)
		if e.polling {
			at = max(at, now+recheckInterval)
		}
		next = min(next, at)
	}
	if p.credit < 1 {
		next = max(next, now+p.refillTime())
	}
	return max(next, now+time.Millisecond)
}

// addEarly adds engines of rank 0 that are due soon to the due engines, and orders
// them by when they are due. Polling them together makes this VM wake up and send
// digests less often.
func (p *Plan) addEarly(now time.Duration, due []*engine) []*engine {
	for _, e := range p.engines {
		at := p.dueAt(e)
		if !e.polling && e.rank == 0 && at > now && at <= now+p.period(e)/earlyDivisor {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *engine) int { return cmp.Compare(p.dueAt(a), p.dueAt(b)) })
	return due
}

// startPolls marks as many of the due engines as the credit allows as being polled,
// and returns their names.
func (p *Plan) startPolls(now time.Duration, due []*engine) (names []string) {
	allowed := min(len(due), int(p.credit))
	for _, e := range due[:allowed] {
		e.polling = true
		e.pollSoon = false
		e.polled = true
		e.pollBegan = now
		e.periodFactor = p.drawFactor()
		names = append(names, e.Name)
	}
	p.credit -= float64(allowed)
	return names
}

// refill adds the credit earned since creditAt.
func (p *Plan) refill(now time.Duration) {
	earned := (now - p.creditAt).Seconds() * p.settings.PollRate
	p.credit = min(p.credit+earned, p.settings.Burst)
	p.creditAt = now
}

// refillTime returns the time until the credit allows a poll.
func (p *Plan) refillTime() time.Duration {
	return time.Duration((1 - p.credit) / p.settings.PollRate * float64(time.Second))
}

// dueAt returns when the next own poll of the engine is due.
func (p *Plan) dueAt(e *engine) time.Duration {
	period := p.period(e)
	ownDue := e.pollBegan + time.Duration(float64(period)*e.periodFactor)
	switch {
	case e.pollSoon || !e.polled:
		return e.pollBegan
	case e.rank == 0 || e.unreachable || e.answers < firstPolls:
		return ownDue
	}
	delay := p.settings.StandbyDelay + time.Duration(min(e.rank-1, p.settings.MaxStaggers))*p.settings.Stagger
	contact := max(p.settings.ContactInterval, roundTime(len(p.engines), p.settings.ContactRate))
	contactDue := e.pollBegan + time.Duration(float64(contact)*e.periodFactor)
	return min(max(e.newestAt+period+delay, ownDue), contactDue)
}

// period returns the time between polls of the engine by all VMs together, before the
// random factor.
func (p *Plan) period(e *engine) time.Duration {
	s := p.settings
	period := max(s.Period, roundTime(len(p.engines)-p.far, s.NearPollRate))
	if e.Far {
		period = max(s.FarPeriod, roundTime(p.far, s.FarPollRate))
	}
	if e.reported && !e.newest.Busy && !e.unreachable {
		return max(period, s.IdlePeriod)
	}
	return period
}
