package sycmesh

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Peers returns the other VMs that have replied recently. It must not be called on the
// control loop.
func (m *Mesh) Peers() []*sycpeerpb.Vm {
	var list []*sycpeerpb.Vm
	m.options.Loop.Do(func(now time.Duration) {
		for _, member := range m.roster.Live(now) {
			list = append(list, encode(member.VM()))
		}
	})
	return list
}

// sendDigests sends a digest to every VM that has replied recently to this VM's
// introductions.
func (m *Mesh) sendDigests(ctx context.Context) {
	targets := m.Peers()
	if len(targets) == 0 {
		return
	}
	m.sequence++
	// The key of digests is true for the digest that goes to the VMs of this VM's failure
	// domain, and false for the one that goes to all other VMs.
	digests := map[bool]*sycpeerpb.ShareRequest{}
	addresses := make([]string, 0, len(targets))
	sameDomain := map[string]bool{}
	for _, vm := range targets {
		near := vm.GetFailureDomain() == m.options.Self.FailureDomain
		if _, ok := digests[near]; !ok {
			digests[near] = m.newDigest(near)
		}
		if digests[near] == nil {
			continue
		}
		addresses = append(addresses, vm.GetAddress())
		sameDomain[vm.GetAddress()] = near
	}
	m.callEach(addresses, func(address string) {
		request := digests[sameDomain[address]]
		if _, err := m.options.Client.Share(ctx, address, request); err != nil {
			log.Debugf("sending a digest to VM %s failed: %v", address, err)
		}
	})
}

// worthSending reports whether a digest should be sent: if it holds anything to report,
// and also once after the last digest that held load, service or evidence, so that the
// receivers learn that these have ended. Sent tells whether the previous digest held load,
// service or evidence, and is set for this one.
func (*Mesh) worthSending(d *sycpeerpb.ShareRequest, sent *bool) bool {
	before := *sent
	*sent = len(d.GetLoads())+len(d.GetService())+len(d.GetEvidence()) > 0
	reports := len(d.GetReports()) + len(d.GetUnreached())
	return *sent || before || reports > 0
}

// newDigest returns the digest for the VMs of this VM's failure domain if near is set, or
// for the VMs of other domains. It returns nil if no digest should be sent.
func (m *Mesh) newDigest(near bool) *sycpeerpb.ShareRequest {
	request := &sycpeerpb.ShareRequest{From: encode(m.options.Self), Sequence: m.sequence}
	m.options.Digests.Fill(near, request)
	sent := &m.sentFar
	if near {
		sent = &m.sentNear
	}
	if !m.worthSending(request, sent) {
		return nil
	}
	return request
}

// Share serves the RPC by which another VM sends a digest.
func (m *Mesh) Share(_ context.Context, in *sycpeerpb.ShareRequest) (*sycpeerpb.ShareReply, error) {
	m.options.Digests.Apply(in)
	return &sycpeerpb.ShareReply{}, nil
}
