package sycoracle

import (
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// CheckRevoked checks that a customer's requests are refused once its key has
// been revoked for the grace time.
func CheckRevoked(l *Ledger, exchanges []sycload.Exchange, customer string, revoked time.Time, grace time.Duration) {
	for _, x := range exchanges {
		if x.Customer() != customer || x.Planned().Before(revoked.Add(grace)) {
			continue
		}
		held := x.Verdict() == sycload.Refused && strings.HasPrefix(x.Reason(), "401")
		l.Check(KeysRevoked, held, "%s was served %s after its key was revoked: %s", customer, x.Planned().Sub(revoked), x.Reason())
	}
}

// CheckLeaving checks that an engine got no request once it has been leaving
// for the grace time.
func CheckLeaving(l *Ledger, requests []sycengine.Request, left time.Time, grace time.Duration) {
	late := 0
	for _, r := range requests {
		if r.Time.After(left.Add(grace)) {
			late++
		}
	}
	l.Check(LeavingIdle, late == 0, "a leaving engine got %d requests", late)
}

// CheckDrain checks that nothing was cut in a run whose only fault was that VMs
// shut down gracefully.
func CheckDrain(l *Ledger, exchanges []sycload.Exchange) {
	for _, x := range exchanges {
		l.Check(DrainWhole, x.Verdict() != sycload.Failed && x.Resumes() == 0, "%s: resumed %d times, %s", x.Customer(), x.Resumes(), x.Reason())
	}
}

// CheckBadVersion checks the share of a version that always fails, and that it
// gets nothing once it has been bad for the grace time since its first request.
func CheckBadVersion(l *Ledger, requests []sycengine.Request, weights string, share float64, grace time.Duration) {
	var first time.Time
	bad := 0
	for _, r := range requests {
		if r.Weights != weights {
			continue
		}
		bad++
		first = earlier(first, r.Time)
	}
	allowed := share * float64(len(requests))
	l.Check(BadVersionHeld, float64(bad) <= allowed, "%d of %d requests ran on the bad version", bad, len(requests))
	for _, r := range requests {
		if r.Weights == weights {
			l.Check(BadVersionHeld, r.Time.Before(first.Add(grace)), "a request ran on the bad version %s after it showed", r.Time.Sub(first))
		}
	}
}

// Applied is an offset that a VM reported as applied.
type Applied struct {
	// VM and Incarnation identify the process.
	VM          string
	Incarnation string
	At          time.Time
	Offset      uint64
}

// CheckConfig checks that no VM goes back to an earlier offset while it runs.
func CheckConfig(l *Ledger, samples []Applied) {
	last := map[string]uint64{}
	for _, s := range samples {
		key := s.VM + "/" + s.Incarnation
		l.Check(ConfigHolds, s.Offset >= last[key], "VM %s went from offset %d to %d", s.VM, last[key], s.Offset)
		last[key] = s.Offset
	}
}

// CheckInForce checks that each VM has applied an offset within the grace time.
func CheckInForce(l *Ledger, samples []Applied, offset uint64, published time.Time, grace time.Duration) {
	for _, s := range samples {
		if s.At.After(published.Add(grace)) {
			l.Check(ConfigHolds, s.Offset >= offset, "VM %s had not applied offset %d after %s", s.VM, offset, s.At.Sub(published))
		}
	}
}

// CheckRestart checks how long a restarted VM took until it was ready.
func CheckRestart(l *Ledger, took, bound time.Duration) {
	l.Check(RestartServes, took <= bound, "a restarted VM took %s", took)
}
