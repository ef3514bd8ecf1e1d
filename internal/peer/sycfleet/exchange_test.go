package sycfleet

import (
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

// TestMain silences the log of the many VMs.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// network is a fleet whose VMs exchange state in simulated time, without goroutines.
type network struct {
	t     *testing.T
	now   time.Duration
	vms   []*Fleet
	index map[string]int
	// cut reports whether a VM can't call another.
	cut func(from, to int) bool
	// bandwidth is how many bytes a second a VM's link carries, nil for any number, and busy is until
	// when it is in use.
	bandwidth func(vm int) float64
	busy      []time.Duration
	// exchanges and bytes count what each VM has taken part in since the last reset.
	exchanges, bytes []int
}

// domainCount is the number of failure domains of a network.
const domainCount = 3

// newNetwork returns a network of VMs that all know each other, two of each failure domain with
// more capacity than the others.
func newNetwork(t *testing.T, count int) *network {
	t.Helper()
	n := &network{t: t, now: time.Minute, index: map[string]int{}, cut: func(int, int) bool { return false }}
	loop := sycloop.NewBootTime()
	t.Cleanup(func() { _ = loop.Close() })
	for i := range count {
		capacity := 0.1
		if i < 2*domainCount {
			capacity = 0.8
		}
		address := fmt.Sprint("vm", i)
		n.index[address] = i
		n.vms = append(n.vms, newFleet(Options{
			Name: address, Address: address, Incarnation: address + "/1", FailureDomain: fmt.Sprint("d", i%domainCount), Capacity: capacity,
			FirstStart: true, LeaseDuration: 3 * time.Second, ConfigWithin: 3 * time.Second, DrainWithin: 3 * time.Second,
			Selection: sycplace.Settings{TokensPerSecond: 50000},
		}, loop))
	}
	for _, f := range n.vms {
		f.quota.Configure(n.now, []sycquota.Limit{{Customer: "c", Rate: 1000, Burst: 1000}})
		for _, other := range n.vms {
			f.learnMember(n.now, other.ownMember(), false)
		}
		f.selector.Put(sycplace.Endpoint{ID: "e", Service: "s", Slots: 64, Weights: map[string]int64{"m": 1}})
	}
	n.run(time.Second)
	return n
}

// restart replaces a VM by a new process at its address that knows only the other VMs.
func (n *network) restart(i int) *Fleet {
	o := n.vms[i].options
	o.Incarnation, o.FirstStart = o.Name+"/2", false
	f := newFleet(o, n.vms[i].loop)
	n.vms[i] = f
	for j, other := range n.vms {
		if j != i {
			f.learnMember(n.now, other.ownMember(), false)
		}
	}
	return f
}

// run lets time pass. VMs begin their exchanges at different times of a period.
func (n *network) run(length time.Duration) {
	const step = 10 * time.Millisecond
	n.exchanges, n.bytes = make([]int, len(n.vms)), make([]int, len(n.vms))
	for end := n.now + length; n.now < end; n.now += step {
		for i, f := range n.vms {
			if (n.now+time.Duration(i*37%10)*step)%relayPeriod != 0 {
				continue
			}
			f.expireChanges(n.now)
			f.updateTopology(n.now)
			for _, address := range slices.Clone(f.callees(n.now, false)) {
				n.exchange(i, n.index[address])
			}
		}
	}
}

// exchange lets a VM call another.
func (n *network) exchange(from, to int) {
	if from == to || n.cut(from, to) {
		return
	}
	if n.send(from, to) && !n.cut(to, from) && n.send(to, from) {
		n.vms[from].observeAnswer(n.now, n.vms[to].options.Address)
	}
}

// carry reports whether the links of two VMs carry a message before it is given up. They are busy until then.
func (n *network) carry(from, to, size int) bool {
	const patience = 600 * time.Millisecond
	if n.bandwidth == nil {
		return true
	}
	end := max(n.now, n.busy[from], n.busy[to]) + time.Duration(float64(size)/min(n.bandwidth(from), n.bandwidth(to))*float64(time.Second))
	for _, i := range []int{from, to} {
		n.busy[i] = max(n.busy[i], n.now) + time.Duration(float64(size)/n.bandwidth(i)*float64(time.Second))
		n.busy[i] = min(n.busy[i], n.now+patience)
	}
	return end <= n.now+patience
}

// send sends a VM's state to another, encoded as between processes, and reports whether it arrives.
func (n *network) send(from, to int) bool {
	data, err := proto.Marshal(n.vms[from].buildState(n.now, n.vms[to].options.Address))
	must.NoError(n.t, err)
	if !n.carry(from, to, len(data)) {
		return false
	}
	in := &sycgossippb.State{}
	must.NoError(n.t, proto.Unmarshal(data, in))
	n.vms[to].receiveState(n.now, in)
	for _, i := range []int{from, to} {
		n.exchanges[i]++
		n.bytes[i] += len(data)
	}
	return true
}

// admit lets a VM admit a cost of the customer.
func (n *network) admit(vm int, cost float64) { n.vms[vm].quota.Admit(n.now, "c", cost) }

// level returns what a VM believes to be left of the customer's limit.
func (n *network) level(vm int) float64 { return n.vms[vm].quota.Levels(n.now)[0].Left }

// TestExchangesDoNotGrowWithTheFleet guards against VMs that exchange state with all others, so
// that a fleet of 90 has no processor time left for requests.
func TestExchangesDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{20, 90} {
		n := newNetwork(t, count)
		n.run(time.Second)
		for i, f := range n.vms {
			// A message each way for each call.
			limit := 2 * 10
			if f.isRelay() {
				limit = 2 * 10 * 40
			}
			must.LessEq(t, limit, n.exchanges[i], must.Sprintf("VM %d of %d", i, count))
			must.Eq(t, count-1, f.countHeard(n.now), must.Sprintf("VM %d of %d", i, count))
		}
	}
}

