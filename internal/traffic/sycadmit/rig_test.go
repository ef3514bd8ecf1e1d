package sycadmit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycmesh"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/port/syclist"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/traffic/sycadmit"
)

// topic is a replicated topic whose records all VMs apply at once.
type topic struct {
	// state is the state after all records.
	state atomic.Pointer[sycconfig.State]
	mu    sync.Mutex
	// records is the number of records, from which their IDs are made.
	records int
}

// newTopic returns an empty topic.
func newTopic() *topic {
	p := &topic{}
	p.state.Store(sycconfig.NewState())
	return p
}

// append appends a record and checks that it is accepted.
func (p *topic) append(t *testing.T, kind sycrecord.Kind, name string, spec any) {
	t.Helper()
	data, err := json.Marshal(spec)
	must.NoError(t, err)
	result := p.propose(sycrecord.Operation{Verb: sycrecord.Put, Kind: kind, Name: name, Spec: data})
	must.True(t, result.Accepted(), must.Sprint(result.Reason()))
}

// propose appends an operation and returns its result.
func (p *topic) propose(op sycrecord.Operation) sycconfig.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records++
	op.Schema = sycrecord.NewestSchema
	op.ID = fmt.Sprint("op-", p.records)
	data, _ := json.Marshal(op)
	state := p.state.Load()
	next, result := state.Apply(state.Next(), data)
	p.state.Store(next)
	return result
}

// rig is a fleet of VMs with a limiter each. They connect to each other through proxies
// that can inject faults.
type rig struct {
	t *testing.T
	// platform is the stand-in platform that lists the VMs, list the client that reads it.
	platform *sycplatform.Platform
	list     *syclist.Client
	// config and system are the config and system topics.
	config *topic
	system *topic
	vms    []*vm
	// proxies maps the address of each VM to the proxy before it.
	proxies map[string]*sycfault.Proxy
}

// vm is a VM of a rig, whose process can be stopped and restarted.
type vm struct {
	rig *rig
	// domain is the VM's failure domain, address its peer address.
	domain  string
	address string
	// process counts the processes started so far and is the incarnation of the newest.
	process int
	loop    *sycloop.Loop
	server  *sycpeer.Server
	client  *sycpeer.Client
	mesh    *sycmesh.Mesh
	// limiter is replaced when the process restarts.
	limiter atomic.Pointer[sycadmit.Limiter]
}

// newRig starts VMs in failure domains of at most three, with equal rate slots, and waits
// until every VM accrues permits.
func newRig(t *testing.T, vms int, customers map[string]sycrecord.CustomerFields) *rig {
	t.Helper()
	platform, err := sycplatform.New(sycplatform.Options{})
	must.NoError(t, err)
	r := &rig{
		t: t, platform: platform, config: newTopic(), system: newTopic(),
		list:    syclist.New(syclist.Options{Address: platform.URL()}),
		proxies: map[string]*sycfault.Proxy{},
	}
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	t.Cleanup(func() { must.NoError(t, r.list.Close()) })
	for i := range vms {
		v := &vm{rig: r, domain: fmt.Sprint("domain-", i/3)}
		// No outgoing connection uses this loopback address, so a restarted VM gets its
		// port again.
		listener := v.listen(fmt.Sprintf("127.254.%d.1:0", os.Getpid()%256))
		r.vms = append(r.vms, v)
		r.addProxy(v.address)
		t.Cleanup(v.stop)
		v.start(listener)
	}
	r.publish(customers)
	r.awaitSlots()
	return r
}

func (r *rig) addProxy(address string) {
	proxy, err := sycfault.New(address, sycfault.Options{})
	must.NoError(r.t, err)
	r.proxies[address] = proxy
	r.t.Cleanup(func() { must.NoError(r.t, proxy.Close()) })
}

