package sycpoll

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPolls is the number of polls that each VM makes of a new engine, so
	// that it knows the way there without the time to connect.
	firstPolls = 3
	// silentPolls is the number of unanswered polls in a row that count as silence.
	silentPolls = 2
	// jitter is the part of a period that is drawn at random.
	jitter = 0.5
	// gatherPart is the part of a period by which an engine may be polled early,
	// together with others.
	gatherPart = 4
	// again is the time between looks at polls that take longer than a period.
	again = 50 * time.Millisecond
	// formerKept is the number of former incarnations that are remembered.
	formerKept = 8
)

// Engine is an engine to follow.
type Engine struct {
	Name string
	// Far is set for engines of other failure domains.
	Far bool
}

// Outcome is how a poll ended.
type Outcome int

// Outcomes of a poll.
const (
	Answered Outcome = iota
	// Refused means that no connection could be made.
	Refused
	// Unanswered means that a connection was made, but no report came.
	Unanswered
)

// Report is what the plan needs to know of a load report.
type Report struct {
	Incarnation string
	// AsOf is the engine's time of the report, in nanoseconds.
	AsOf int64
	// Busy tells that the engine has work.
	Busy bool
}

// engine is what a plan knows of an engine.
type engine struct {
	Engine
	// rank is this VM's place among the VMs that may poll the engine; 0 is first.
	rank int
	// newest is the newest report, own or another VM's; valid if reported is set.
	newest   Report
	reported bool
	// takenAt is when the newest report was polled.
	takenAt time.Duration
	// former holds the incarnations before that of the newest report.
	former []string
	// begun is when the last own poll began; valid if tried is set.
	begun   time.Duration
	tried   bool
	polling bool
	// polls counts own polls that were answered, up to firstPolls.
	polls int
	// failures counts unanswered polls in a row, at most silentPolls.
	failures int
	// doubted asks for an own poll at once; lost is set from a failed own poll
	// until an answered one, and the reports of others don't count meanwhile.
	doubted bool
	lost    bool
	// spread is drawn anew for each poll, between 1 - jitter/2 and 1 + jitter/2.
	spread float64
}

// Plan is what one VM polls. It must be driven from one goroutine with times
// that do not decrease.
type Plan struct {
	settings Settings
	self     string
	random   *rand.Rand
	// engines is ordered by name; far counts those of other failure domains.
	engines []*engine
	far     int
	members []string
	// credit is the number of polls allowed now, as of the time creditAt.
	credit   float64
	creditAt time.Duration
}

// New returns a plan of the VM at an address that knows no engine.
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

