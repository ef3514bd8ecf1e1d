package sycsuspect

import (
	_ "embed" // for the state chart

	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
)

// chartFile is the state chart of a block in SCXML.
//
//go:embed suspect.xml
var chartFile []byte

// State is the state of a block.
type State string

// States of blocks.
const (
	// Sound blocks aren't suspected. A Tracker keeps nothing of them.
	Sound State = "sound"
	// Suspected blocks were in flight at an endpoint that ended, and haven't been answered
	// since. Requests with them are sent as usual.
	Suspected State = "suspected"
	// Held blocks were in flight at several endpoints that ended one after the other. One
	// request with them is sent at a time.
	Held State = "held"
	// Convicted blocks end endpoints. No request with them is sent until the next check.
	Convicted State = "convicted"
	// Checking blocks are convicted blocks with which this VM has sent one request, to find
	// out if they still end endpoints.
	Checking State = "checking"
)

// event is what may change a block's state.
type event string

// Events of blocks.
const (
	eventBroken     event = "broken"
	eventProved     event = "proved"
	eventServed     event = "served"
	eventExplained  event = "explained"
	eventAdopted    event = "adopted"
	eventLifted     event = "lifted"
	eventChecked    event = "checked"
	eventUnfinished event = "unfinished"
)

// chart is the state machine of a block. Its guards are the conditions that suspect.xml refers
// to by name.
var chart = sycchart.MustParse(chartFile, sycchart.Guards[Evidence]{
	"holding":  func(e Evidence) bool { return e.holds() },
	"harmless": func(e Evidence) bool { return !e.holds() },
})