// publish appends the customers and slot tables to the config topic.
func (r *rig) publish(customers map[string]sycrecord.CustomerFields) {
	for name, fields := range customers {
		r.config.append(r.t, sycrecord.KindCustomer, name, fields)
	}
	domains := map[string][]*vm{}
	for _, v := range r.vms {
		domains[v.domain] = append(domains[v.domain], v)
	}
	for domain, vms := range domains {
		fields := sycrecord.SlotsFields{Share: float64(len(vms)) / float64(len(r.vms))}
		for _, v := range vms {
			fields.Slots = append(fields.Slots, sycrecord.SlotFields{
				Name: "slot-" + v.address, Address: v.address, Fraction: 1 / float64(len(vms)),
			})
		}
		r.config.append(r.t, sycrecord.KindSlots, domain, fields)
	}
	r.refresh()
}

// refresh lets all limiters apply the newest states.
func (r *rig) refresh() {
	for _, v := range r.vms {
		v.loop.Do(v.limiter.Load().Refresh)
	}
}

// awaitSlots waits until every VM accrues permits.
func (r *rig) awaitSlots() {
	for _, v := range r.vms {
		for v.limiter.Load().Status().Fraction == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// listen opens a listener and makes its address that of the VM.
func (v *vm) listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	must.NoError(v.rig.t, err)
	v.address = listener.Addr().String()
	return listener
}

// start starts a new process of the VM with the listener of its peer address.
func (v *vm) start(listener net.Listener) {
	r := v.rig
	v.process++
	self := sycmember.VM{Address: v.address, FailureDomain: v.domain, Incarnation: fmt.Sprint(v.process)}
	v.loop = sycloop.New()
	roster := sycmember.New(self, sycmember.Settings{ListLag: time.Second, IntroductionInterval: 200 * time.Millisecond})
	v.client = sycpeer.NewClient(sycpeer.ClientOptions{Dial: r.dial})
	limiter := sycadmit.New(sycadmit.Options{
		Loop:   v.loop,
		Config: r.config.state.Load, System: r.system.state.Load,
		Roster: roster, Lender: v.client, Self: self,
		Propose: func(_ context.Context, op sycrecord.Operation) (sycconfig.Result, error) {
			return r.system.propose(op), nil
		},
	})
	v.limiter.Store(limiter)
	v.mesh = sycmesh.New(sycmesh.Options{
		Loop: v.loop, Client: v.client, List: r.list, Self: self,
		Roster:  roster,
		Applied: limiter.Applied, Changed: limiter.Refresh, Digests: noDigests{},
	})
	server, err := sycpeer.NewServer(sycpeer.ServerOptions{
		Listener: listener,
		Handlers: sycpeer.Handlers{Hello: v.mesh, Share: v.mesh, Borrow: limiter},
	})
	must.NoError(r.t, err)
	v.server = server
}

// stop ends the VM's process. It does nothing if the process is already stopped.
func (v *vm) stop() {
	if v.server == nil {
		return
	}
	must.NoError(v.rig.t, v.server.Close())
	must.NoError(v.rig.t, v.mesh.Close())
	must.NoError(v.rig.t, v.limiter.Load().Close())
	must.NoError(v.rig.t, v.client.Close())
	must.NoError(v.rig.t, v.loop.Close())
	v.server = nil
}

// restart replaces the VM's process by a new one at the same address.
func (v *vm) restart() {
	v.stop()
	v.start(v.listen(v.address))
}

// dial connects to VMs of this rig only, through their proxies. The roster may also hold a
// VM of another test that used the port of a VM of this rig before.
func (r *rig) dial(ctx context.Context, address string) (net.Conn, error) {
	proxy, ok := r.proxies[address]
	if !ok {
		return nil, &net.AddrError{Err: "not a VM of this rig", Addr: address}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", proxy.Address())
}

// noDigests adds nothing to the digests that VMs exchange.
type noDigests struct{}

func (noDigests) Fill(bool, *sycpeerpb.ShareRequest) {}
func (noDigests) Apply(*sycpeerpb.ShareRequest)      {}
func (noDigests) Urgent() <-chan struct{}            { return nil }
