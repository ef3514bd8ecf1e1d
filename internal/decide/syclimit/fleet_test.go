package syclimit_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

const (
	// customer is the only customer of the simulations.
	customer = "spring"
	// askTimeout is the time without an answer after which an ask fails.
	askTimeout = 400 * time.Millisecond
)

// scenario describes a run: the fleet, the customer's limit and load, and the faults
// that are injected.
type scenario struct {
	vms           int
	domainSize    int     // VMs per failure domain
	rate          float64 // requests per second that the limit allows
	burst         float64
	load          float64                        // requests per second over all VMs
	skew          bool                           // all requests go to the first VM
	shift         bool                           // all requests go to the first VM in the second half of the run
	warmup        time.Duration                  // time before the first request
	loadShape     func(progress float64) float64 // fraction of the load at a progress between 0 and 1; nil for a constant load
	noLending     bool                           // VMs don't borrow from each other
	delay         time.Duration                  // mean delay of a message
	loss          float64                        // probability that a message is lost, or delayed a thousandfold
	duplicate     float64                        // probability that a message arrives twice
	drift         float64                        // largest relative error of a clock's rate
	pauses        int                            // process pauses of a VM
	crashes       int                            // restarts of a VM
	restartAll    bool                           // all VMs restart together in the middle of the run
	muteLastVM    bool                           // all messages from the last VM are lost in the middle third of the run
	limitChanges  int                            // changes of the limit
	fractionMoves int                            // moves of half a VM's fraction to another VM
	spikes        int                            // moments at which every VM gets up to 20 requests
	length        time.Duration                  // of the run
	settings      syclimit.Settings
	fractions     func(i, n int) float64              // fraction of VM i of n; nil for equal fractions
	alterLoan     func(l syclimit.Loan) syclimit.Loan // changes the answers of lenders
}

// event is a function to run at a time. seq orders events at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap of scheduled events, earliest first.
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

// figures holds the measurements of a run.
type figures struct {
	offered, granted, rejected int // requests
	conforming                 int // requests that a central bucket would admit
	messages                   int
	waited                     time.Duration         // sum over granted requests
	spends                     []time.Duration       // time of each grant
	maxHeld                    syclimit.MicroPermits // most permits held and in transit at any time
	causes                     map[syclimit.Cause]int
}

// fleet simulates several VMs with their own clocks and one network.
type fleet struct {
	f           scenario
	rng         *rand.Rand
	now         time.Duration // true time, on which no VM's clock runs exactly
	queue       events
	seq         int
	vms         []*vm
	figures     figures
	request     uint64  // ID of the last request
	rate, burst float64 // the limit that was published last
	central     centralBucket
	// transit holds the loans that borrowers may still apply.
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

// vm is a VM of the fleet with the machine of its current process.
type vm struct {
	fleet       *fleet
	index       int
	drift       float64       // relative error of the clock's rate
	offset      time.Duration // of the clock from true time
	machine     *syclimit.Machine
	incarnation int           // counts starts and stops of the process
	paused      time.Duration // true time at which the process pause ends
	down        bool
	limit       syclimit.Limit
	fraction    syclimit.Fraction
}

// newFleet returns a fleet whose VMs haven't started.
func newFleet(f scenario, seed uint64) *fleet {
	fl := &fleet{f: f, rng: rand.New(rand.NewPCG(seed, 1)), rate: f.rate, burst: f.burst}
	fl.central = centralBucket{permits: f.burst}
	fl.figures.causes = map[syclimit.Cause]int{}
	for i := range f.vms {
		v := &vm{fleet: fl, index: i, drift: f.drift * (2*fl.rng.Float64() - 1), offset: time.Duration(fl.rng.IntN(1e9))}
		v.fraction = syclimit.NewFraction(fl.fractionOf(i))
		fl.vms = append(fl.vms, v)
	}
	return fl
}

// after schedules a function.
func (fl *fleet) after(d time.Duration, run func()) {
	fl.seq++
	heap.Push(&fl.queue, event{at: fl.now + d, seq: fl.seq, run: run})
}

// fractionOf returns the fraction that a VM accrues at first.
func (fl *fleet) fractionOf(i int) float64 {
	if fl.f.fractions != nil {
		return fl.f.fractions(i, fl.f.vms)
	}
	return 1 / float64(fl.f.vms)
}

// local returns the time on the VM's clock.
func (v *vm) local() time.Duration {
	return time.Duration(float64(v.fleet.now)*(1+v.drift)) + v.offset
}

// domain returns the index of the VM's failure domain.
func (v *vm) domain() int { return v.index / max(v.fleet.f.domainSize, 1) }

// start starts a new process on the VM.
func (v *vm) start() {
	fl := v.fleet
	v.down = false
	v.incarnation++
	now := v.local()
	v.limit = syclimit.NewLimit(fl.rate, fl.burst, now)
	v.machine = syclimit.New(fl.f.settings, now, uint64(v.incarnation)<<32)
	var peers []syclimit.Peer
	for i, p := range fl.vms {
		if i == v.index || fl.fractionOf(i) == 0 || fl.f.noLending {
			continue
		}
		peers = append(peers, syclimit.Peer{Address: strconv.Itoa(i), SameDomain: p.domain() == v.domain(), Fraction: syclimit.NewFraction(fl.fractionOf(i))})
	}
	v.act(v.machine.SetPeers(now, peers))
	v.act(v.machine.SetFraction(now, v.fraction))
}

// handle runs f on the VM, after its process pause if there is one. f is lost if the
// VM is down or restarts first.
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

// admit sends a request to the VM.
func (v *vm) admit() {
	fl := v.fleet
	fl.figures.offered++
	if fl.central.take(fl.now, fl.f) {
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

// act carries out the actions of the VM's machine.
func (v *vm) act(actions []syclimit.Action) {
	fl := v.fleet
	for _, a := range actions {
		switch a := a.(type) {
		case syclimit.Grant:
			fl.figures.granted++
			fl.figures.waited += a.Waited
			fl.figures.spends = append(fl.figures.spends, fl.now)
		case syclimit.Reject:
			fl.figures.rejected++
			fl.figures.causes[a.Cause]++
		case syclimit.Ask:
			v.send(a)
		}
	}
}

// lost reports whether a message between two VMs is lost.
func (fl *fleet) lost(from, to *vm) bool {
	third := fl.f.length / 3
	if fl.f.muteLastVM && from.index == fl.f.vms-1 && fl.now > third && fl.now < 2*third {
		return true
	}
	return fl.rng.Float64() < fl.f.loss || to.down
}

// copies returns how often a message arrives.
func (fl *fleet) copies(from, to *vm) int {
	fl.figures.messages++
	if fl.lost(from, to) {
		return 0
	}
	if fl.rng.Float64() < fl.f.duplicate {
		return 2
	}
	return 1
}

// delay returns the random delay of a message.
func (fl *fleet) delay() time.Duration {
	d := fl.f.delay/2 + time.Duration(fl.rng.Int64N(int64(fl.f.delay)+1))
	if fl.rng.Float64() < fl.f.loss {
		d *= 1000
	}
	return d
}

// send sends an ask to a peer and schedules its timeout.
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
				fl.endTransit(v, a.ID)
				v.act(v.machine.AskFailed(now, a.Peer, customer, a.ID))
			})
		}
	})
}

