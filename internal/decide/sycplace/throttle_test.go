package sycplace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

// newLimitedSelector returns the selector of VM a, alone in its fleet, with engines of which e0 has just named a limit of
// one request a second.
func newLimitedSelector(engines int) *sycplace.Selector {
	s := newSelector(engines)
	s.SetVMs(0, []sycthrottle.VM{{Address: "a", FailureDomain: "z", Runs: true}})
	s.ApplyNotice(0, "e0", 0, sycplace.Notice{Limit: 1})
	return s
}

// TestEndpointGetsNoMoreThanItsLimit guards against a selection, a search or an earlier selection that passes by the limit.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	s := newLimitedSelector(1)
	must.False(t, s.CanSelect(0, request(1, 1)))
	_, refusal := s.Select(0, request(1, 1))
	must.Eq(t, sycplace.Limited, refusal.Reason)
	selectTarget(t, s, time.Second, request(2, 1))
	must.False(t, s.CanSelect(time.Second, request(3, 1)))
	_, refusal = s.Select(time.Second, request(3, 1))
	must.Eq(t, sycplace.Limited, refusal.Reason)
	must.Eq(t, time.Second, s.PauseLeft(time.Second, request(3, 1)))
}

// TestSelectionBeforeTheLimitNeedsIt guards against a request that was selected before an endpoint named its limit and is
// sent after.
func TestSelectionBeforeTheLimitNeedsIt(t *testing.T) {
	s := newSelector(1)
	s.SetVMs(0, []sycthrottle.VM{{Address: "a", FailureDomain: "z", Runs: true}})
	first, second := request(1, 1), request(2, 1)
	t1, t2 := selectTarget(t, s, 0, first), selectTarget(t, s, 0, second)
	s.ApplyNotice(0, "e0", 0, sycplace.Notice{Limit: 1})
	must.Greater(t, t1.Generation, s.Generation())
	must.False(t, s.Permits(0, first, t1))
	must.True(t, s.Permits(time.Second, first, t1))
	must.True(t, s.Permits(time.Second, first, t1), must.Sprint("it is charged once"))
	must.False(t, s.Permits(time.Second, second, t2))
}

// TestUnsentAttemptUsesNoLimit guards against limits that are used up by requests which never reach the endpoint.
func TestUnsentAttemptUsesNoLimit(t *testing.T) {
	tests := []struct {
		name    string
		outcome sycplace.Outcome
		unsent  bool
		again   bool
	}{
		{"withdrawn", sycplace.Cancelled, true, true},
		{"unreachable", sycplace.Unreachable, true, true},
		{"given up after it was sent", sycplace.Cancelled, false, false},
		{"rejected", sycplace.AtCapacity, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newLimitedSelector(1)
			selectTarget(t, s, time.Second, request(1, 1))
			if tt.unsent {
				s.Withdraw(1)
			}
			s.Finish(time.Second, 1, tt.outcome)
			must.Eq(t, tt.again, s.PauseLeft(time.Second, request(2, 1)) == 0)
		})
	}
}

// TestOtherEndpointsTakeWhatALimitLeaves guards against requests that are refused though an endpoint without a limit is left.
func TestOtherEndpointsTakeWhatALimitLeaves(t *testing.T) {
	s := newLimitedSelector(2)
	for id := range uint64(20) {
		must.Eq(t, "e1", selectTarget(t, s, 0, request(id, 1)).Endpoint.ID)
		s.Finish(0, id, sycplace.Served)
	}
}

// TestRefusedCallersComeBackInTurn guards against callers who are all asked back at the same moment.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	s := newLimitedSelector(1)
	for i := range 10 {
		_, refusal := s.Select(0, request(uint64(i), 1))
		must.Eq(t, min(time.Duration(i+1)*time.Second, 5*time.Second), refusal.After)
	}
}

// TestLimitOfAnotherIncarnation guards against a limit that is taken over to an endpoint that has started again.
func TestLimitOfAnotherIncarnation(t *testing.T) {
	s := newLimitedSelector(1)
	restarted := engine(0, 1)
	restarted.Incarnation = 1
	s.Put(restarted)
	must.Eq(t, 0, s.CountLimited())
	selectTarget(t, s, 0, request(1, 1))
	report := sycplace.LimitReport{Endpoint: "e0", Report: sycthrottle.Report{Rate: 1, Number: 9}}
	must.Eq(t, sycthrottle.Unchanged, s.ReceiveLimit(0, "b", "1", report))
	report.Incarnation = 1
	must.Eq(t, sycthrottle.Named, s.ReceiveLimit(0, "b", "1", report))
	must.Eq(t, 1, s.CountLimited())
}

// TestUnreadableLimitChangesNothing guards against a limit that can't be read and lifts the one before, or is told each time.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	s := newLimitedSelector(1)
	unread := sycplace.Notice{UnreadLimit: "x"}
	must.Eq(t, unread, s.ApplyNotice(0, "e0", 0, unread))
	must.Eq(t, sycplace.Notice{}, s.ApplyNotice(0, "e0", 0, unread))
	must.Eq(t, 1, s.CountLimited())
}

// TestLimitThatIsToldBeforeTheRecord guards against a VM that ranks the senders of an endpoint by another failure domain than the
// others, since it learned of the limit first.
func TestLimitThatIsToldBeforeTheRecord(t *testing.T) {
	vms := []sycthrottle.VM{{Address: "a", FailureDomain: "z0", Runs: true}}
	for i := range 5 {
		vms = append(vms, sycthrottle.VM{Address: string(rune('b' + i)), FailureDomain: string(rune('p' + i)), Runs: true})
	}
	s := newSelector(0)
	s.SetVMs(0, vms)
	s.ReceiveLimit(0, "b", "1", sycplace.LimitReport{Endpoint: "e0", Report: sycthrottle.Report{Rate: 1, Number: 1}})
	s.Put(engine(0, 1))
	selectTarget(t, s, 10*time.Second, request(1, 1))
}
