package sycslot_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
)

const (
	domain = "larisa"
	// step is the simulated time between two rounds of the fleet.
	step = 50 * time.Millisecond
	// listLag bounds the age of the platform's list of VMs.
	listLag = 2 * time.Second
)

// stream is a topic of the log. states[n] is the state after n records.
type stream struct {
	states []*sycconfig.State
}

func newStream() *stream { return &stream{states: []*sycconfig.State{sycconfig.NewState()}} }

// append adds an operation and reports whether the state accepted it.
func (s *stream) append(op sycrecord.Operation, spec any) bool {
	op.Schema = 2
	op.ID = fmt.Sprint("op-", len(s.states))
	op.Verb = sycrecord.Put
	op.Spec, _ = json.Marshal(spec)
	data, _ := json.Marshal(op)
	next, result := s.states[len(s.states)-1].Apply(s.end(), data)
	s.states = append(s.states, next)
	return result.Accepted()
}

// end returns the offset after the last record.
func (s *stream) end() uint64 { return uint64(len(s.states) - 1) }

// node is an address of the fleet, with the VMs and processes that use it in turn.
type node struct {
	address      string
	process      int // counts the processes started so far
	up           bool
	registered   bool
	pausedAt     time.Duration
	pausedUntil  time.Duration // 0 after the pause was handled
	noLogUntil   time.Duration // end of a partition from the log
	config       uint64        // offset after the last applied config record
	system       uint64        // offset after the last applied system record
	roster       *sycmember.Roster
	slots        *sycslot.Machine
	removed      bool          // the platform has removed the VM
	removedAfter time.Duration // earliest time of the removal after a crash
}

// fleet simulates the VMs of one failure domain in steps of one shared clock.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	config  *stream
	system  *stream
	nodes   []*node
	history []map[string]bool // the platform's list of VMs at each step
	mail    []message         // sent and not yet delivered
	// takeovers counts the accepted holder records.
	takeovers int
	// noFaults stops the injection of faults.
	noFaults bool
	// skipConfirm makes every VM accrue new slots at once, without reports of
	// the other VMs.
	skipConfirm bool
	// ignorePauses makes VMs keep their slots after a long process pause.
	ignorePauses bool
}

// message is an introduction of one VM to another, or the reply to it.
type message struct {
	at     time.Duration // when it is delivered
	sent   time.Duration // when the introduction was sent
	to     string
	report sycmember.Report
	reply  bool
	// process is the incarnation that sent the introduction. Other processes drop
	// the reply.
	process string
}

// newFleet starts VMs with a random slot table.
func newFleet(seed uint64, vms int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), config: newStream(), system: newStream()}
	for i := range vms {
		f.nodes = append(f.nodes, &node{address: fmt.Sprintf("127.0.0.1:%d", 100+i)})
	}
	f.changeTable()
	for _, n := range f.nodes {
		f.boot(n)
	}
	return f
}

// changeTable publishes a slot table of up to three slots with random fractions on
// random VMs.
func (f *fleet) changeTable() {
	order := f.rng.Perm(len(f.nodes))
	left := 1.0
	fields := sycrecord.SlotsFields{Share: 1}
	for i := range min(3, len(f.nodes)) {
		fraction := left * f.rng.Float64()
		left -= fraction
		fields.Slots = append(fields.Slots, sycrecord.SlotFields{
			Name: fmt.Sprint("slot-", i), Address: f.nodes[order[i]].address, Fraction: fraction,
		})
	}
	op := sycrecord.Operation{Kind: sycrecord.KindSlots, Name: domain}
	if !f.config.append(op, fields) {
		panic("slot table rejected")
	}
}

// boot starts a process that has applied a random part of both topics.
func (f *fleet) boot(n *node) {
	n.process++
	n.pausedUntil = 0
	n.up, n.removed, n.registered = true, false, true
	n.config = f.rng.Uint64N(f.config.end() + 1)
	n.system = f.rng.Uint64N(f.system.end() + 1)
	vm := sycmember.VM{Address: n.address, FailureDomain: domain, Incarnation: fmt.Sprint(n.process)}
	n.roster = sycmember.New(vm, sycmember.Settings{ListLag: listLag})
	n.slots = sycslot.New(n.address, domain, sycslot.Settings{})
}

