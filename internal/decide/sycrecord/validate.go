package sycrecord

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of fields.
const (
	maxNumber     = 1e9
	maxPriority   = 1000
	maxConcurrent = 100_000
	maxPrefix     = 1024
	maxTimeout    = Duration(24 * time.Hour)
	maxLease      = Duration(time.Hour)
	maxCanary     = 0.5
	hashBytes     = 32
	// rounding is the slack allowed to sums of fractions.
	rounding = 1e-9
)

// Defaults of fields that may be left out.
const (
	DefaultWeight         = 1
	DefaultModelTimeout   = Duration(2 * time.Minute)
	DefaultServiceTimeout = Duration(30 * time.Second)
	DefaultMaxConcurrent  = 32
	DefaultCanary         = 0.05
	DefaultBake           = Duration(30 * time.Second)
	// probationBakes is the default length of the probation in bake times.
	probationBakes = 20
)

// Defaults fills the weight.
func (c *CustomerFields) Defaults() {
	if c.Weight == 0 {
		c.Weight = DefaultWeight
	}
}

func (c *CustomerFields) validate(f *faults) {
	f.require(c.Weight > 0 && c.Weight <= maxNumber, "spec.weight", "must be above 0 and at most 1e9")
	f.require(c.Rate > 0 && c.Rate <= maxNumber, "spec.requests_per_second", "must be above 0 and at most 1e9")
	f.require(c.Burst >= 1 && c.Burst <= maxNumber, "spec.burst", "must be from 1 to 1e9")
	f.require(c.Priority >= -maxPriority && c.Priority <= maxPriority, "spec.priority", "must be from -1000 to 1000")
}

// Defaults does nothing: a key has no optional values.
func (k *KeyFields) Defaults() {}

func (k *KeyFields) validate(f *faults) {
	validateName(k.Customer, "spec.customer", f)
	hash, err := hex.DecodeString(k.SHA256)
	ok := err == nil && len(hash) == hashBytes && strings.ToLower(k.SHA256) == k.SHA256
	f.require(ok, "spec.sha256", "must be 64 lower-case hexadecimal digits")
}

// Defaults fills the timeout by type.
func (r *RouteFields) Defaults() {
	if r.Timeout != 0 {
		return
	}
	r.Timeout = DefaultModelTimeout
	if r.Type == RouteService {
		r.Timeout = DefaultServiceTimeout
	}
}

func (r *RouteFields) validate(f *faults) {
	f.require(strings.HasPrefix(r.Prefix, "/"), "spec.prefix", "must begin with a slash")
	f.require(len(r.Prefix) <= maxPrefix, "spec.prefix", "has %d bytes; at most %d are allowed", len(r.Prefix), maxPrefix)
	f.require(!strings.ContainsAny(r.Prefix, "?#\x00 "), "spec.prefix", "must be a path without query, fragment and spaces")
	f.require(!strings.Contains(r.Prefix, "//"), "spec.prefix", "must have no empty segments")
	f.require(r.Type == RouteModel || r.Type == RouteService, "spec.type", "must be %q or %q", RouteModel, RouteService)
	f.require((r.Type == RouteService) == (r.Service != ""), "spec.service", "is required on service routes and not allowed on others")
	f.require(r.Type == RouteModel || len(r.Models) == 0, "spec.models", "is allowed on model routes only")
	f.require(r.Timeout > 0 && r.Timeout <= maxTimeout, "spec.timeout", "must be above 0 and at most 24h")
	validateNames(r.Models, "spec.models", f)
}

// Defaults fills the number of concurrent requests.
func (e *EndpointFields) Defaults() {
	if e.MaxConcurrent == 0 {
		e.MaxConcurrent = DefaultMaxConcurrent
	}
}

// roles lists the roles that an engine may be given.
var roles = []string{RolePrefill, RoleDecode, RoleBoth}

func (e *EndpointFields) validate(f *faults) {
	validateURL(e.Address, "spec.address", f)
	validateName(e.FailureDomain, "spec.failure_domain", f)
	known := e.Type == EndpointEngine || e.Type == EndpointService || e.Type == EndpointKVStore
	f.require(known, "spec.type", "must be %q, %q or %q", EndpointEngine, EndpointService, EndpointKVStore)
	f.require((e.Type == EndpointService) == (e.Service != ""), "spec.service", "is required on service endpoints and not allowed on others")
	f.require(e.Type == EndpointEngine || len(e.Models) == 0, "spec.models", "is allowed on engines only")
	f.require(e.Role == "" || slices.Contains(roles, e.Role), "spec.role", "must be %q, %q or %q", RolePrefill, RoleDecode, RoleBoth)
	f.require(e.Type == EndpointEngine || e.Role == "", "spec.role", "is allowed on engines only")
	f.require(e.MaxConcurrent > 0 && e.MaxConcurrent <= maxConcurrent, "spec.max_concurrent", "must be from 1 to %d", maxConcurrent)
	validateNames(e.Models, "spec.models", f)
}

