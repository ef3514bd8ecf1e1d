package sycloop

import "time"

// maxLead is by how much longer control work may run than requests that wait. Beyond it
// the two share the loop's time equally.
const maxLead = 5 * time.Millisecond

// turn decides whether control work or a request is served next while both wait.
type turn struct {
	// lead is by how much longer control work has run than requests, since requests last
	// began to wait. It is at least 0 and at most 2 maxLead.
	lead time.Duration
}

// isTraffic reports whether a waiting request is served before control work.
func (t *turn) isTraffic(waiting int) bool {
	if waiting == 0 {
		t.lead = 0
	}
	return t.lead >= maxLead
}

// record adds the time that a posted function took.
func (t *turn) record(control bool, took time.Duration) {
	if !control {
		took = -took
	}
	t.lead = min(max(t.lead+took, 0), 2*maxLead)
}