// chance returns true with probability p.
func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

// injectFaults makes VMs crash, get replaced, pause and lose the connection to the
// log.
func (f *fleet) injectFaults() {
	for _, n := range f.nodes {
		switch {
		case n.up && f.chance(0.002):
			n.up = false
			n.removedAfter = f.now + time.Duration(f.rng.Int64N(int64(3*time.Second)))
		case !n.up && !n.removed && f.chance(0.01):
			f.boot(n) // the process restarts on the same VM
		case !n.up && !n.removed && f.now > n.removedAfter && f.chance(0.02):
			n.removed, n.registered = true, false
		case n.removed && f.chance(0.005):
			f.boot(n) // a new VM takes the address
		case f.paused(n):
			// The platform may remove a paused VM from its list.
			n.registered = n.registered && !f.chance(0.02)
		case n.pausedUntil == 0 && f.chance(0.004):
			n.pausedAt = f.now
			n.pausedUntil = f.now + time.Duration(f.rng.Int64N(int64(8*time.Second)))
		case f.chance(0.004):
			n.noLogUntil = f.now + time.Duration(f.rng.Int64N(int64(8*time.Second)))
		}
	}
	if f.chance(0.002) {
		f.changeTable()
	}
}

func (f *fleet) paused(n *node) bool { return n.up && f.now < n.pausedUntil }

// restartPause is the process pause after which a VM restarts its slots.
const restartPause = listLag / 4 * 3

// resume ends a VM's process pause. A long pause restarts its slots.
func (f *fleet) resume(n *node) {
	if n.pausedUntil == 0 || f.now < n.pausedUntil {
		return
	}
	pause := f.now - n.pausedAt
	n.pausedUntil = 0
	if pause <= restartPause || f.ignorePauses {
		return
	}
	n.roster.ResetAfterPause(f.now)
	n.slots.Restart()
	f.update(n)
}

// list records the VMs that the platform lists at this step.
func (f *fleet) list() {
	shown := map[string]bool{}
	for _, n := range f.nodes {
		if n.registered {
			shown[n.address] = true
		}
	}
	f.history = append(f.history, shown)
}

// readList passes a VM the list of a random time within listLag. A VM that the list
// lacks registers again.
func (f *fleet) readList(n *node) {
	steps := int(listLag / step)
	back := min(f.rng.IntN(steps), len(f.history)-1)
	shown := f.history[len(f.history)-1-back]
	var vms []sycmember.VM
	for _, other := range f.nodes {
		if shown[other.address] {
			vms = append(vms, sycmember.VM{Address: other.address, FailureDomain: domain})
		}
	}
	if !shown[n.address] {
		n.registered = true
	}
	n.roster.ApplyList(f.now, vms)
}

// report returns the offsets that the VM reports to others.
func (n *node) report() sycmember.Report {
	config, system := n.slots.Applied()
	return sycmember.Report{VM: n.roster.Self(), ConfigNext: config, SystemNext: system}
}

// post sends a message that may be lost or delayed.
func (f *fleet) post(from *node, to string, reply bool, sent time.Duration, process string) {
	if f.chance(0.1) {
		return
	}
	delay := time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))
	if f.chance(0.2) {
		delay *= 20
	}
	f.mail = append(f.mail, message{at: f.now + delay, sent: sent, to: to, report: from.report(), reply: reply, process: process})
}

// deliver passes the messages that are due to VMs that aren't paused. Crashed VMs
// lose theirs.
func (f *fleet) deliver() {
	due := f.mail
	f.mail = nil
	for _, m := range due {
		to := f.node(m.to)
		if m.at > f.now || f.paused(to) {
			f.mail = append(f.mail, m)
			continue
		}
		f.resume(to)
		if !to.up {
			continue
		}
		if !m.reply {
			to.roster.ReceiveIntroduction(f.now, m.report.VM)
			f.update(to)
			f.post(to, m.report.VM.Address, true, m.sent, m.report.VM.Incarnation)
			continue
		}
		if m.process == to.roster.Self().Incarnation {
			to.roster.ApplyReport(f.now, m.sent, m.report)
			f.update(to)
		}
	}
}