// TestNewsReachAllVMs lets VMs of all failure domains admit costs and send prompts, and applies a
// record at one VM. All must know within the time of three exchanges, each cost once.
func TestNewsReachAllVMs(t *testing.T) {
	for _, count := range []int{7, 90, 200} {
		n := newNetwork(t, count)
		for vm := range n.vms {
			n.admit(vm, 2)
		}
		n.vms[count-1].selector.Select(n.now, &sycplace.Request{
			ID: 1, Service: "s", Model: "m", Tokens: 50, Blocks: []sycplace.Block{{Hash: 7, Tokens: 40}, {Hash: 8, Tokens: 10}}, Remaining: time.Minute,
		})
		reader := n.vms[count-1]
		reader.subscriptions[TopicStatus].confirm(n.now, n.now)
		reader.subscriptions[TopicStatus].Apply(n.now, []sycfeed.Record{{Key: "k"}}, sycfeed.Position{Offset: 1})
		start := n.now
		n.run(maxHops*directPeriod + 10*time.Millisecond)
		for vm, f := range n.vms {
			must.LessEq(t, 1000-2*float64(count)+1000*(n.now-start).Seconds(), n.level(vm), must.Sprintf("VM %d of %d", vm, count))
			must.GreaterEq(t, 1000-2*float64(count), n.level(vm), must.Sprintf("VM %d of %d", vm, count))
			must.Eq(t, 1, f.selector.Load("e").Requests, must.Sprintf("VM %d of %d", vm, count))
			must.Eq(t, sycfeed.Position{Offset: 1}, f.subscriptions[TopicStatus].Next(), must.Sprintf("VM %d of %d", vm, count))
		}
	}
}

// TestRelayThatFallsSilentIsReplaced cuts all relays off. The others must hear each other again
// within a second, and the relays once they are back, each load counting once.
func TestRelayThatFallsSilentIsReplaced(t *testing.T) {
	tests := []struct {
		name string
		cut  func(relay []bool, from, to int) bool
	}{
		{"relays are silent", func(relay []bool, from, to int) bool { return relay[from] || relay[to] }},
		{"relays send nothing", func(relay []bool, from, _ int) bool { return relay[from] }},
		{"relays receive nothing", func(relay []bool, _, to int) bool { return relay[to] }},
		{"a failure domain is cut off", func(_ []bool, from, to int) bool { return from%domainCount == 0 != (to%domainCount == 0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(t, 60)
			relay := make([]bool, len(n.vms))
			for i, f := range n.vms {
				relay[i] = f.isRelay()
			}
			n.cut = func(from, to int) bool { return tt.cut(relay, from, to) }
			n.run(4 * time.Second)
			for i, f := range n.vms {
				heard := 0
				for j := range n.vms {
					if i != j && !n.cut(i, j) && !n.cut(j, i) {
						heard++
					}
				}
				must.LessEq(t, f.countHeard(n.now), heard, must.Sprintf("VM %d", i))
			}
			n.cut = func(int, int) bool { return false }
			n.vms[59].selector.Select(n.now, &sycplace.Request{ID: 1, Service: "s", Model: "m", Tokens: 50, Remaining: time.Minute})
			n.run(4 * time.Second)
			for i, f := range n.vms {
				must.Eq(t, len(n.vms)-1, f.countHeard(n.now), must.Sprintf("VM %d", i))
				must.Eq(t, 1, f.selector.Load("e").Requests, must.Sprintf("VM %d", i))
			}
		})
	}
}

// TestRestartedVMIsToldEverything restarts a VM, which must get what the others know, while they
// drop what came from its former process.
func TestRestartedVMIsToldEverything(t *testing.T) {
	for _, restarted := range []int{0, 59} {
		n := newNetwork(t, 60)
		n.admit(restarted, 100)
		n.vms[restarted].selector.Select(n.now, &sycplace.Request{ID: 1, Service: "s", Model: "m", Tokens: 50, Remaining: time.Minute})
		n.run(time.Second)
		o := n.vms[restarted].options
		o.Incarnation, o.FirstStart, o.Seeds = o.Incarnation+"again", false, []string{"vm1"}
		n.vms[restarted] = newFleet(o, n.vms[restarted].loop)
		f := n.vms[restarted]
		f.quota.Configure(n.now, []sycquota.Limit{{Customer: "c", Rate: 1000, Burst: 1000}})
		f.selector.Put(sycplace.Endpoint{ID: "e", Service: "s", Slots: 64, Weights: map[string]int64{"m": 1}})
		n.run(3 * time.Second)
		must.Eq(t, len(n.vms)-1, f.countHeard(n.now))
		must.Greater(t, 900.0, n.level(restarted))
		for i, f := range n.vms {
			must.Eq(t, 0, f.selector.Load("e").Requests, must.Sprintf("VM %d", i))
		}
	}
}
