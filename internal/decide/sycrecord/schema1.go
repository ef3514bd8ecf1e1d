package sycrecord

import (
	"math"
	"time"
)

// customerV1 is a customer's spec in schema version 1. It differs from CustomerFields
// in the rate, which is in requests per minute.
type customerV1 struct {
	Weight   float64 `json:"weight,omitempty"`
	Rate     float64 `json:"requests_per_minute"`
	Burst    float64 `json:"burst"`
	Priority int     `json:"priority,omitempty"`
}

// upgrade implements schema1Form.
func (c customerV1) upgrade() CustomerFields {
	return CustomerFields{
		Weight:   c.Weight,
		Rate:     c.Rate / time.Minute.Seconds(),
		Burst:    c.Burst,
		Priority: c.Priority,
	}
}

// routeV1 is a route's spec in schema version 1. It differs from RouteFields in the
// timeout, which is a number of seconds.
type routeV1 struct {
	Prefix     string   `json:"prefix"`
	Type       string   `json:"type"`
	Service    string   `json:"service,omitempty"`
	Models     []string `json:"models,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	Timeout    float64  `json:"timeout_seconds,omitempty"`
}

// upgrade implements schema1Form.
func (r routeV1) upgrade() RouteFields {
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

// endpointV1 is an endpoint's spec in schema version 1. It differs from EndpointFields
// in that it calls the failure domain a zone and has no role.
type endpointV1 struct {
	Address       string   `json:"address"`
	Zone          string   `json:"zone"`
	Type          string   `json:"type"`
	Service       string   `json:"service,omitempty"`
	Models        []string `json:"models,omitempty"`
	ChecksFencing bool     `json:"checks_fencing,omitempty"`
	MaxConcurrent int      `json:"max_concurrent,omitempty"`
	Leaving       bool     `json:"leaving,omitempty"`
}

// upgrade implements schema1Form.
func (e endpointV1) upgrade() EndpointFields {
	return EndpointFields{
		Address:       e.Address,
		FailureDomain: e.Zone,
		Type:          e.Type,
		Service:       e.Service,
		Models:        e.Models,
		ChecksFencing: e.ChecksFencing,
		MaxConcurrent: e.MaxConcurrent,
		Leaving:       e.Leaving,
	}
}

// versionV1 is a version's spec in schema version 1. It differs from VersionFields in
// that its traffic shares are percentages, its bake time is a number of seconds, and it
// has no probation.
type versionV1 struct {
	Model    string    `json:"model"`
	Weights  string    `json:"weights"`
	Adapter  string    `json:"adapter,omitempty"`
	Initial  bool      `json:"initial,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Canary   float64   `json:"canary_percent,omitempty"`
	Steps    []float64 `json:"step_percents,omitempty"`
	Bake     float64   `json:"bake_seconds,omitempty"`
}

// percent is the number of percent points in a share of 1.
const percent = 100

// upgrade implements schema1Form.
func (v versionV1) upgrade() VersionFields {
	upgraded := VersionFields{
		Model:    v.Model,
		Weights:  v.Weights,
		Adapter:  v.Adapter,
		Initial:  v.Initial,
		Deadline: v.Deadline,
		Canary:   v.Canary / percent,
		Bake:     seconds(v.Bake),
	}
	for _, step := range v.Steps {
		upgraded.Steps = append(upgraded.Steps, step/percent)
	}
	return upgraded
}

// The specs of the kinds below are the same in both schema versions, so that each
// implements schema1Form by returning itself.

func (k KeyFields) upgrade() KeyFields         { return k }
func (s SlotsFields) upgrade() SlotsFields     { return s }
func (h HolderFields) upgrade() HolderFields   { return h }
func (l LeaseFields) upgrade() LeaseFields     { return l }
func (r RolloutFields) upgrade() RolloutFields { return r }

// seconds converts a number of seconds to a Duration. A number outside the range
// becomes the nearest Duration, which validation then rejects.
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