// node returns the VM at an address.
func (f *fleet) node(address string) *node {
	for _, n := range f.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// readLog applies a random number of further records of both topics.
func (f *fleet) readLog(n *node) {
	if f.now < n.noLogUntil {
		return
	}
	n.config += f.rng.Uint64N(f.config.end() - n.config + 1)
	n.system += f.rng.Uint64N(f.system.end() - n.system + 1)
}

// states returns the states that a VM has applied.
func (f *fleet) states(n *node) (config, system *sycconfig.State) {
	return f.config.states[n.config], f.system.states[n.system]
}

// update passes a VM's view to its machine.
func (f *fleet) update(n *node) {
	config, system := f.states(n)
	var vms []sycmember.VM
	for _, h := range sycslot.Holdings(config, system) {
		vms = append(vms, sycmember.VM{Address: h.Address, FailureDomain: h.FailureDomain})
	}
	n.roster.Expect(vms)
	var peers []sycslot.Peer
	for _, m := range n.roster.Members() {
		c, s, ok := m.Reported()
		peers = append(peers, sycslot.Peer{Address: m.VM().Address, FailureDomain: domain, Reported: ok, ConfigNext: c, SystemNext: s})
	}
	view := sycslot.View{
		Config: config, System: system, Peers: peers,
		Complete: n.roster.Complete(f.now), Removed: n.roster.Removed(),
		GoneSince: n.roster.GoneSince,
	}
	if f.skipConfirm {
		view.Peers, view.Complete = nil, true
	}
	n.slots.Update(view)
}

// takeOver publishes the holder record that a VM proposes, if any.
func (f *fleet) takeOver(n *node) {
	if f.now < n.noLogUntil {
		return
	}
	config, system := f.states(n)
	var live []string
	for _, m := range n.roster.Live(f.now) {
		live = append(live, m.VM().Address)
	}
	t, ok := n.slots.Takeover(f.now, config, system, live, n.roster.Gone)
	if !ok {
		return
	}
	op := sycrecord.Operation{Kind: sycrecord.KindHolder, Name: t.Slot, Expect: &t.Expect}
	if f.system.append(op, t.Fields) {
		f.takeovers++
	}
}

// advance simulates one step and returns the sum of the fractions that all VMs
// accrue.
func (f *fleet) advance() syclimit.Fraction {
	f.now += step
	if !f.noFaults {
		f.injectFaults()
	}
	f.list()
	f.deliver()
	for _, n := range f.nodes {
		if !n.up || f.now < n.pausedUntil {
			continue
		}
		f.resume(n)
		f.readLog(n)
		if f.chance(0.2) {
			f.readList(n)
		}
		f.update(n)
		for _, to := range n.roster.Due(f.now) {
			f.post(n, to, false, f.now, "")
		}
		if f.chance(0.2) {
			f.takeOver(n)
		}
	}
	return f.total()
}

// endFaults ends all pauses, partitions and further faults. Crashed VMs restart,
// unless stayDown is set: then the platform no longer lists them.
func (f *fleet) endFaults(stayDown bool) {
	f.noFaults = true
	for _, n := range f.nodes {
		n.pausedUntil, n.noLogUntil = 0, 0
		if n.up {
			continue
		}
		if !stayDown {
			f.boot(n)
			continue
		}
		n.registered = false
	}
}

// total returns the sum of the fractions that all VMs accrue. It excludes a VM in a
// long process pause, which drops what accrued during the pause.
func (f *fleet) total() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, n := range f.nodes {
		dropped := f.paused(n) && f.now-n.pausedAt > restartPause && !f.ignorePauses
		if n.up && !dropped {
			sum += n.slots.Fraction()
		}
	}
	return sum
}
