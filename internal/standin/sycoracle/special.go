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

// CheckBadVersion checks the share of a version that always fails, that it was
// rolled back if it got any request, and that it got none from the grace time
// after that on.
func CheckBadVersion(l *Ledger, requests []sycengine.Request, weights string, share float64, rolledBack time.Time, grace time.Duration) {
	bad := 0
	for _, r := range requests {
		if r.Weights != weights {
			continue
		}
		bad++
		l.Check(BadVersionHeld, rolledBack.IsZero() || r.Time.Before(rolledBack.Add(grace)),
			"a request ran on the bad version %s after its rollback", r.Time.Sub(rolledBack))
	}
	allowed := share * float64(len(requests))
	l.Check(BadVersionHeld, float64(bad) <= allowed, "%d of %d requests ran on the bad version", bad, len(requests))
	l.Check(BadVersionHeld, bad < enoughBad || !rolledBack.IsZero(), "%d requests failed on the bad version and it wasn't rolled back", bad)
}

// enoughBad is the number of failed requests that must have shown a version to be bad.
const enoughBad = 5

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
