package syclimit_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

const (
	customer = "spring"
	// askTimeout is when a request for a loan counts as failed.
	askTimeout = 400 * time.Millisecond
)

// faults is what happens in a run of the fleet.
type faults struct {
	vms      int
	near     int // VMs per failure domain
	rate     float64
	burst    float64
	load     float64                    // requests a second over all VMs
	skew     bool                       // all requests go to the first VM
	shift    bool                       // all requests go to the first VM from the middle on
	warm     time.Duration              // before the first request
	level    func(part float64) float64 // parts of the load at a part of the run
	apart    bool                       // VMs do not lend
	delay    time.Duration
	loss     float64
	repeat   float64
	drift    float64 // bound of each clock's rate error
	pauses   int
	crashes  int
	herd     bool // all VMs restart together in mid-run
	cut      bool // the last VM's answers are lost in the middle third
	changes  int  // changes of the limit
	moves    int  // moves of half a VM's fraction to another VM
	flashes  int  // moments at which every VM gets many requests
	length   time.Duration
	settings syclimit.Settings
	shares   func(i, n int) float64
	lend     func(l syclimit.Loan) syclimit.Loan // replaces the answers of lenders
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// figures is what a run measured.
type figures struct {
	offered, granted, refused int
	conforming                int // requests that one bucket for all VMs would admit
	messages                  int
	waited                    time.Duration
	spends                    []time.Duration
	most                      syclimit.MicroPermits // held and in transit together at any time
	causes                    map[syclimit.Cause]int
}

// fleet drives several machines on true time.
type fleet struct {
	f           faults
	rng         *rand.Rand
	now         time.Duration
	queue       events
	seq         int
	vms         []*vm
	figures     figures
	request     uint64
	rate, burst float64
	ideal       ideal
	// transit holds the loans whose answers may still be taken.
	transit []*transit
}

// transit is a loan that was debited and may still reach its borrower.
type transit struct {
	to          *vm
	incarnation int
	id          uint64
	amount      syclimit.MicroPermits
	expires     time.Duration // on the borrower's clock
}

type vm struct {
	fleet       *fleet
	index       int
	drift       float64
	offset      time.Duration
	machine     *syclimit.Machine
	incarnation int
	paused      time.Duration // true time until which nothing is handled
	down        bool
	limit       syclimit.Limit
	fraction    syclimit.Fraction
}

func newFleet(f faults, seed uint64) *fleet {
	fl := &fleet{f: f, rng: rand.New(rand.NewPCG(seed, 1)), rate: f.rate, burst: f.burst}
	fl.ideal = ideal{tokens: f.burst}
	fl.figures.causes = map[syclimit.Cause]int{}
	for i := range f.vms {
		v := &vm{fleet: fl, index: i, drift: f.drift * (2*fl.rng.Float64() - 1), offset: time.Duration(fl.rng.IntN(1e9))}
		v.fraction = syclimit.NewFraction(fl.share(i))
		fl.vms = append(fl.vms, v)
	}
	return fl
}

func (fl *fleet) after(d time.Duration, run func()) {
	fl.seq++
	heap.Push(&fl.queue, event{at: fl.now + d, seq: fl.seq, run: run})
}

func (fl *fleet) share(i int) float64 {
	if fl.f.shares != nil {
		return fl.f.shares(i, fl.f.vms)
	}
	return 1 / float64(fl.f.vms)
}

func (v *vm) local() time.Duration {
	return time.Duration(float64(v.fleet.now)*(1+v.drift)) + v.offset
}

func (v *vm) domain() int { return v.index / max(v.fleet.f.near, 1) }

// start runs a new process on the VM.
func (v *vm) start() {
	fl := v.fleet
	v.down = false
	v.incarnation++
	now := v.local()
	v.limit = syclimit.NewLimit(fl.rate, fl.burst, now)
	v.machine = syclimit.New(fl.f.settings, now, uint64(v.incarnation)<<32)
	var peers []syclimit.Peer
	for i, p := range fl.vms {
		if i == v.index || fl.share(i) == 0 || fl.f.apart {
			continue
		}
		peers = append(peers, syclimit.Peer{Address: strconv.Itoa(i), SameDomain: p.domain() == v.domain(), Fraction: syclimit.NewFraction(fl.share(i))})
	}
	v.act(v.machine.SetPeers(now, peers))
	v.act(v.machine.SetFraction(now, v.fraction))
}

// handle runs f when the VM is up and not paused; a crash loses it.
func (v *vm) handle(f func(now time.Duration)) {
	if v.down {
		return
	}
	if wait := v.paused - v.fleet.now; wait > 0 {
		incarnation := v.incarnation
		v.fleet.after(wait, func() {
			if incarnation == v.incarnation {
				v.handle(f)
			}
		})
		return
	}
	f(v.local())
}

func (v *vm) admit() {
	fl := v.fleet
	fl.figures.offered++
	if fl.ideal.take(fl.now, fl.f) {
		fl.figures.conforming++
	}
	if v.down {
		return
	}
	v.handle(func(now time.Duration) {
		fl.request++
		v.act(v.machine.Admit(now, fl.request, customer, v.limit, now+time.Minute))
	})
}

func (v *vm) act(actions []syclimit.Action) {
	fl := v.fleet
	for _, a := range actions {
		switch a := a.(type) {
		case syclimit.Grant:
			fl.figures.granted++
			fl.figures.waited += a.Waited
			fl.figures.spends = append(fl.figures.spends, fl.now)
		case syclimit.Reject:
			fl.figures.refused++
			fl.figures.causes[a.Cause]++
		case syclimit.Ask:
			v.send(a)
		}
	}
}

func (fl *fleet) lost(from, to *vm) bool {
	third := fl.f.length / 3
	if fl.f.cut && from.index == fl.f.vms-1 && fl.now > third && fl.now < 2*third {
		return true
	}
	return fl.rng.Float64() < fl.f.loss || to.down
}

// copies is how often a message arrives.
func (fl *fleet) copies(from, to *vm) int {
	fl.figures.messages++
	if fl.lost(from, to) {
		return 0
	}
	if fl.rng.Float64() < fl.f.repeat {
		return 2
	}
	return 1
}

func (fl *fleet) delay() time.Duration {
	d := fl.f.delay/2 + time.Duration(fl.rng.Int64N(int64(fl.f.delay)+1))
	if fl.rng.Float64() < fl.f.loss {
		d *= 1000
	}
	return d
}

func (v *vm) send(a syclimit.Ask) {
	fl := v.fleet
	index, _ := strconv.Atoi(a.Peer)
	to, sent := fl.vms[index], v.local()
	incarnation := v.incarnation
	request := syclimit.LoanRequest{
		Borrower: strconv.Itoa(v.index), Incarnation: strconv.Itoa(incarnation),
		ID: a.ID, Customer: customer, Amount: a.Amount, Shortage: a.Shortage, Settled: a.Settled,
	}
	for range fl.copies(v, to) {
		fl.after(fl.delay(), func() {
			to.handle(func(now time.Duration) { to.lend(now, v, incarnation, sent, a, request) })
		})
	}
	fl.after(askTimeout, func() {
		if v.incarnation == incarnation {
			v.handle(func(now time.Duration) {
				fl.arrived(v, a.ID)
				v.act(v.machine.AskFailed(now, a.Peer, customer, a.ID))
			})
		}
	})
}

func (v *vm) lend(now time.Duration, to *vm, incarnation int, sent time.Duration, a syclimit.Ask, r syclimit.LoanRequest) {
	fl := v.fleet
	loan := v.machine.Lend(now, r, v.limit)
	if fl.f.lend != nil {
		loan = fl.f.lend(loan)
	}
	if copies := fl.copies(v, to); copies > 0 && to.incarnation == incarnation {
		fl.transit = append(fl.transit, &transit{to: to, incarnation: incarnation, id: a.ID, amount: loan.Amount, expires: sent + loan.Valid})
		fl.answer(copies, to, incarnation, a, loan)
	}
}

func (fl *fleet) answer(copies int, to *vm, incarnation int, a syclimit.Ask, loan syclimit.Loan) {
	for range copies {
		fl.after(fl.delay(), func() {
			if to.incarnation != incarnation {
				return
			}
			to.handle(func(now time.Duration) {
				fl.arrived(to, a.ID)
				to.act(to.machine.Answer(now, a.Peer, customer, a.ID, loan))
			})
		})
	}
}

// run plays the faults and returns the figures.
func (fl *fleet) run() figures {
	for _, v := range fl.vms {
		v.start()
	}
	fl.arrivals(fl.f.warm)
	fl.ticks()
	fl.disturb()
	for len(fl.queue) > 0 {
		e := heap.Pop(&fl.queue).(event)
		if e.at > fl.f.length {
			break
		}
		fl.now = e.at
		e.run()
		fl.figures.most = max(fl.figures.most, fl.outstanding())
	}
	return fl.figures
}

// arrivals sends requests after a wait.
func (fl *fleet) arrivals(wait time.Duration) {
	gap := time.Duration(fl.rng.ExpFloat64() / fl.f.load * float64(time.Second))
	fl.after(wait+gap, func() {
		if !fl.thinned() {
			fl.anyEntry().admit()
		}
		fl.arrivals(0)
	})
}

// anyEntry is the VM that the balancer picks.
func (fl *fleet) anyEntry() *vm {
	if fl.f.skew || fl.f.shift && fl.now >= fl.f.length/2 {
		return fl.vms[0]
	}
	return fl.vms[fl.rng.IntN(len(fl.vms))]
}

func (fl *fleet) ticks() {
	fl.after(5*time.Millisecond, func() {
		for _, v := range fl.vms {
			if !v.down && v.paused <= fl.now {
				v.act(v.machine.Tick(v.local()))
			}
		}
		fl.ticks()
	})
}