// lend answers an ask of another VM.
func (v *vm) lend(now time.Duration, to *vm, incarnation int, sent time.Duration, a syclimit.Ask, r syclimit.LoanRequest) {
	fl := v.fleet
	loan := v.machine.Lend(now, r, v.limit)
	if fl.f.alterLoan != nil {
		loan = fl.f.alterLoan(loan)
	}
	if copies := fl.copies(v, to); copies > 0 && to.incarnation == incarnation {
		fl.transit = append(fl.transit, &transit{to: to, incarnation: incarnation, id: a.ID, amount: loan.Amount, expires: sent + loan.Valid})
		fl.answer(copies, to, incarnation, a, loan)
	}
}

// answer delivers copies of a loan to its borrower.
func (fl *fleet) answer(copies int, to *vm, incarnation int, a syclimit.Ask, loan syclimit.Loan) {
	for range copies {
		fl.after(fl.delay(), func() {
			if to.incarnation != incarnation {
				return
			}
			to.handle(func(now time.Duration) {
				fl.endTransit(to, a.ID)
				to.act(to.machine.Answer(now, a.Peer, customer, a.ID, loan))
			})
		})
	}
}

// run simulates the fleet until the end of the run and returns the figures.
func (fl *fleet) run() figures {
	for _, v := range fl.vms {
		v.start()
	}
	fl.arrivals(fl.f.warmup)
	fl.ticks()
	fl.scheduleFaults()
	for len(fl.queue) > 0 {
		e := heap.Pop(&fl.queue).(event)
		if e.at > fl.f.length {
			break
		}
		fl.now = e.at
		e.run()
		fl.figures.maxHeld = max(fl.figures.maxHeld, fl.outstanding())
	}
	return fl.figures
}

// arrivals sends requests at random intervals, after an initial wait.
func (fl *fleet) arrivals(wait time.Duration) {
	gap := time.Duration(fl.rng.ExpFloat64() / fl.f.load * float64(time.Second))
	fl.after(wait+gap, func() {
		if !fl.skipArrival() {
			fl.pickVM().admit()
		}
		fl.arrivals(0)
	})
}

// pickVM returns the VM that the load balancer sends a request to.
func (fl *fleet) pickVM() *vm {
	if fl.f.skew || fl.f.shift && fl.now >= fl.f.length/2 {
		return fl.vms[0]
	}
	return fl.vms[fl.rng.IntN(len(fl.vms))]
}

// ticks runs the machines' Tick every 5 ms.
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