// Defaults fills the stages of a rollout.
func (v *VersionFields) Defaults() {
	if v.Initial {
		return
	}
	if v.Canary == 0 {
		v.Canary = DefaultCanary
	}
	if len(v.Steps) == 0 {
		v.Steps = []float64{0.25, 0.5, 1}
	}
	if v.Bake == 0 {
		v.Bake = DefaultBake
	}
}

func (v *VersionFields) validate(f *faults) {
	validateName(v.Model, "spec.model", f)
	validateName(v.Weights, "spec.weights", f)
	if v.Initial {
		return
	}
	f.require(!v.Deadline.IsZero(), "spec.deadline", "is required unless the version is initial")
	f.require(v.Canary > 0 && v.Canary <= maxCanary, "spec.canary_share", "must be above 0 and at most 0.5")
	f.require(v.Bake > 0 && v.Bake <= maxTimeout, "spec.bake", "must be above 0 and at most 24h")
	f.require(v.Probation >= 0 && v.Probation <= maxTimeout, "spec.probation", "must be above 0 and at most 24h")
	former := v.Canary
	for i, step := range v.Steps {
		path := "spec.steps[" + strconv.Itoa(i) + "]"
		f.require(step > former && step <= 1, path, "must be above the share before it and at most 1")
		former = step
	}
	f.require(former == 1, "spec.steps", "must end at 1")
}

// Defaults does nothing: a slot table has no optional values.
func (s *SlotsFields) Defaults() {}

func (s *SlotsFields) validate(f *faults) {
	f.require(s.Share > 0 && s.Share <= 1, "spec.share", "must be above 0 and at most 1")
	names := map[string]bool{}
	addresses := map[string]bool{}
	sum := 0.0
	for i, slot := range s.Slots {
		path := "spec.slots[" + strconv.Itoa(i) + "]"
		validateName(slot.Name, path+".name", f)
		validateAddress(slot.Address, path+".address", f)
		f.require(slot.Fraction > 0 && slot.Fraction <= 1, path+".fraction", "must be above 0 and at most 1")
		f.require(!names[slot.Name], path+".name", "%q is there twice", slot.Name)
		f.require(!addresses[slot.Address], path+".address", "%q is there twice", slot.Address)
		names[slot.Name] = true
		addresses[slot.Address] = true
		sum += slot.Fraction
	}
	f.require(sum <= 1+rounding, "spec.slots", "have fractions of %g together; at most 1 is allowed", sum)
}

// Defaults does nothing: a holder has no optional values.
func (h *HolderFields) Defaults() {}

func (h *HolderFields) validate(f *faults) {
	validateName(h.Address, "spec.address", f)
}

// Defaults does nothing: a lease has no optional values.
func (l *LeaseFields) Defaults() {}

func (l *LeaseFields) validate(f *faults) {
	validateName(l.Address, "spec.address", f)
	f.require(l.Incarnation != "", "spec.incarnation", "is required")
	f.require(l.Duration > 0 && l.Duration <= maxLease, "spec.duration", "must be above 0 and at most 1h")
}

// Defaults does nothing: a rollout has no optional values.
func (r *RolloutFields) Defaults() {}

func (r *RolloutFields) validate(f *faults) {
	f.require(r.State != "", "spec.state", "is required")
	f.require(r.Share >= 0 && r.Share <= 1, "spec.share", "must be from 0 to 1")
	f.require(r.Probation >= 0, "spec.probation", "must not be below 0")
}

func validateNames(names []string, path string, f *faults) {
	for i, name := range names {
		validateName(name, path+"["+strconv.Itoa(i)+"]", f)
	}
}

// validateURL allows a base URL without a path.
func validateURL(text, path string, f *faults) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Scheme+"://"+u.Host == text
	f.require(ok, path, "must be http://host:port or https://host:port, not %q", text)
}

func validateAddress(text, path string, f *faults) {
	_, err := netip.ParseAddrPort(text)
	f.require(err == nil, path, "must be an IP number and port, not %q", text)
}
