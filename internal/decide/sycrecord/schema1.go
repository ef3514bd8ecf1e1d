package sycrecord

import (
	"math"
	"time"
)

// customer1 is a customer in schema version 1: its rate counts by the minute.
type customer1 struct {
	Weight   float64 `json:"weight,omitempty"`
	Rate     float64 `json:"requests_per_minute"`
	Burst    float64 `json:"burst"`
	Priority int     `json:"priority,omitempty"`
}

func (c customer1) upgrade() CustomerFields {
	return CustomerFields{
		Weight:   c.Weight,
		Rate:     c.Rate / time.Minute.Seconds(),
		Burst:    c.Burst,
		Priority: c.Priority,
	}
}

// route1 is a route in schema version 1: its timeout is a number of seconds.
type route1 struct {
	Prefix     string   `json:"prefix"`
	Type       string   `json:"type"`
	Service    string   `json:"service,omitempty"`
	Models     []string `json:"models,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	Timeout    float64  `json:"timeout_seconds,omitempty"`
}

func (r route1) upgrade() RouteFields {
	return RouteFields{
		Prefix:     r.Prefix,
		Type:       r.Type,
		Service:    r.Service,
		Models:     r.Models,
		Open:       r.Open,
		Repeatable: r.Repeatable,
		Timeout:    seconds(r.Timeout),
	}
}

// endpoint1 is an endpoint in schema version 1: its failure domain is called a zone.
type endpoint1 struct {
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Type    string   `json:"type"`
	Service string   `json:"service,omitempty"`
	Models  []string `json:"models,omitempty"`
	Fencing bool     `json:"checks_fencing,omitempty"`
	Slots   int      `json:"max_concurrent,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

func (e endpoint1) upgrade() EndpointFields {
	return EndpointFields{
		Address:       e.Address,
		FailureDomain: e.Zone,
		Type:          e.Type,
		Service:       e.Service,
		Models:        e.Models,
		ChecksFencing: e.Fencing,
		MaxConcurrent: e.Slots,
		Leaving:       e.Leaving,
	}
}

// version1 is a version in schema version 1: its shares are percentages and its
// stages are timed in seconds.
type version1 struct {
	Model    string    `json:"model"`
	Weights  string    `json:"weights"`
	Adapter  string    `json:"adapter,omitempty"`
	Initial  bool      `json:"initial,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Canary   float64   `json:"canary_percent,omitempty"`
	Steps    []float64 `json:"step_percents,omitempty"`
	Bake     float64   `json:"bake_seconds,omitempty"`
}

const percent = 100

func (v version1) upgrade() VersionFields {
	present := VersionFields{
		Model:    v.Model,
		Weights:  v.Weights,
		Adapter:  v.Adapter,
		Initial:  v.Initial,
		Deadline: v.Deadline,
		Canary:   v.Canary / percent,
		Bake:     seconds(v.Bake),
	}
	for _, step := range v.Steps {
		present.Steps = append(present.Steps, step/percent)
	}
	return present
}

// The forms below are the same in both schema versions.

func (k KeyFields) upgrade() KeyFields         { return k }
func (s SlotsFields) upgrade() SlotsFields     { return s }
func (h HolderFields) upgrade() HolderFields   { return h }
func (l LeaseFields) upgrade() LeaseFields     { return l }
func (r RolloutFields) upgrade() RolloutFields { return r }

// seconds converts a number of seconds; what does not fit becomes the nearest
// duration, which validation then refuses.
func seconds(n float64) Duration {
	nanoseconds := n * float64(time.Second)
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	if nanoseconds <= math.MinInt64 {
		return math.MinInt64
	}
	return Duration(nanoseconds)
}
