package sycsuspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
)

// load describes a simulated fleet under load.
type load struct {
	vms, engines, slots int
	// sound and deadly are requests per second.
	sound, deadly float64
	// deadlyBlocks is how many blocks end engines.
	deadlyBlocks int
	// subjects is the number of blocks that sound and deadly requests may have second.
	subjects int
	// subject is the one with which deadly requests come only, 0 for any.
	subject uint64
	// same is set if the deadly requests are one that is repeated, and none of its blocks ends engines. All of its blocks
	// are then sound ones.
	same bool
	// plain is set if requests have no blocks but themselves.
	plain bool
	// attempts limits the attempts of a request, and repeats the caller's repeats of it.
	attempts, repeats int
	// prefill and answer are the mean times to the answer's begin and from there to its end.
	prefill, answer time.Duration
	// begunCause and begunOther are the chances that an answer is seen to begin just before
	// it breaks off, of the request that ends an engine and of others that wait for theirs.
	begunCause, begunOther float64
	// delay is the longest delay of a record between VMs.
	delay time.Duration
	// kill is the mean time between the ends of engines by other causes, 0 for none. Each
	// ends killed engines at once.
	kill   time.Duration
	killed int
	// cutFrom and cutUntil are when the second VM is cut off from the others, 0 for never.
	cutFrom, cutUntil time.Duration
	// restart is when half of the VMs start anew, 0 for never.
	restart time.Duration
	// harmlessFrom is when the blocks no longer end engines, 0 for never.
	harmlessFrom time.Duration
	// length is how long the load lasts.
	length time.Duration
}

const (
	// firstDeadly and firstSubject are the lowest hashes of deadly blocks and of subjects.
	firstDeadly  = 500
	firstSubject = 1000
	// sameRequest is the request that is repeated, if all deadly requests are one.
	sameRequest = 999
)

// task is something that happens at a time.
type task struct {
	at     time.Duration
	number int
	run    func()
}

// tasks is a heap of tasks by time.
type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// engine is one incarnation after the other of a simulated engine.
type engine struct {
	name        string
	incarnation int
	up          bool
	inFlight    []*flight
}

func (e *engine) id() string { return fmt.Sprint(e.name, "/", e.incarnation) }

// flight is one attempt of a request.
type flight struct {
	request *request
	vm      int
	sent    time.Duration
	// answering is set once the answer has content, and over once the attempt has ended.
	answering, over bool
}

// request is a simulated request.
type request struct {
	prompt sycsuspect.Prompt
	// deadly is the block that ends engines, 0 for none.
	deadly   uint64
	attempts int
	repeats  int
}

// rig simulates a fleet.
type rig struct {
	load
	random   *rand.Rand
	now      time.Duration
	queue    tasks
	number   int
	trackers []*sycsuspect.Tracker
	engines  []*engine
	// offsets are the differences of the VMs' clocks.
	offsets []time.Duration
	// crashes holds when engines ended by each deadly block, and deadlySends when VMs in touch
	// sent requests with it.
	crashes, deadlySends map[uint64][]time.Duration
	// soundSent and soundRefused count sound requests.
	soundSent, soundRefused int
	// unique counts the requests.
	unique uint64
	// deadlyRequests holds the requests with a deadly block.
	deadlyRequests map[uint64]bool
	// convictedSound counts the convictions of blocks that end no engine, and of requests without such blocks.
	convictedSound int
	// served is when a request with a deadly block was last served.
	served time.Duration
}

func newRig(l load, seed uint64) *rig {
	r := &rig{
		load: l, random: rand.New(rand.NewPCG(seed, 1)),
		deadlyRequests: map[uint64]bool{}, crashes: map[uint64][]time.Duration{}, deadlySends: map[uint64][]time.Duration{},
	}
	for i := range l.vms {
		r.trackers = append(r.trackers, sycsuspect.New(uint64(i)*977_000_001))
		r.offsets = append(r.offsets, time.Duration(r.random.Int64N(int64(time.Hour))))
	}
	for i := range l.engines {
		r.engines = append(r.engines, &engine{name: fmt.Sprint("e", i), up: true})
	}
	return r
}

