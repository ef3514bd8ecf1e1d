//go:build review

package standins2_test

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// outcome is what became of a client's request.
type outcome struct {
	what   string
	sentAt time.Time
	// status is that of the answer, 0 for none.
	status int
	// machine is the name of the machine that the request was sent to, and cut is set if that closed its connection, on
	// which there had been an answer before, within the answer.
	machine string
	cut     bool
	// stamped is set if the answer has a worker's stamp.
	stamped bool
	// runs counts the runs at workers, foreignRuns those at servers of another system.
	runs, foreignRuns int
}

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	// requests holds the clients' requests by ID.
	requests map[string]*outcome
}

func newRecord(out io.Writer) *record {
	return &record{out: out, began: time.Now(), requests: map[string]*outcome{}}
}

// write writes a line with the time.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(format, args...)
}

// writeLocked is write for a caller that holds mu.
func (r *record) writeLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// sent records a client's request.
func (r *record) sent(id, what, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &outcome{what: what, sentAt: time.Now(), machine: machine}
	r.writeLocked("client sends %s %s to %s", id, what, machine)
}

// answered records the answer to a client's request.
func (r *record) answered(id string, status int, stamped bool, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.requests[id]
	o.status, o.stamped = status, stamped
	r.writeLocked("client gets %s: status %d, stamp %t %s", id, status, stamped, detail)
}

// ran records that a worker runs a request.
func (r *record) ran(worker, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.requests[id]; o != nil {
		o.runs++
	}
	r.writeLocked("worker %s runs %s", worker, id)
}

// ranForeign records that a server of another system runs a request.
func (r *record) ranForeign(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.requests[id]; o != nil {
		o.foreignRuns++
	}
	r.writeLocked("THE OTHER SYSTEM'S SERVER RUNS %s %s", id, what)
}

// count returns how many of the requests that were sent after a time satisfy a condition.
func (r *record) count(after time.Time, condition func(*outcome) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.requests {
		if o.sentAt.After(after) && condition(o) {
			n++
		}
	}
	return n
}

// cut records that a machine closed its connection within an answer of some events.
func (r *record) cut(id string, events int, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id].cut = kept
	r.writeLocked("CONNECTION CLOSED within the answer to %s after %d events; kept before: %t", id, events, kept)
}
