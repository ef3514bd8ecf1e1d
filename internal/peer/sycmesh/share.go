package sycmesh

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Peers returns the VMs that answer, without this one. It must not be called
// on the control loop.
func (m *Mesh) Peers() []*sycpeerpb.Vm {
	var list []*sycpeerpb.Vm
	m.options.Loop.Do(func(now time.Duration) {
		for _, member := range m.roster.Live(now) {
			list = append(list, encode(member.VM()))
		}
	})
	return list
}

// share sends a digest to every VM that this one introduces itself to and that
// answers.
func (m *Mesh) share(ctx context.Context) {
	targets := m.Peers()
	if len(targets) == 0 {
		return
	}
	m.sequence++
	digests := map[bool]*sycpeerpb.ShareRequest{}
	addresses := make([]string, 0, len(targets))
	same := map[string]bool{}
	for _, vm := range targets {
		near := vm.GetFailureDomain() == m.options.Self.FailureDomain
		if _, ok := digests[near]; !ok {
			digests[near] = m.digest(near)
		}
		if digests[near] == nil {
			continue
		}
		addresses = append(addresses, vm.GetAddress())
		same[vm.GetAddress()] = near
	}
	m.fan(addresses, func(address string) {
		request := digests[same[address]]
		if _, err := m.options.Client.Share(ctx, address, request); err != nil {
			log.Debugf("VM %s took no digest: %v", address, err)
		}
	})
}

// news reports whether a digest should go out: when it says something, and once
// more when it has nothing more to say of load, service and evidence.
func (*Mesh) news(d *sycpeerpb.ShareRequest, told *bool) bool {
	before := *told
	*told = len(d.GetLoads())+len(d.GetService())+len(d.GetEvidence()) > 0
	reports := len(d.GetReports()) + len(d.GetUnreached())
	return *told || before || reports > 0
}

// digest returns what to tell the VMs of this failure domain or the others; nil
// when there is nothing to tell.
func (m *Mesh) digest(near bool) *sycpeerpb.ShareRequest {
	request := &sycpeerpb.ShareRequest{From: encode(m.options.Self), Sequence: m.sequence}
	m.options.Digests.Fill(near, request)
	told := &m.toldFar
	if near {
		told = &m.toldNear
	}
	if !m.news(request, told) {
		return nil
	}
	return request
}

// Share takes a digest in.
func (m *Mesh) Share(_ context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	m.options.Digests.Apply(in)
	return &sycpeerpb.ShareReply{}, nil
}