// clock returns the time by a VM's clock.
func (r *rig) clock(vm int) time.Duration { return r.now + r.offsets[vm] }

func (r *rig) after(d time.Duration, run func()) {
	r.number++
	heap.Push(&r.queue, task{at: r.now + d, number: r.number, run: run})
}

// spread returns a random time with a mean.
func (r *rig) spread(mean time.Duration) time.Duration {
	return mean/4 + time.Duration(r.random.ExpFloat64()*float64(mean)*3/4)
}

// play simulates the load.
func (r *rig) play() {
	r.every(func() time.Duration { return time.Duration(r.random.ExpFloat64() / r.sound * float64(time.Second)) }, func() { r.arrive(false) })
	if r.deadly > 0 {
		r.after(10*time.Second, func() {
			r.every(func() time.Duration { return time.Duration(r.random.ExpFloat64() / r.deadly * float64(time.Second)) }, func() { r.arrive(true) })
		})
	}
	if r.kill > 0 {
		r.every(func() time.Duration { return r.spread(r.kill) }, r.killSome)
	}
	for vm := range r.trackers {
		r.every(func() time.Duration { return 150 * time.Millisecond }, func() { r.exchange(vm) })
	}
	if r.restart > 0 {
		r.after(r.restart, func() {
			for vm := 0; vm < r.vms; vm += 2 {
				r.trackers[vm] = sycsuspect.New(uint64(vm) * 977_000_001)
				for _, record := range r.trackers[vm+1].Convictions(r.clock(vm + 1)) {
					r.after(r.delay, func() { r.trackers[vm].Receive(r.clock(vm), "vm", record) })
				}
			}
		})
	}
	for len(r.queue) > 0 {
		t := heap.Pop(&r.queue).(task)
		if t.at > r.length {
			return
		}
		r.now = t.at
		t.run()
	}
}

// every runs f after random pauses.
func (r *rig) every(pause func() time.Duration, f func()) {
	r.after(pause(), func() {
		f()
		r.every(pause, f)
	})
}

// arrive makes a caller send a request to a random VM.
func (r *rig) arrive(deadly bool) {
	r.unique++
	subject := uint64(firstSubject + r.random.IntN(r.subjects))
	blocks := []uint64{1, subject}
	if r.random.IntN(3) == 0 {
		blocks = []uint64{uint64(2 + r.random.IntN(8)), subject + 100_000}
	}
	q := &request{}
	if deadly {
		q.deadly = uint64(firstDeadly + r.random.IntN(r.deadlyBlocks))
		if r.subject != 0 {
			blocks = []uint64{1, r.subject}
		}
		if !r.same {
			blocks = slices.Insert(blocks, 1+r.random.IntN(2), q.deadly)
		}
	}
	if r.plain {
		blocks = nil
	}
	request := 1_000_000 + r.unique
	if deadly && r.same {
		request, q.deadly = sameRequest, sameRequest
	}
	r.deadlyRequests[request] = deadly
	q.prompt = sycsuspect.Prompt{Request: request, Blocks: append(blocks, request)}
	r.ask(q)
}

// ask brings a request to a random VM.
func (r *rig) ask(q *request) {
	vm := r.random.IntN(r.vms)
	v := r.trackers[vm].Judge(r.clock(vm), q.prompt, vm == 0)
	if q.deadly == 0 {
		r.soundSent++
	}
	if v.Reason != sycsuspect.Allowed {
		if q.deadly == 0 {
			r.soundRefused++
		}
		return
	}
	q.attempts = 0
	r.send(vm, q)
}

// send sends a request to a random engine that runs. Engines that don't are found out.
func (r *rig) send(vm int, q *request) {
	var e *engine
	for range 20 {
		e = r.engines[r.random.IntN(len(r.engines))]
		if e.up {
			break
		}
		r.trackers[vm].End(r.clock(vm), e.id())
	}
	if !e.up || len(e.inFlight) >= r.slots {
		return
	}
	q.attempts++
	if q.deadly != 0 && r.inTouch(vm) {
		r.deadlySends[q.deadly] = append(r.deadlySends[q.deadly], r.now)
	}
	r.trackers[vm].Begin(r.clock(vm), q.prompt)
	f := &flight{request: q, vm: vm, sent: r.now}
	e.inFlight = append(e.inFlight, f)
	r.after(r.spread(r.prefill), func() { r.begin(e, f) })
}