// SetEngines replaces the engines; those that are followed already keep what is
// known of them.
func (p *Plan) SetEngines(engines []Engine) {
	list := make([]*engine, 0, len(engines))
	for _, e := range engines {
		known := p.find(e.Name)
		if known == nil {
			known = &engine{spread: p.spread()}
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
	p.rank()
}

// Reset forgets what is known of an engine, because its address has changed.
func (p *Plan) Reset(name string) {
	if e := p.find(name); e != nil {
		*e = engine{Engine: e.Engine, rank: e.rank, spread: p.spread()}
	}
}

// SetMembers takes the addresses of the VMs of the failure domain that are in
// touch; this VM counts in any case.
func (p *Plan) SetMembers(addresses []string) {
	list := append(slices.Clone(addresses), p.self)
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, p.members) {
		return
	}
	p.members = list
	p.rank()
}

// rank places this VM anew for all engines.
func (p *Plan) rank() {
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

// weight is a VM's claim to an engine in rendezvous hashing.
func weight(vm, engine string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + engine)
}

func (p *Plan) find(name string) *engine {
	i, found := slices.BinarySearchFunc(p.engines, name, func(e *engine, n string) int {
		return cmp.Compare(e.Name, n)
	})
	if !found {
		return nil
	}
	return p.engines[i]
}

// spread draws a factor for a period.
func (p *Plan) spread() float64 { return 1 - jitter/2 + jitter*p.random.Float64() }

// Due returns the engines to poll now, longest due first, and when to ask
// again. Each must be followed by Ended.
func (p *Plan) Due(now time.Duration) (names []string, next time.Duration) {
	p.refill(now)
	var due []*engine
	for _, e := range p.engines {
		if !e.polling && p.dueAt(e) <= now {
			due = append(due, e)
		}
	}
	if len(due) > 0 {
		names = p.begin(now, p.gather(now, due))
	}
	return names, p.next(now)
}

// next is when Due should be asked again.
func (p *Plan) next(now time.Duration) time.Duration {
	next := now + p.settings.IdlePeriod
	for _, e := range p.engines {
		at := p.dueAt(e)
		if e.polling {
			at = max(at, now+again)
		}
		next = min(next, at)
	}
	if p.credit < 1 {
		next = max(next, now+p.refillTime())
	}
	return max(next, now+time.Millisecond)
}

// gather adds the engines that this VM polls soon anyway, so that it wakes and
// tells the others less often.
func (p *Plan) gather(now time.Duration, due []*engine) []*engine {
	for _, e := range p.engines {
		at := p.dueAt(e)
		if !e.polling && e.rank == 0 && at > now && at <= now+p.period(e)/gatherPart {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *engine) int { return cmp.Compare(p.dueAt(a), p.dueAt(b)) })
	return due
}

// begin starts as many polls as are allowed.
func (p *Plan) begin(now time.Duration, due []*engine) (names []string) {
	allowed := min(len(due), int(p.credit))
	for _, e := range due[:allowed] {
		e.polling = true
		e.doubted = false
		e.tried = true
		e.begun = now
		e.spread = p.spread()
		names = append(names, e.Name)
	}
	p.credit -= float64(allowed)
	return names
}

func (p *Plan) refill(now time.Duration) {
	earned := (now - p.creditAt).Seconds() * p.settings.PollRate
	p.credit = min(p.credit+earned, p.settings.Burst)
	p.creditAt = now
}

// refillTime is the time until a poll is allowed.
func (p *Plan) refillTime() time.Duration {
	return time.Duration((1 - p.credit) / p.settings.PollRate * float64(time.Second))
}

// dueAt is when this VM polls the engine next.
func (p *Plan) dueAt(e *engine) time.Duration {
	period := p.period(e)
	own := e.begun + time.Duration(float64(period)*e.spread)
	switch {
	case e.doubted || !e.tried:
		return e.begun
	case e.rank == 0 || e.lost || e.polls < firstPolls:
		return own
	}
	patience := p.settings.StandbyDelay + time.Duration(min(e.rank-1, p.settings.MaxStaggers))*p.settings.Stagger
	contact := max(p.settings.ContactInterval, every(len(p.engines), p.settings.ContactRate))
	alone := e.begun + time.Duration(float64(contact)*e.spread)
	return min(max(e.takenAt+period+patience, own), alone)
}

// period is the time between polls of the engine by all VMs together.
func (p *Plan) period(e *engine) time.Duration {
	s := p.settings
	period := max(s.Period, every(len(p.engines)-p.far, s.DomainPollRate))
	if e.Far {
		period = max(s.FarPeriod, every(p.far, s.FarPollRate))
	}
	if e.reported && !e.newest.Busy && !e.lost {
		return max(period, s.IdlePeriod)
	}
	return period
}

// PollResult is what follows from a poll's end.
type PollResult struct {
	// Apply tells that the report is to be taken.
	Apply bool
	// Silent tells that the engine has not answered for several polls.
	Silent bool
	// Warn tells that the other VMs should see for themselves at once.
	Warn bool
}

// Ended takes the end of an own poll that Due asked for.
func (p *Plan) Ended(_ time.Duration, name string, o Outcome, r Report) PollResult {
	e := p.find(name)
	if e == nil || !e.polling {
		return PollResult{}
	}
	e.polling = false
	if o == Answered {
		e.lost = false
		e.failures = 0
		e.polls = min(e.polls+1, firstPolls)
		if e.overtaken(r) {
			return PollResult{}
		}
		e.take(e.begun, r)
		return PollResult{Apply: true}
	}
	v := PollResult{Warn: !e.lost}
	e.lost = true
	if o == Unanswered {
		e.failures = min(e.failures+1, silentPolls)
		v.Silent = e.failures >= silentPolls
	}
	return v
}

func (e *engine) take(at time.Duration, r Report) {
	if e.reported && e.newest.Incarnation != r.Incarnation {
		e.former = append(e.former, e.newest.Incarnation)
		e.former = e.former[max(len(e.former)-formerKept, 0):]
	}
	e.reported = true
	e.newest = r
	e.takenAt = at
}

// overtaken reports whether a newer report than that of the last own poll came
// while the poll was under way.
func (e *engine) overtaken(r Report) bool {
	if slices.Contains(e.former, r.Incarnation) {
		return true
	}
	return e.reported && e.begun <= e.takenAt && r.Incarnation == e.newest.Incarnation && r.AsOf < e.newest.AsOf
}

// ApplyReport takes another VM's report that was polled some time ago, and tells
// whether it counts: not when it is no newer than the newest, nor while this VM
// cannot reach the engine itself.
func (p *Plan) ApplyReport(now time.Duration, name string, age time.Duration, r Report) bool {
	e := p.find(name)
	if e == nil || e.lost || age < 0 || !e.newer(now-age, r) {
		return false
	}
	e.take(max(now-age, e.takenAt), r)
	return true
}

// newer reports whether a report that was polled at a time is newer than the
// newest. Those of one incarnation are ordered by the engine's time.
func (e *engine) newer(at time.Duration, r Report) bool {
	switch {
	case !e.reported:
		return true
	case r.Incarnation == e.newest.Incarnation:
		return r.AsOf > e.newest.AsOf
	case slices.Contains(e.former, r.Incarnation):
		return false
	default:
		return at > e.takenAt
	}
}

// PollSoon asks for an own poll at once: the connection to the engine broke. It
// does nothing while the engine is known to be out of reach.
func (p *Plan) PollSoon(name string) {
	if e := p.find(name); e != nil && !e.lost {
		e.doubted = true
	}
}

// ApplyWarning takes another VM's word that the engine does not answer it, which
// counts as one unanswered poll and asks for an own one at once.
func (p *Plan) ApplyWarning(name string) {
	if e := p.find(name); e != nil && !e.lost {
		e.doubted = true
		e.failures = max(e.failures, silentPolls-1)
	}
}
