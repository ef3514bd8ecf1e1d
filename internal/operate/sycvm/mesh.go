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

// peerTLS returns the settings of mutual TLS; nil where the settings name no
// certificate, which only loopback addresses allow.
func (v *VM) peerTLS() (*tls.Config, error) {
	if v.settings.Certificate() == "" {
		return nil, nil
	}
	return sycpeer.TLSConfig(v.settings.Certificate(), v.settings.Key(), v.settings.Authority())
}

// self names this VM to the others.
func (v *VM) self() sycmember.VM {
	return sycmember.VM{
		Address:       v.address,
		FailureDomain: v.settings.FailureDomain(),
		Incarnation:   v.incarnation,
	}
}

// noHold refuses a request without a token at once.
const noHold = time.Nanosecond

// startList prepares to be listed. After a drain the entry is removed when this
// VM no longer accrues tokens, so that others may take its slots at once.
func (v *VM) startList() {
	v.list = syclist.New(syclist.Options{
		Address:   v.settings.ListURL(),
		Transport: sycdial.Transport(v.dial, 1),
	})
	v.closers.add(v.list.Close)
	v.closers.add(func() error {
		if !v.drained.Load() {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), unlistTimeout)
		defer cancel()
		if err := v.list.Delete(ctx, v.address); err != nil {
			log.Warnf("the platform's list still shows this VM: %v", err)
		}
		return nil
	})
}

// startLimits admits requests by the slots that this VM holds.
func (v *VM) startLimits() {
	v.roster = sycmember.New(v.self(), sycmember.Settings{ListLag: v.settings.ListLag()})
	v.limiter = sycadmit.New(sycadmit.Options{
		Loop:   v.loop,
		Config: v.store.Config,
		System: v.store.System,
		Roster: v.roster,
		Lender: v.calls,
		Propose: func(ctx context.Context, op sycrecord.Operation) (sycconfig.Result, error) {
			return v.store.Propose(ctx, sycstate.SystemStream, op)
		},
		Self:     v.self(),
		Settings: sycadmit.Settings{Limit: syclimit.Settings{MaxWait: max(v.settings.Hold(), noHold)}},
	})
	v.closers.add(v.limiter.Close)
	v.store.OnChange(v.limiter.Refresh)
}

// startMesh gets in touch with the other VMs and serves their calls.
func (v *VM) startMesh(security *tls.Config) error {
	mesh := sycmesh.New(sycmesh.Options{
		Loop:    v.loop,
		Client:  v.calls,
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
		TLS:      security,
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

// peers returns the other VMs that answer; none before the mesh has started.
func (v *VM) peers() []*sycpeerpb.Vm {
	mesh := v.mesh.Load()
	if mesh == nil {
		return nil
	}
	return mesh.Peers()
}

// neighbours returns the addresses of the VMs of the own failure domain that are
// in touch. It must be called on the control loop.
func (v *VM) neighbours(now time.Duration) []string {
	var list []string
	for _, member := range v.roster.Live(now) {
		if vm := member.VM(); vm.FailureDomain == v.settings.FailureDomain() {
			list = append(list, vm.Address)
		}
	}
	return list
}

// readsLog reports whether this VM reads the log for its failure domain; so it
// does before the mesh has started.
func (v *VM) readsLog() bool {
	if v.mesh.Load() == nil {
		return true
	}
	reads := true
	v.loop.Do(func(now time.Duration) { reads = v.roster.ReadsLog(now) })
	return reads
}

// digests joins what the parts of a VM tell the other VMs.
type digests struct {
	vm *VM
}

// Fill implements sycmesh.Digests. Load and service concern the VMs of the
// own failure domain, evidence on versions all.
func (d *digests) Fill(same bool, out *sycpeerpb.ShareRequest) {
	out.Evidence = d.vm.versions.ShareOut(out.GetSequence())
	if !same {
		return
	}
	d.vm.loop.Do(func(now time.Duration) {
		out.Loads, out.Service = d.vm.chooser.ShareOut(now)
		out.Reports, out.Unreached = d.vm.feed.ShareOut(now)
	})
}

// Apply implements sycmesh.Digests.
func (d *digests) Apply(in *sycpeerpb.ShareRequest) {
	from := in.GetFrom()
	d.vm.versions.ShareIn(from, in.GetEvidence())
	if from.GetFailureDomain() != d.vm.settings.FailureDomain() {
		return
	}
	source := from.GetAddress() + "/" + from.GetIncarnation()
	d.vm.loop.Do(func(now time.Duration) {
		d.vm.chooser.ShareIn(now, source, in.GetLoads(), in.GetService())
		d.vm.feed.ShareIn(now, in.GetReports(), in.GetUnreached())
	})
}

// Urgent implements sycmesh.Digests.
func (d *digests) Urgent() <-chan struct{} { return d.vm.chooser.Urgent() }
