package sychealth

import (
	_ "embed" // for the state chart
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
)

//go:embed health.xml
var chartFile []byte

// moment is a health at a time, the context of the chart's guards.
type moment struct {
	health *Health
	now    time.Duration
}

var chart = sycchart.MustParse(chartFile, sycchart.Guards[moment]{
	"failing":         func(m moment) bool { return m.health.failures >= failuresOut },
	"slow":            func(m moment) bool { return m.health.slows >= slowsSuspect },
	"lastingly_slow":  func(m moment) bool { return m.health.slows >= slowsOut },
	"succeeding":      func(m moment) bool { return m.health.successes >= successesHealthy },
	"over":            func(m moment) bool { return m.now >= m.health.until },
	"was_unreachable": func(m moment) bool { return m.health.unreachable },
})
