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
	domain  = "larisa"
	step    = 50 * time.Millisecond
	listLag = 2 * time.Second
)

// stream is a log stream with the state after each record.
type stream struct {
	states []*sycconfig.State
}

func newStream() *stream { return &stream{states: []*sycconfig.State{sycconfig.NewState()}} }

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

func (s *stream) end() uint64 { return uint64(len(s.states) - 1) }

// node is a VM of the fleet, or the processes that follow each other on it.
type node struct {
	address      string
	process      int
	up           bool
	registered   bool
	pausedAt     time.Duration
	pausedUntil  time.Duration // 0 once the VM has gone on
	cutUntil     time.Duration // from the log
	config       uint64        // applied offsets
	system       uint64
	roster       *sycmember.Roster
	slots        *sycslot.Machine
	removed      bool // the platform has seen that the VM is gone
	removedAfter time.Duration
}

// fleet runs the VMs of one failure domain on true time, step by step.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	config  *stream
	system  *stream
	nodes   []*node
	history []map[string]bool // what the list showed at each step
	mail    []message
	claimed int
	// calm ends the faults.
	calm bool
	// trust makes every VM start at once, without reports of others.
	trust bool
	// forgetful makes VMs go on after a pause as if nothing had been.
	forgetful bool
}

type message struct {
	at     time.Duration
	sent   time.Duration // of the introduction, by its sender
	to     string
	report sycmember.Report
	reply  bool
	// process is the incarnation that a reply goes to.
	process string
}

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

// changeTable publishes a table of three slots with random fractions and VMs.
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
		panic("table refused")
	}
}

// boot starts a process, which has read some prefix of both streams.
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

func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

// disturb lets VMs fail, be replaced, pause and lose the log.
func (f *fleet) disturb() {
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
			// The platform may take a paused VM for gone.
			n.registered = n.registered && !f.chance(0.02)
		case n.pausedUntil == 0 && f.chance(0.004):
			n.pausedAt = f.now
			n.pausedUntil = f.now + time.Duration(f.rng.Int64N(int64(8*time.Second)))
		case f.chance(0.004):
			n.cutUntil = f.now + time.Duration(f.rng.Int64N(int64(8*time.Second)))
		}
	}
	if f.chance(0.002) {
		f.changeTable()
	}
}

func (f *fleet) paused(n *node) bool { return n.up && f.now < n.pausedUntil }

// stillPart is how long a VM stands still before it confirms its slots anew.
const stillPart = listLag / 4 * 3

// wake lets a VM go on after a pause.
func (f *fleet) wake(n *node) {
	if n.pausedUntil == 0 || f.now < n.pausedUntil {
		return
	}
	still := f.now - n.pausedAt
	n.pausedUntil = 0
	if still <= stillPart || f.forgetful {
		return
	}
	n.roster.Restart(f.now)
	n.slots.Restart()
	f.update(n)
}

func (f *fleet) list() {
	shown := map[string]bool{}
	for _, n := range f.nodes {
		if n.registered {
			shown[n.address] = true
		}
	}
	f.history = append(f.history, shown)
}

// read gives a VM the list as it was up to the lag ago.
func (f *fleet) read(n *node) {
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
	n.roster.Listed(f.now, vms)
}

func (n *node) report() sycmember.Report {
	config, system := n.slots.Applied()
	return sycmember.Report{VM: n.roster.Self(), ConfigNext: config, SystemNext: system}
}

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

func (f *fleet) deliver() {
	due := f.mail
	f.mail = nil
	for _, m := range due {
		to := f.node(m.to)
		if m.at > f.now || f.paused(to) {
			f.mail = append(f.mail, m)
			continue
		}
		f.wake(to)
		if !to.up {
			continue
		}
		if !m.reply {
			to.roster.Seen(f.now, m.report.VM)
			f.update(to)
			f.post(to, m.report.VM.Address, true, m.sent, m.report.VM.Incarnation)
			continue
		}
		if m.process == to.roster.Self().Incarnation {
			to.roster.Answered(f.now, m.sent, m.report)
			f.update(to)
		}
	}
}

func (f *fleet) node(address string) *node {
	for _, n := range f.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// follow reads on in the streams.
func (f *fleet) follow(n *node) {
	if f.now < n.cutUntil {
		return
	}
	n.config += f.rng.Uint64N(f.config.end() - n.config + 1)
	n.system += f.rng.Uint64N(f.system.end() - n.system + 1)
}

func (f *fleet) states(n *node) (config, system *sycconfig.State) {
	return f.config.states[n.config], f.system.states[n.system]
}

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
	if f.trust {
		view.Peers, view.Complete = nil, true
	}
	n.slots.Update(view)
}

func (f *fleet) claim(n *node) {
	if f.now < n.cutUntil {
		return
	}
	config, system := f.states(n)
	var live []string
	for _, m := range n.roster.Live(f.now) {
		live = append(live, m.VM().Address)
	}
	c, ok := n.slots.Takeover(f.now, config, system, live, n.roster.Gone)
	if !ok {
		return
	}
	op := sycrecord.Operation{Kind: sycrecord.KindHolder, Name: c.Slot, Expect: &c.Expect}
	if f.system.append(op, c.Fields) {
		f.claimed++
	}
}

// advance plays one step and returns what all VMs accrue together.
func (f *fleet) advance() syclimit.Fraction {
	f.now += step
	if !f.calm {
		f.disturb()
	}
	f.list()
	f.deliver()
	for _, n := range f.nodes {
		if !n.up || f.now < n.pausedUntil {
			continue
		}
		f.wake(n)
		f.follow(n)
		if f.chance(0.2) {
			f.read(n)
		}
		f.update(n)
		for _, to := range n.roster.Due(f.now) {
			f.post(n, to, false, f.now, "")
		}
		if f.chance(0.2) {
			f.claim(n)
		}
	}
	return f.total()
}

// settle ends the faults; VMs that are gone stay gone if lost is set.
func (f *fleet) settle(lost bool) {
	f.calm = true
	for _, n := range f.nodes {
		n.pausedUntil, n.cutUntil = 0, 0
		if n.up {
			continue
		}
		if !lost {
			f.boot(n)
			continue
		}
		n.registered = false
	}
}

// total is what all VMs accrue. A VM drops what it accrues in a pause that is
// long enough to be noticed.
func (f *fleet) total() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, n := range f.nodes {
		dropped := f.paused(n) && f.now-n.pausedAt > stillPart && !f.forgetful
		if n.up && !dropped {
			sum += n.slots.Fraction()
		}
	}
	return sum
}
