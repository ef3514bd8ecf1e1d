//go:build review

package rig

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and some notes.
type record struct {
	start time.Time
	mu    sync.Mutex
	runs  map[string][]*run
	sent  []*exchange
	notes []string
	byID  map[string]*exchange
	// orders holds the orders in the order of their arrival.
	orders []arrivedOrder
}

// arrivedOrder is an order that has arrived at a worker.
type arrivedOrder struct {
	at              time.Time
	worker, machine string
	token           int64
}

func newRecord() *record {
	return &record{start: time.Now(), runs: map[string][]*run{}, byID: map[string]*exchange{}}
}

func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, r.at(time.Now())+" "+fmt.Sprintf(format, args...))
}

func (r *record) begin(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[x.ID] = append(r.runs[x.ID], x)
}

func (r *record) end(x *run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.End, x.Whole = time.Now(), whole
}

func (r *record) answer(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, x)
	r.byID[x.ID] = x
}

// order records that an order has arrived at a worker. Its holder is the machine that sent it.
func (r *record) order(worker string, o orderBody) {
	machine, _, _ := strings.Cut(o.Holder, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, arrivedOrder{time.Now(), worker, machine, o.Fence})
	r.notes = append(r.notes, fmt.Sprintf("%s an order of %s with the token %d for version %d arrives at %s", r.at(time.Now()), machine, o.Fence, o.Version, worker))
}

// workedOn is how long a worker may go on after another one has begun, by the rule TWICE.
const workedOn = 400 * time.Millisecond

// judge returns what breaks each rule.
func (r *record) judge() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]string{}
	add := func(rule, format string, args ...any) { out[rule] = append(out[rule], fmt.Sprintf(format, args...)) }
	for id, runs := range r.runs {
		x := r.byID[id]
		if x == nil {
			add("UNASKED", "%s ran, and no client sent it", id)
			continue
		}
		k := kinds[x.Kind]
		slices.SortFunc(runs, func(a, b *run) int { return a.Begin.Compare(b.Begin) })
		if k.once && len(runs) > 1 {
			add("TWICE", "%s (%s) ran %d times: %s", id, x.Kind, len(runs), r.describe(runs))
		}
		if k.once && slices.Contains([]int{408, 421, 429, 503}, x.Status) {
			add("REFUSED", "%s (%s) was answered %d and ran: %s", id, x.Kind, x.Status, r.describe(runs))
		}
		for i := 1; k.resumable && i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			if end := before.End; before.Worker != after.Worker && (end.IsZero() || end.After(after.Begin.Add(workedOn))) {
				add("TWICE", "%s (%s) went on at another worker, and the one before worked on: %s", id, x.Kind, r.describe(runs))
			}
		}
	}
	for i, o := range r.orders {
		for _, before := range r.orders[:i] {
			if before.worker != o.worker || before.machine == o.machine {
				continue
			}
			if o.token <= before.token {
				add("ONE", "the order of %s with the token %d arrived at %s at %s, after the order of %s with the token %d at %s",
					o.machine, o.token, o.worker, r.at(o.at), before.machine, before.token, r.at(before.at))
			}
		}
	}
	for _, x := range r.sent {
		runs := r.runs[x.ID]
		if x.Err != nil || x.Status < 200 || x.Status > 299 {
			continue
		}
		ran := slices.ContainsFunc(runs, func(a *run) bool { return stampOf(a.Worker, a.ID) == x.Stamp })
		if !ran {
			add("MIXED", "%s (%s) got %d with the stamp %q and the body %.60q, not a worker's answer to it", x.ID, x.Kind, x.Status, x.Stamp, x.Body)
			continue
		}
		if want := r.wholeBody(x); x.Body != want {
			add("ORDER", "%s (%s) got another body as complete: %d of %d bytes", x.ID, x.Kind, len(x.Body), len(want))
		}
	}
	return out
}

func (r *record) wholeBody(x *exchange) string {
	if !kinds[x.Kind].model {
		return strings.Repeat("a", 800) + x.ID
	}
	var out strings.Builder
	for i := 1; i <= x.events; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s/%d of %d\n\n", i, x.ID, i, x.events)
	}
	return out.String()
}

func (r *record) describe(runs []*run) string {
	var out []string
	for _, a := range runs {
		out = append(out, fmt.Sprintf("%s from %s to %s (whole %t)", a.Worker, r.at(a.Begin), r.at(a.End), a.Whole))
	}
	return strings.Join(out, ", ")
}

// write writes the record to a file: the verdict, what was seen, then each request.
func (r *record) write(path string, verdict []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out strings.Builder
	for _, line := range verdict {
		out.WriteString(line + "\n")
	}
	out.WriteString("\nevents (seconds from the start)\n")
	for _, n := range r.notes {
		out.WriteString(n + "\n")
	}
	out.WriteString("\nrequests: sent, kind, ID, status, stamp, bytes, error, ended; runs\n")
	slices.SortFunc(r.sent, func(a, b *exchange) int { return a.Sent.Compare(b.Sent) })
	for _, x := range r.sent {
		fault := "-"
		if x.Err != nil {
			fault = "broken off"
		}
		fmt.Fprintf(&out, "%s %s %s %d %s %d %s %s; %s\n", r.at(x.Sent), x.Kind, x.ID, x.Status, x.Stamp, len(x.Body), fault, r.at(x.Ended), r.describe(r.runs[x.ID]))
	}
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		fail("record: %v", err)
	}
}
