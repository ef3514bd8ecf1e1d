// Package sycchart interprets state charts that are written as files, in a
// subset of SCXML: <scxml initial>, <state id>, <final id> and
// <transition event cond target>.
//
// Parse rejects a chart that names an unknown state or guard, has a state that
// cannot be reached or left, or has transitions that compete for an event.
package sycchart

import "slices"

// Guards are the named conditions of a chart, evaluated on a context C.
type Guards[C any] map[string]func(C) bool

// Chart is a checked state chart whose guards read a context C.
type Chart[C any] struct {
	name    string
	initial string
	states  map[string]*state[C]
}

// state is a node of the chart; a final state has no transitions.
type state[C any] struct {
	final bool
	// transitions are tried in order; an unguarded one is the last for its event.
	transitions []transition[C]
}

type transition[C any] struct {
	event  string
	guard  func(C) bool
	target string
}

// Name is the chart's name.
func (c *Chart[C]) Name() string { return c.name }

// Initial is the state that a machine starts in.
func (c *Chart[C]) Initial() string { return c.initial }

// Has reports whether the chart has a state.
func (c *Chart[C]) Has(id string) bool { return c.states[id] != nil }

// Final reports whether a state is final.
func (c *Chart[C]) Final(id string) bool {
	s := c.states[id]
	return s != nil && s.final
}

// Fire returns the state that follows after an event, and whether a transition
// was taken. An event that no transition of the state matches changes nothing.
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

// Events returns the events that a state reacts to, in order of the file.
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
