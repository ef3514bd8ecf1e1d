package sychealth

import (
	_ "embed" // for the state chart
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
)

// chartFile is the state chart of an endpoint's health in SCXML.
//
//go:embed health.xml
var chartFile []byte

// guardContext is what the chart's guards test: an endpoint's health and the time of
// the event.
type guardContext struct {
	health *Health
	now    time.Duration
}

// chart is the state machine of an endpoint's health. Its guards are the conditions
// that health.xml refers to by name.
var chart = sycchart.MustParse(chartFile, sycchart.Guards[guardContext]{
	"failing":         func(c guardContext) bool { return c.health.failures >= failuresToOut },
	"slow":            func(c guardContext) bool { return c.health.slows >= slowsToSuspect },
	"lastingly_slow":  func(c guardContext) bool { return c.health.slows >= slowsToOut },
	"succeeding":      func(c guardContext) bool { return c.health.successes >= successesToHealthy },
	"over":            func(c guardContext) bool { return c.now >= c.health.until },
	"was_unreachable": func(c guardContext) bool { return c.health.unreachable },
})
