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

// State is the state that the fault is in; empty for the whole chart.
func (f Fault) State() string { return f.state }

// Reason says what is wrong.
func (f Fault) Reason() string { return f.reason }

// Faults lists everything that is wrong with a chart.
type Faults struct {
	chart string
	list  []Fault
}

// List returns the faults.
func (f *Faults) List() []Fault { return f.list }

// Error renders all faults on one line.
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

type chartFile struct {
	XMLName xml.Name    `xml:"scxml"`
	Name    string      `xml:"name,attr"`
	Initial string      `xml:"initial,attr"`
	States  []stateFile `xml:"state"`
	Finals  []stateFile `xml:"final"`
	Others  []otherFile `xml:",any"`
}

type stateFile struct {
	ID          string           `xml:"id,attr"`
	Transitions []transitionFile `xml:"transition"`
	Others      []otherFile      `xml:",any"`
}

type transitionFile struct {
	Event  string `xml:"event,attr"`
	Cond   string `xml:"cond,attr"`
	Target string `xml:"target,attr"`
}

type otherFile struct {
	XMLName xml.Name
}

// Parse reads and checks a chart. It fails with *Faults, which lists all faults.
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
	chart.declare(&file, faults)
	for _, s := range file.States {
		chart.connect(s, guards, faults)
	}
	chart.checkReach(&file, faults)
	if len(faults.list) > 0 {
		return nil, faults
	}
	return chart, nil
}

// MustParse is Parse for charts that are embedded in the program.
func MustParse[C any](data []byte, guards Guards[C]) *Chart[C] {
	chart, err := Parse(data, guards)
	if err != nil {
		panic(err)
	}
	return chart
}

func (c *Chart[C]) declare(file *chartFile, faults *Faults) {
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

func (c *Chart[C]) connect(s stateFile, guards Guards[C], faults *Faults) {
	node := c.states[s.ID]
	if node == nil {
		return
	}
	if len(s.Transitions) == 0 {
		faults.add(s.ID, "cannot be left and is not final")
	}
	taken := map[string]bool{}
	for _, t := range s.Transitions {
		switch {
		case t.Event == "":
			faults.add(s.ID, "a transition has no event")
		case c.states[t.Target] == nil:
			faults.add(s.ID, "target %q of event %q is unknown", t.Target, t.Event)
		case t.Cond != "" && guards[t.Cond] == nil:
			faults.add(s.ID, "guard %q is unknown", t.Cond)
		case taken[t.Event+" "] || taken[t.Event+" "+t.Cond]:
			faults.add(s.ID, "transitions of event %q are ambiguous", t.Event)
		}
		taken[t.Event+" "+t.Cond] = true
		node.transitions = append(node.transitions, transition[C]{
			event:  t.Event,
			guard:  guards[t.Cond],
			target: t.Target,
		})
	}
}

func (c *Chart[C]) checkReach(file *chartFile, faults *Faults) {
	reached := map[string]bool{}
	c.reach(c.initial, reached)
	for _, s := range append(file.States, file.Finals...) {
		if s.ID != "" && !reached[s.ID] {
			faults.add(s.ID, "cannot be reached")
		}
	}
}

func (c *Chart[C]) reach(id string, reached map[string]bool) {
	s := c.states[id]
	if s == nil || reached[id] {
		return
	}
	reached[id] = true
	for _, t := range s.transitions {
		c.reach(t.target, reached)
	}
}
