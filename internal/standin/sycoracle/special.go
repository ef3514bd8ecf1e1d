package sycoracle

import (
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// CheckRevoked checks that the customer's requests planned at or after revoked plus
// grace were refused with status 401, and that no stream was resumed from then on. The
// customer's key was revoked at revoked.
func CheckRevoked(l *Ledger, exchanges []sycload.Exchange, customer string, revoked time.Time, grace time.Duration) {
	for _, x := range exchanges {
		if x.Customer() != customer {
			continue
		}
		if late := x.ResumedAt().Sub(revoked); late >= grace {
			l.Check(KeysRevoked, false, "%s resumed a stream %s after its key was revoked", customer, late)
		}
		if x.Planned().Before(revoked.Add(grace)) {
			continue
		}
		held := x.Verdict() == sycload.Refused && strings.HasPrefix(x.Reason(), "401")
		l.Check(KeysRevoked, held, "%s was served %s after its key was revoked: %s", customer, x.Planned().Sub(revoked), x.Reason())
	}
}

// CheckLeaving checks that an engine received no request later than grace after
// left, the time at which it started to leave. The requests must all be that engine's.
func CheckLeaving(l *Ledger, requests []sycengine.Request, left time.Time, grace time.Duration) {
	late := 0
	for _, r := range requests {
		if r.Time.After(left.Add(grace)) {
			late++
		}
	}
	l.Check(LeavingIdle, late == 0, "a leaving engine got %d requests", late)
}

// CheckDrain checks that no exchange failed and no stream had to be resumed, for a
// run in which VMs shut down gracefully and no fault was injected.
func CheckDrain(l *Ledger, exchanges []sycload.Exchange) {
	for _, x := range exchanges {
		l.Check(DrainWhole, x.Verdict() != sycload.Failed && x.Resumes() == 0, "%s: resumed %d times, %s", x.Customer(), x.Resumes(), x.Reason())
	}
}

// CheckBadVersion checks the rollout of a version that fails every request, identified by
// its weights. The version may get at most the given share of all requests. If it got
// minFailures requests or more it must have been rolled back. From grace after rolledBack,
// the time of the rollback (zero if there was none), it may get no request.
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
	l.Check(BadVersionHeld, bad < minFailures || !rolledBack.IsZero(), "%d requests failed on the bad version and it wasn't rolled back", bad)
}

// minFailures is the number of failed requests from which on the rollout must have
// detected that a version is bad.
const minFailures = 5

// Applied is a sample of the log offset up to which a VM reports that it has applied
// the configuration.
type Applied struct {
	// VM identifies the VM.
	VM string
	// Incarnation identifies the router process; a restarted VM has a new one.
	Incarnation string
	// At is when the sample was taken.
	At time.Time
	// Offset is the reported offset.
	Offset uint64
}

// CheckConfig checks that the offset that a router process reports never decreases.
// The samples must be in the order in which they were taken.
func CheckConfig(l *Ledger, samples []Applied) {
	last := map[string]uint64{}
	for _, s := range samples {
		key := s.VM + "/" + s.Incarnation
		l.Check(ConfigHolds, s.Offset >= last[key], "VM %s went from offset %d to %d", s.VM, last[key], s.Offset)
		last[key] = s.Offset
	}
}

// CheckInForce checks that each VM has applied the offset in every sample that is
// later than grace after published, the time at which the record was appended.
func CheckInForce(l *Ledger, samples []Applied, offset uint64, published time.Time, grace time.Duration) {
	for _, s := range samples {
		if s.At.After(published.Add(grace)) {
			l.Check(ConfigHolds, s.Offset >= offset, "VM %s had not applied offset %d after %s", s.VM, offset, s.At.Sub(published))
		}
	}
}

// CheckRestart checks that a restarted VM was ready within the bound.
func CheckRestart(l *Ledger, took, bound time.Duration) {
	l.Check(RestartServes, took <= bound, "a restarted VM took %s", took)
}
