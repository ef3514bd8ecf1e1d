// Package sycchart runs state charts: state machines that are written as XML in
// a subset of SCXML. The subset is <scxml name initial>, <state id>, <final id>
// and <transition event cond target>. A transition's cond attribute names a guard,
// a condition that must hold for the transition to be taken.
//
// Parse rejects a chart that names an unknown state or guard, has a state that
// cannot be reached or left, or has ambiguous transitions for an event.
package sycchart

import "slices"

// Guards maps the names of a chart's guards to conditions on a context of type C,
// the data that the caller passes with each event.
type Guards[C any] map[string]func(C) bool

// Chart is a parsed and checked state chart whose guards read a context of type C.
// It holds no current state, so that many state machines can share it.
type Chart[C any] struct {
	name    string
	initial string
	// states holds the states by their ids.
	states map[string]*state[C]
}

// state is a state of the chart. A final state has no transitions.
type state[C any] struct {
	final bool
	// transitions are tried in the order of the file. Per event, only the last can
	// be without a guard.
	transitions []transition[C]
}

// transition leads from its state to a target when its event occurs and its guard
// holds. A nil guard always holds.
type transition[C any] struct {
	event  string
	guard  func(C) bool
	target string
}

// Name returns the chart's name, which error messages show.
func (c *Chart[C]) Name() string { return c.name }

// Initial returns the id of the state that a state machine starts in.
func (c *Chart[C]) Initial() string { return c.initial }

// Has reports whether the chart has a state with the id.
func (c *Chart[C]) Has(id string) bool { return c.states[id] != nil }

// Final reports whether the id is that of a final state.
func (c *Chart[C]) Final(id string) bool {
	s := c.states[id]
	return s != nil && s.final
}

// Fire returns the state that a state machine in the state id enters on an event,
// and whether a transition was taken. If no transition of the state matches the
// event, Fire returns the same state and false.
func (c *Chart[C]) Fire(id, event string, context C) (string, bool) {
	s := c.states[id]
	if s == nil {
		return id, false
	}
	for _, t := range s.transitions {
		if t.event != event {
			continue
		}
		if t.guard == nil || t.guard(context) {
			return t.target, true
		}
	}
	return id, false
}

// Events returns the events for which a state has transitions, in the order of the file.
func (c *Chart[C]) Events(id string) []string {
	var events []string
	s := c.states[id]
	if s == nil {
		return nil
	}
	for _, t := range s.transitions {
		if !slices.Contains(events, t.event) {
			events = append(events, t.event)
		}
	}
	return events
}
