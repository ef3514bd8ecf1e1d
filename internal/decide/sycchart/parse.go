package sycchart

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"strings"
)

// Fault is one reason why a chart is rejected.
type Fault struct {
	state  string
	reason string
}

// State returns the id of the faulty state. It is empty for a fault of the whole chart.
func (f Fault) State() string { return f.state }

// Reason returns a message that says what is wrong.
func (f Fault) Reason() string { return f.reason }

// Faults is the error of Parse. It lists all faults of a chart.
type Faults struct {
	chart string
	list  []Fault
}

// List returns the faults in the order in which Parse found them.
func (f *Faults) List() []Fault { return f.list }

// Error returns the chart's name and all faults on one line.
func (f *Faults) Error() string {
	parts := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		parts = append(parts, fmt.Sprintf("state %q: %s", fault.state, fault.reason))
	}
	return fmt.Sprintf("chart %q: %s", f.chart, strings.Join(parts, "; "))
}

func (f *Faults) add(state, format string, args ...any) {
	f.list = append(f.list, Fault{state: state, reason: fmt.Sprintf(format, args...)})
}

// chartFile is the XML element of a chart.
type chartFile struct {
	XMLName xml.Name `xml:"scxml"`
	Name    string   `xml:"name,attr"`
	// Initial is the id of the state that a state machine starts in.
	Initial string      `xml:"initial,attr"`
	States  []stateFile `xml:"state"`
	// Finals holds the final states, which have no transitions.
	Finals []stateFile `xml:"final"`
	// Others holds elements that are not part of the subset.
	Others []otherFile `xml:",any"`
}

// stateFile is the XML element of a state or a final state.
type stateFile struct {
	ID          string           `xml:"id,attr"`
	Transitions []transitionFile `xml:"transition"`
	// Others holds elements that are not part of the subset.
	Others []otherFile `xml:",any"`
}

// transitionFile is the XML element of a transition.
type transitionFile struct {
	Event string `xml:"event,attr"`
	// Cond is the name of the guard, empty for none.
	Cond string `xml:"cond,attr"`
	// Target is the id of the state that the transition leads to.
	Target string `xml:"target,attr"`
}

// otherFile is an unknown XML element. Its name appears in the fault.
type otherFile struct {
	XMLName xml.Name
}

// Parse reads a chart from XML and checks it against the guards. Its error is of type
// *Faults and lists all faults of the chart.
func Parse[C any](data []byte, guards Guards[C]) (*Chart[C], error) {
	var file chartFile
	if err := xml.NewDecoder(bytes.NewReader(data)).Decode(&file); err != nil {
		faults := &Faults{}
		faults.add("", "is not a chart: %v", err)
		return nil, faults
	}
	faults := &Faults{chart: file.Name}
	chart := &Chart[C]{
		name:    file.Name,
		initial: file.Initial,
		states:  map[string]*state[C]{},
	}
	chart.declareStates(&file, faults)
	for _, s := range file.States {
		chart.addTransitions(s, guards, faults)
	}
	chart.checkReachable(&file, faults)
	if len(faults.list) > 0 {
		return nil, faults
	}
	return chart, nil
}

// MustParse is like Parse, but panics if the chart has faults. It is meant for charts
// that are embedded in the program.
func MustParse[C any](data []byte, guards Guards[C]) *Chart[C] {
	chart, err := Parse(data, guards)
	if err != nil {
		panic(err)
	}
	return chart
}

// declareStates adds the states of the file to the chart, without their transitions.
func (c *Chart[C]) declareStates(file *chartFile, faults *Faults) {
	for _, o := range file.Others {
		faults.add("", "element %q is unknown", o.XMLName.Local)
	}
	for _, s := range file.States {
		c.declareState(s, false, faults)
	}
	for _, s := range file.Finals {
		c.declareState(s, true, faults)
		if len(s.Transitions) > 0 {
			faults.add(s.ID, "is final but has transitions")
		}
	}
	if c.states[file.Initial] == nil {
		faults.add("", "initial state %q is unknown", file.Initial)
	}
}

// declareState adds a state to the chart unless its id is empty or already taken.
func (c *Chart[C]) declareState(s stateFile, final bool, faults *Faults) {
	for _, o := range s.Others {
		faults.add(s.ID, "element %q is unknown", o.XMLName.Local)
	}
	if s.ID == "" {
		faults.add("", "a state has no id")
		return
	}
	if c.states[s.ID] != nil {
		faults.add(s.ID, "is declared twice")
		return
	}
	c.states[s.ID] = &state[C]{final: final}
}

// addTransitions checks the transitions of a declared state and adds them to it.
func (c *Chart[C]) addTransitions(s stateFile, guards Guards[C], faults *Faults) {
	node := c.states[s.ID]
	if node == nil {
		return
	}
	if len(s.Transitions) == 0 {
		faults.add(s.ID, "cannot be left and is not final")
	}
	// seen has the event and guard of each transition so far, separated by a space.
	seen := map[string]bool{}
	for _, t := range s.Transitions {
		switch {
		case t.Event == "":
			faults.add(s.ID, "a transition has no event")
		case c.states[t.Target] == nil:
			faults.add(s.ID, "target %q of event %q is unknown", t.Target, t.Event)
		case t.Cond != "" && guards[t.Cond] == nil:
			faults.add(s.ID, "guard %q is unknown", t.Cond)
		case seen[t.Event+" "] || seen[t.Event+" "+t.Cond]:
			faults.add(s.ID, "transitions of event %q are ambiguous", t.Event)
		}
		seen[t.Event+" "+t.Cond] = true
		node.transitions = append(node.transitions, transition[C]{
			event:  t.Event,
			guard:  guards[t.Cond],
			target: t.Target,
		})
	}
}

// checkReachable adds a fault for each state that no path of transitions leads to from
// the initial state.
func (c *Chart[C]) checkReachable(file *chartFile, faults *Faults) {
	reachable := map[string]bool{}
	c.markReachable(c.initial, reachable)
	for _, s := range append(file.States, file.Finals...) {
		if s.ID != "" && !reachable[s.ID] {
			faults.add(s.ID, "cannot be reached")
		}
	}
}

// markReachable marks the state and all states that its transitions lead to.
func (c *Chart[C]) markReachable(id string, reachable map[string]bool) {
	s := c.states[id]
	if s == nil || reachable[id] {
		return
	}
	reachable[id] = true
	for _, t := range s.transitions {
		c.markReachable(t.target, reachable)
	}
}
