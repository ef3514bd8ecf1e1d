package sycplace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// TestAddressOfALaterEndpoint guards against requests to an endpoint that has ended, because an entry of it was written
// late, though a later one is known at its address and answers that it is another.
func TestAddressOfALaterEndpoint(t *testing.T) {
	s := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000})
	s.Put(sycplace.Endpoint{ID: "later", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 2})
	s.Put(sycplace.Endpoint{ID: "ended", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 1})
	for id := range uint64(20) {
		target, refusal := s.Select(time.Minute, &sycplace.Request{ID: id, Service: "app", Remaining: time.Minute})
		must.Nil(t, refusal)
		must.Eq(t, "later", target.Endpoint.ID)
		s.Finish(time.Minute, id, sycplace.Served)
	}
	s.Drop("later")
	_, refusal := s.Select(time.Minute, &sycplace.Request{ID: 30, Service: "app", Remaining: time.Minute})
	must.Nil(t, refusal)
}

// TestFaultsOfEndpointsAreTold guards against VMs that each have to find out that an endpoint has ended, and against one
// whose own link is at fault and that takes endpoints from the others.
func TestFaultsOfEndpointsAreTold(t *testing.T) {
	now := time.Minute
	for _, outcome := range []sycplace.Outcome{sycplace.Refused, sycplace.Moved} {
		finder, other := newSelector(3), newSelector(3)
		first := selectTarget(t, finder, now, request(1, 7))
		finder.Finish(now, 1, outcome)
		faults := finder.TakeFaults()
		must.Len(t, 1, faults)
		must.Eq(t, outcome == sycplace.Moved, faults[0].Moved)
		must.SliceEmpty(t, finder.TakeFaults())
		must.True(t, other.ReceiveFault(now, faults[0]))
		must.False(t, other.ReceiveFault(now, sycplace.Fault{Endpoint: first.Endpoint.ID, Incarnation: 9}))
		for _, e := range other.Endpoints() {
			if e.ID != first.Endpoint.ID {
				other.SetPeerLoad("p", sycplace.Load{Endpoint: e.ID, Requests: 1, Tokens: 20000})
			}
		}
		must.NotEq(t, first.Endpoint.ID, selectTarget(t, other, now, request(2, 7)).Endpoint.ID)
		// No other endpoint is left: the news are no proof.
		r := request(3, 7)
		for _, e := range other.Endpoints() {
			if e.ID != first.Endpoint.ID {
				r.Exclude = append(r.Exclude, e.ID)
			}
		}
		must.Eq(t, first.Endpoint.ID, selectTarget(t, other, now, r).Endpoint.ID)
		// A new record ends it.
		reborn := first.Endpoint
		reborn.Incarnation = 5
		other.Put(reborn)
		must.Eq(t, first.Endpoint.ID, selectTarget(t, other, now, request(4, 7)).Endpoint.ID)
	}
}

// TestAnswerRefutesAFault guards against an endpoint that is avoided for seconds since another VM has reported it, although it has
// answered since, and against a pause for lack of capacity that such an answer ends.
func TestAnswerRefutesAFault(t *testing.T) {
	tests := []struct {
		name  string
		fault bool
		want  bool
	}{
		{"reported", true, true},
		{"at capacity", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, now := newSelector(2), time.Minute
			s.SetPeerLoad("p", sycplace.Load{Endpoint: "e1", Requests: 1, Tokens: 20000})
			first := selectTarget(t, s, now, request(1, 7))
			must.Eq(t, "e0", first.Endpoint.ID)
			if tt.fault {
				must.True(t, s.ReceiveFault(now, sycplace.Fault{Endpoint: "e0", Moved: true}))
			} else {
				selectTarget(t, s, now, request(2, 7))
				s.Finish(now, 2, sycplace.AtCapacity)
			}
			must.Eq(t, "e1", selectTarget(t, s, now, request(3, 7)).Endpoint.ID)
			s.Finish(now, 3, sycplace.Cancelled)
			s.ObserveFirstByte(now+10*time.Millisecond, 1)
			s.Finish(now+10*time.Millisecond, 1, sycplace.Served)
			must.Eq(t, tt.want, selectTarget(t, s, now+20*time.Millisecond, request(4, 7)).Endpoint.ID == "e0")
		})
	}
}

// TestUnreachableIsNotTold guards against a cut link of one VM that takes its endpoints from the others.
func TestUnreachableIsNotTold(t *testing.T) {
	s := newSelector(2)
	selectTarget(t, s, time.Minute, request(1, 7))
	s.Finish(time.Minute, 1, sycplace.Unreachable)
	must.SliceEmpty(t, s.TakeFaults())
}

// TestAddressSaysWhoIsThere guards against a record with a later start that keeps an endpoint out of use, though the endpoint
// answers at its address that it isn't the one that the record names.
func TestAddressSaysWhoIsThere(t *testing.T) {
	s := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000})
	s.Put(sycplace.Endpoint{ID: "there", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 1})
	s.Put(sycplace.Endpoint{ID: "claims", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 2})
	must.False(t, s.Runs("there"))
	target, _ := s.Select(time.Minute, &sycplace.Request{ID: 1, Service: "app", Remaining: time.Minute})
	must.Eq(t, "claims", target.Endpoint.ID)
	s.Finish(time.Minute, 1, sycplace.Moved)
	must.True(t, s.Runs("there"))
	target, _ = s.Select(time.Minute, &sycplace.Request{ID: 2, Service: "app", Remaining: time.Minute})
	must.Eq(t, "there", target.Endpoint.ID)
	var changes []sycplace.SuccessionChange
	for _, succession := range s.TakeSuccessions() {
		changes = append(changes, succession.Change)
	}
	must.Eq(t, []sycplace.SuccessionChange{sycplace.LaterStarted, sycplace.LaterElsewhere}, changes)
	// It is believed again once it has answered, and after its next start.
	const later = 5 * time.Minute
	_, refusal := s.Select(later, &sycplace.Request{ID: 3, Service: "app", Exclude: []string{"there"}, Remaining: time.Minute})
	must.Nil(t, refusal)
	s.Finish(later, 3, sycplace.Served)
	must.False(t, s.Runs("there"))
	_, refusal = s.Select(later, &sycplace.Request{ID: 4, Service: "app", Remaining: time.Minute})
	must.Nil(t, refusal)
	s.Finish(later, 4, sycplace.Moved)
	must.True(t, s.Runs("there"))
	s.Put(sycplace.Endpoint{ID: "claims", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 3})
	must.False(t, s.Runs("there"))
}
