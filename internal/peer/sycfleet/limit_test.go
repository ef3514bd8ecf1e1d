package sycfleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

// sendAll lets each VM send the endpoint as many requests as it may for a time. Each answer names a limit. It returns
// the most requests in 4 seconds and all of them.
func (n *network) sendAll(length time.Duration, limit float64) (most, all int) {
	const step = 50 * time.Millisecond
	var sent []time.Duration
	for end := n.now + length; n.now < end; {
		n.run(step)
		for i := range n.vms {
			f := n.vms[(i+int(n.now/step)*7)%len(n.vms)]
			f.updateLimits(n.now)
			id := f.NewID()
			if _, refusal := f.selector.Select(n.now, &sycplace.Request{ID: id, Service: "s", Model: "m", Tokens: 50, Remaining: time.Minute}); refusal != nil {
				continue
			}
			sent = append(sent, n.now)
			f.selector.Finish(n.now, id, sycplace.Served)
			f.selector.ApplyNotice(n.now, "e", 0, sycplace.Notice{Limit: limit, Unlimited: limit == 0, Waited: 1})
		}
	}
	first := 0
	for i, at := range sent {
		for sent[first] < at-4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(sent)
}

// knowLimit returns how many VMs know of a limit of the endpoint.
func (n *network) knowLimit() int {
	known := 0
	for _, f := range n.vms {
		known += f.selector.CountLimited()
	}
	return known
}

// TestEndpointsLimitHoldsOverTheFleet guards against a limit that doesn't reach all VMs in time, that VMs which start don't
// know, or that all VMs together exceed or hardly use.
func TestEndpointsLimitHoldsOverTheFleet(t *testing.T) {
	const limit = 2.4
	for _, count := range []int{7, 60, 200} {
		n := newNetwork(t, count)
		n.vms[count-1].selector.ApplyNotice(n.now, "e", 0, sycplace.Notice{Limit: limit})
		n.run(maxHops*directPeriod + 10*time.Millisecond)
		must.Eq(t, count, n.knowLimit())
		length := 10 * time.Second
		if count > 60 {
			// sycthrottle's test plays fleets of this size for longer.
			length = 4 * time.Second
		}
		most, all := n.sendAll(length, limit)
		must.LessEq(t, 6*limit+5, float64(most), must.Sprintf("%d VMs", count))
		must.GreaterEq(t, 0.8*limit*(length.Seconds()-1), float64(all), must.Sprintf("%d VMs", count))
		f := n.restart(1)
		f.selector.Put(sycplace.Endpoint{ID: "e", Service: "s", Slots: 64, Weights: map[string]int64{"m": 1}})
		n.run(time.Second)
		must.Eq(t, 1, f.selector.CountLimited(), must.Sprintf("%d VMs", count))
		n.vms[2].selector.ApplyNotice(n.now, "e", 0, sycplace.Notice{Unlimited: true, Waited: time.Millisecond})
		n.run(maxHops*directPeriod + 10*time.Millisecond)
		must.Eq(t, 0, n.knowLimit(), must.Sprintf("%d VMs", count))
		n.checkLiftedForLong(t)
	}
}

// checkLiftedForLong guards against a VM that starts long after a limit was lifted and learns only that it was named.
func (n *network) checkLiftedForLong(t *testing.T) {
	t.Helper()
	n.run(2 * time.Second)
	f := n.restart(3)
	f.selector.Put(sycplace.Endpoint{ID: "e", Service: "s", Slots: 64, Weights: map[string]int64{"m": 1}})
	n.run(time.Second)
	must.Eq(t, 0, f.selector.CountLimited())
	for _, vm := range n.vms {
		for _, e := range vm.changes.Since(0) {
			if m, ok := e.Value.(*sycgossippb.EndpointLimit); ok {
				must.Eq(t, 0, m.Rate)
			}
		}
	}
}
