package sycchart_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
)

// guards holds the one guard that the charts of these tests use.
var guards = sycchart.Guards[int]{
	"many": func(n int) bool { return n > 3 },
}

// door is a chart with a guarded and an unguarded transition for the same event.
const door = `<scxml name="door" initial="open">
  <state id="open">
    <transition event="push" cond="many" target="broken"/>
    <transition event="push" target="closed"/>
  </state>
  <state id="closed"><transition event="pull" target="open"/></state>
  <final id="broken"/>
</scxml>`

func TestFire(t *testing.T) {
	chart, err := sycchart.Parse([]byte(door), guards)
	must.NoError(t, err)
	tests := []struct {
		name, state, event string
		context            int
		next               string
		taken              bool
	}{
		{"guard holds", "open", "push", 4, "broken", true},
		{"guard fails", "open", "push", 3, "closed", true},
		{"event is not matched", "open", "pull", 4, "open", false},
		{"final state", "broken", "push", 4, "broken", false},
		{"unknown state", "ajar", "push", 4, "ajar", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, taken := chart.Fire(tt.state, tt.event, tt.context)
			must.Eq(t, tt.next, next)
			must.Eq(t, tt.taken, taken)
		})
	}
	must.Eq(t, "open", chart.Initial())
	must.True(t, chart.Final("broken"))
	must.Eq(t, []string{"push"}, chart.Events("open"))
}

func TestParseRejects(t *testing.T) {
	tests := []struct {
		name, chart, reason string
	}{
		{"not XML", `plain text`, "is not a chart"},
		{"unknown initial", `<scxml initial="x"><final id="a"/></scxml>`, "initial state \"x\" is unknown"},
		{"unreachable", `<scxml initial="a"><final id="a"/><final id="b"/></scxml>`, "cannot be reached"},
		{"dead end", `<scxml initial="a"><state id="a"/></scxml>`, "cannot be left"},
		{
			"unknown guard",
			`<scxml initial="a"><state id="a"><transition event="e" cond="no" target="a"/></state></scxml>`,
			"guard \"no\" is unknown",
		},
		{
			"unknown target",
			`<scxml initial="a"><state id="a"><transition event="e" target="z"/></state></scxml>`,
			"target \"z\"",
		},
		{
			"two unguarded",
			`<scxml initial="a"><state id="a"><transition event="e" target="a"/><transition event="e" target="a"/></state></scxml>`,
			"ambiguous",
		},
		{
			"guarded after unguarded",
			`<scxml initial="a"><state id="a"><transition event="e" target="a"/><transition event="e" cond="many" target="a"/></state></scxml>`,
			"ambiguous",
		},
		{
			"same guard twice",
			`<scxml initial="a"><state id="a"><transition event="e" cond="many" target="a"/><transition event="e" cond="many" target="a"/></state></scxml>`,
			"ambiguous",
		},
		{"declared twice", `<scxml initial="a"><final id="a"/><final id="a"/></scxml>`, "declared twice"},
		{"unknown element", `<scxml initial="a"><parallel/><final id="a"/></scxml>`, "element \"parallel\" is unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := sycchart.Parse([]byte(tt.chart), guards)
			var faults *sycchart.Faults
			must.True(t, errors.As(err, &faults))
			must.StrContains(t, err.Error(), tt.reason)
		})
	}
}
