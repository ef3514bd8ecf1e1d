package sycvm

import (
	"context"
	"crypto/tls"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/peer/sycmesh"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclist"
	"sycamorecart.example/sycamorecart/internal/traffic/sycadmit"
)

// peerTLS returns the configuration of mutual TLS between VMs. It is nil if the settings
// name no certificate, which they may leave out only if the listener for peers is on
// loopback.
func (v *VM) peerTLS() (*tls.Config, error) {
	if v.settings.Certificate() == "" {
		return nil, nil
	}
	return sycpeer.TLSConfig(v.settings.Certificate(), v.settings.Key(), v.settings.Authority())
}

// self returns this VM as it introduces itself to the others.
func (v *VM) self() sycmember.VM {
	return sycmember.VM{
		Address:       v.address,
		FailureDomain: v.settings.FailureDomain(),
		Incarnation:   v.incarnation,
	}
}

// noWait is the shortest maximum wait of the rate limiter: a request without a permit is
// rejected at once. It isn't 0, for which the limiter would use its default.
const noWait = time.Nanosecond

// startList makes the client of the platform's list. When the VM closes after a drain, its
// entry is removed from the list. The rate limiter, which starts later, has been closed by
// then, so that other VMs may take over this VM's rate slots at once.
func (v *VM) startList() {
	v.list = syclist.New(syclist.Options{
		Address:   v.settings.ListURL(),
		Transport: sycdial.Transport(v.dial, listConns),
	})
	v.closers.add(v.list.Close)
	v.closers.add(func() error {
		if !v.drained.Load() {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), unlistTimeout)
		defer cancel()
		if err := v.list.Delete(ctx, v.address); err != nil {
			log.Warnf("removing this VM from the platform's list failed: %v", err)
		}
		return nil
	})
}

// startLimiter makes the rate limiter, which admits requests by the rate slots that this VM
// holds and by loans from other VMs.
func (v *VM) startLimiter() {
	v.roster = sycmember.New(v.self(), sycmember.Settings{ListLag: v.settings.ListLag()})
	v.limiter = sycadmit.New(sycadmit.Options{
		Loop:   v.loop,
		Config: v.store.Config,
		System: v.store.System,
		Roster: v.roster,
		Lender: v.peerClient,
		Propose: func(ctx context.Context, op sycrecord.Operation) (sycconfig.Result, error) {
			return v.store.Propose(ctx, sycstate.SystemStream, op)
		},
		Self:     v.self(),
		Settings: sycadmit.Settings{Limit: syclimit.Settings{MaxWait: max(v.settings.MaxWait(), noWait)}},
	})
	v.closers.add(v.limiter.Close)
	v.store.OnChange(v.limiter.Refresh)
}

// startMesh starts to exchange introductions and digests with the other VMs and to serve
// their RPCs. By introductions VMs learn of each other; type digests describes digests.
// tlsConfig is the result of peerTLS.
func (v *VM) startMesh(tlsConfig *tls.Config) error {
	mesh := sycmesh.New(sycmesh.Options{
		Loop:    v.loop,
		Client:  v.peerClient,
		List:    v.list,
		Self:    v.self(),
		Roster:  v.roster,
		Applied: v.limiter.Applied,
		Changed: v.limiter.Refresh,
		Digests: &digests{vm: v},
	})
	v.mesh.Store(mesh)
	v.closers.add(mesh.Close)
	server, err := sycpeer.NewServer(sycpeer.ServerOptions{
		Listener: v.peersListener,
		TLS:      tlsConfig,
		Handlers: sycpeer.Handlers{
			Hello:    mesh,
			Records:  v.store,
			Snapshot: v.store,
			Borrow:   v.limiter,
			Share:    mesh,
			Outcome:  v.claims,
		},
	})
	if err != nil {
		return err
	}
	v.closers.add(server.Close)
	return nil
}

// peers returns the other VMs that have replied recently; none before the mesh has started.
func (v *VM) peers() []*sycpeerpb.Vm {
	mesh := v.mesh.Load()
	if mesh == nil {
		return nil
	}
	return mesh.Peers()
}

// domainPeers returns the addresses of the other VMs of this VM's failure domain that have
// replied recently. It must be called on the control loop.
func (v *VM) domainPeers(now time.Duration) []string {
	var list []string
	for _, member := range v.roster.Live(now) {
		if vm := member.VM(); vm.FailureDomain == v.settings.FailureDomain() {
			list = append(list, vm.Address)
		}
	}
	return list
}

// readsLog reports whether this VM is one of the VMs that read the log for their failure
// domain. It returns true until the mesh has started, because other VMs are unknown.
func (v *VM) readsLog() bool {
	if v.mesh.Load() == nil {
		return true
	}
	reads := true
	v.loop.Do(func(now time.Duration) { reads = v.roster.ReadsLog(now) })
	return reads
}

// digests fills and applies digests, the messages in which VMs regularly report to each
// other: the load of endpoints, the service (the work done for each customer), the evidence
// on versions (the counts that they are judged by), the load reports of engines, and the
// engines that a VM failed to reach. It implements sycmesh.Digests.
type digests struct {
	// vm is the VM that sends and receives the digests.
	vm *VM
}

// Fill adds this VM's reports to a digest. Evidence on versions is sent to all VMs. Loads,
// service, load reports and unreached engines are sent only within the failure domain.
func (d *digests) Fill(sameDomain bool, out *sycpeerpb.ShareRequest) {
	out.Evidence = d.vm.versions.LocalEvidence(out.GetSequence())
	if !sameDomain {
		return
	}
	d.vm.loop.Do(func(now time.Duration) {
		out.Loads, out.Service = d.vm.chooser.Digest(now)
		out.Reports, out.Unreached = d.vm.feed.TakeReports(now)
	})
}

// Apply applies another VM's digest. Only the evidence on versions counts if that VM is in
// another failure domain.
func (d *digests) Apply(in *sycpeerpb.ShareRequest) {
	from := in.GetFrom()
	d.vm.versions.MergeEvidence(from, in.GetEvidence())
	if from.GetFailureDomain() != d.vm.settings.FailureDomain() {
		return
	}
	source := from.GetAddress() + "/" + from.GetIncarnation()
	d.vm.loop.Do(func(now time.Duration) {
		d.vm.chooser.ApplyDigest(now, source, in.GetLoads(), in.GetService())
		d.vm.feed.ApplyReports(now, in.GetReports(), in.GetUnreached())
	})
}

// Urgent returns a channel that receives a value when a digest should be sent before its
// regular time.
func (d *digests) Urgent() <-chan struct{} { return d.vm.chooser.Urgent() }