// begin begins the answer of an attempt.
func (r *rig) begin(e *engine, f *flight) {
	if f.over {
		return
	}
	if f.request.deadly != 0 && (r.harmlessFrom == 0 || r.now < r.harmlessFrom) {
		r.crashes[f.request.deadly] = append(r.crashes[f.request.deadly], r.now)
		r.end(e, f)
		return
	}
	f.answering = true
	r.after(r.spread(r.answer), func() {
		if f.over {
			return
		}
		f.over = true
		e.inFlight = slices.DeleteFunc(e.inFlight, func(o *flight) bool { return o == f })
		if f.request.deadly != 0 {
			r.served = r.now
		}
		r.trackers[f.vm].Serve(r.clock(f.vm), f.request.prompt)
		r.trackers[f.vm].Answer(r.clock(f.vm), e.id(), f.sent+r.offsets[f.vm])
	})
}

// killSome ends engines by another cause.
func (r *rig) killSome() {
	for range r.killed {
		if e := r.engines[r.random.IntN(len(r.engines))]; e.up {
			r.end(e, nil)
		}
	}
}

// end ends an engine. The cause is the attempt that did it, if there is one.
func (r *rig) end(e *engine, cause *flight) {
	e.up = false
	id := e.id()
	broken := e.inFlight
	e.inFlight = nil
	for _, f := range broken {
		f.over = true
		r.after(time.Duration(r.random.IntN(8))*time.Millisecond, func() { r.broke(id, f, r.random.Float64() < r.begunOf(f == cause)) })
	}
	r.after(3*time.Second, func() { e.incarnation, e.up = e.incarnation+1, true })
	// The registry says so after a time.
	r.after(1500*time.Millisecond, func() {
		for vm, t := range r.trackers {
			t.End(r.clock(vm), id)
		}
	})
}

// begunOf returns the chance that an answer is seen to begin just before it breaks off.
func (r *rig) begunOf(cause bool) float64 {
	if cause {
		return r.begunCause
	}
	return r.begunOther
}

// broke applies that the answer of an attempt broke off.
func (r *rig) broke(id string, f *flight, begun bool) {
	t, now := r.trackers[f.vm], r.clock(f.vm)
	if f.answering {
		t.Abandon(now, f.request.prompt)
		return
	}
	t.Break(now, sycsuspect.Break{Prompt: f.request.prompt, Endpoint: id, At: now, Took: r.now - f.sent, Begun: begun})
	if f.request.attempts < r.attempts && t.JudgeAgain(now, f.request.prompt).Reason == sycsuspect.Allowed {
		r.send(f.vm, f.request)
		return
	}
	if f.request.repeats < r.repeats {
		f.request.repeats++
		r.after(20*time.Millisecond, func() { r.ask(f.request) })
	}
}

// exchange tells all other VMs what one has recorded.
func (r *rig) exchange(vm int) {
	for _, c := range r.trackers[vm].TakeChanges() {
		if c.To == sycsuspect.Convicted && (c.Block < firstDeadly || c.Block >= firstSubject) && !r.deadlyRequests[c.Block] {
			r.convictedSound++
		}
	}
	for _, record := range r.trackers[vm].TakeRecords(r.clock(vm)) {
		for other := range r.trackers {
			if other == vm || r.cut(vm) || r.cut(other) {
				continue
			}
			r.after(time.Duration(r.random.Int64N(int64(r.delay)+1)), func() {
				r.trackers[other].Receive(r.clock(other), fmt.Sprint("vm", vm), record)
			})
		}
	}
}

// cut reports whether a VM is cut off from the others.
func (r *rig) cut(vm int) bool { return vm == 1 && r.now >= r.cutFrom && r.now < r.cutUntil }
