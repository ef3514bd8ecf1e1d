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

// Limits on the values of spec fields.
const (
	// maxAmount limits a customer's weight, rate (requests per second) and burst
	// (requests).
	maxAmount = 1e9
	// maxPriority limits the absolute value of a customer's priority.
	maxPriority = 1000
	// maxConcurrentRequests limits an endpoint's number of concurrent requests.
	maxConcurrentRequests = 100_000
	// maxPrefixBytes limits the length of a route's path prefix in bytes.
	maxPrefixBytes = 1024
	// maxDuration limits a route's timeout and a version's bake time and probation.
	maxDuration = Duration(24 * time.Hour)
	// maxLeaseDuration limits the duration of a lease.
	maxLeaseDuration = Duration(time.Hour)
	// maxCanaryShare limits the traffic share of a rollout's first stage.
	maxCanaryShare = 0.5
	// sha256Bytes is the length of a SHA-256 hash in bytes.
	sha256Bytes = 32
	// fractionTolerance is how far a sum of slot fractions may exceed 1 by
	// floating-point rounding.
	fractionTolerance = 1e-9
)

// Defaults of spec fields that may be left out.
const (
	// DefaultWeight is a customer's weight in fair queueing.
	DefaultWeight = 1
	// DefaultModelTimeout is the timeout of requests on a model route.
	DefaultModelTimeout = Duration(2 * time.Minute)
	// DefaultServiceTimeout is the timeout of requests on a service route.
	DefaultServiceTimeout = Duration(30 * time.Second)
	// DefaultMaxConcurrent is an endpoint's number of concurrent requests.
	DefaultMaxConcurrent = 32
	// DefaultCanary is the traffic share of a rollout's first stage.
	DefaultCanary = 0.05
	// DefaultBake is the shortest time that a stage of a rollout lasts.
	DefaultBake = Duration(30 * time.Second)
	// probationBakes is the default length of a version's probation, as a multiple of
	// its bake time.
	probationBakes = 20
)

// Defaults sets the weight if it was left out.
func (c *CustomerFields) Defaults() {
	if c.Weight == 0 {
		c.Weight = DefaultWeight
	}
}

// validate implements currentFields.
func (c *CustomerFields) validate(f *faults) {
	f.require(c.Weight > 0 && c.Weight <= maxAmount, "spec.weight", "must be above 0 and at most 1e9")
	f.require(c.Rate > 0 && c.Rate <= maxAmount, "spec.requests_per_second", "must be above 0 and at most 1e9")
	f.require(c.Burst >= 1 && c.Burst <= maxAmount, "spec.burst", "must be from 1 to 1e9")
	f.require(c.Priority >= -maxPriority && c.Priority <= maxPriority, "spec.priority", "must be from -1000 to 1000")
}

// Defaults does nothing, because no field of a key has a default.
func (k *KeyFields) Defaults() {}

// validate implements currentFields.
func (k *KeyFields) validate(f *faults) {
	validateName(k.Customer, "spec.customer", f)
	hash, err := hex.DecodeString(k.SHA256)
	ok := err == nil && len(hash) == sha256Bytes && strings.ToLower(k.SHA256) == k.SHA256
	f.require(ok, "spec.sha256", "must be 64 lower-case hexadecimal digits")
}

// Defaults sets the timeout by the route's type if it was left out.
func (r *RouteFields) Defaults() {
	if r.Timeout != 0 {
		return
	}
	r.Timeout = DefaultModelTimeout
	if r.Type == RouteService {
		r.Timeout = DefaultServiceTimeout
	}
}

// validate implements currentFields.
func (r *RouteFields) validate(f *faults) {
	f.require(strings.HasPrefix(r.Prefix, "/"), "spec.prefix", "must begin with a slash")
	f.require(len(r.Prefix) <= maxPrefixBytes, "spec.prefix", "has %d bytes; at most %d are allowed", len(r.Prefix), maxPrefixBytes)
	f.require(!strings.ContainsAny(r.Prefix, "?#\x00 "), "spec.prefix", "must be a path without query, fragment and spaces")
	f.require(!strings.Contains(r.Prefix, "//"), "spec.prefix", "must have no empty segments")
	f.require(r.Type == RouteModel || r.Type == RouteService, "spec.type", "must be %q or %q", RouteModel, RouteService)
	f.require((r.Type == RouteService) == (r.Service != ""), "spec.service", "is required on service routes and not allowed on others")
	f.require(r.Type == RouteModel || len(r.Models) == 0, "spec.models", "is allowed on model routes only")
	f.require(r.Timeout > 0 && r.Timeout <= maxDuration, "spec.timeout", "must be above 0 and at most 24h")
	validateNames(r.Models, "spec.models", f)
}

// Defaults sets the number of concurrent requests if it was left out.
func (e *EndpointFields) Defaults() {
	if e.MaxConcurrent == 0 {
		e.MaxConcurrent = DefaultMaxConcurrent
	}
}

// roles lists the roles that an engine's spec may name.
var roles = []string{RolePrefill, RoleDecode, RoleBoth}

// validate implements currentFields.
func (e *EndpointFields) validate(f *faults) {
	validateURL(e.Address, "spec.address", f)
	validateName(e.FailureDomain, "spec.failure_domain", f)
	known := e.Type == EndpointEngine || e.Type == EndpointService || e.Type == EndpointKVStore
	f.require(known, "spec.type", "must be %q, %q or %q", EndpointEngine, EndpointService, EndpointKVStore)
	f.require((e.Type == EndpointService) == (e.Service != ""), "spec.service", "is required on service endpoints and not allowed on others")
	f.require(e.Type == EndpointEngine || len(e.Models) == 0, "spec.models", "is allowed on engines only")
	f.require(e.Role == "" || slices.Contains(roles, e.Role), "spec.role", "must be %q, %q or %q", RolePrefill, RoleDecode, RoleBoth)
	f.require(e.Type == EndpointEngine || e.Role == "", "spec.role", "is allowed on engines only")
	f.require(e.MaxConcurrent > 0 && e.MaxConcurrent <= maxConcurrentRequests, "spec.max_concurrent", "must be from 1 to %d", maxConcurrentRequests)
	validateNames(e.Models, "spec.models", f)
}

// Defaults sets the rollout's shares and bake time where they were left out. An
// initial version has no rollout and gets none.
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

// validate implements currentFields.
func (v *VersionFields) validate(f *faults) {
	validateName(v.Model, "spec.model", f)
	validateName(v.Weights, "spec.weights", f)
	if v.Initial {
		return
	}
	f.require(!v.Deadline.IsZero(), "spec.deadline", "is required unless the version is initial")
	f.require(v.Canary > 0 && v.Canary <= maxCanaryShare, "spec.canary_share", "must be above 0 and at most 0.5")
	f.require(v.Bake > 0 && v.Bake <= maxDuration, "spec.bake", "must be above 0 and at most 24h")
	f.require(v.Probation >= 0 && v.Probation <= maxDuration, "spec.probation", "must be above 0 and at most 24h")
	previous := v.Canary
	for i, step := range v.Steps {
		path := "spec.steps[" + strconv.Itoa(i) + "]"
		f.require(step > previous && step <= 1, path, "must be above the share of the stage before and at most 1")
		previous = step
	}
	f.require(previous == 1, "spec.steps", "must end at 1")
}

// Defaults does nothing, because no field of a slot table has a default.
func (s *SlotsFields) Defaults() {}

// validate implements currentFields.
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
		f.require(!names[slot.Name], path+".name", "%q appears twice", slot.Name)
		f.require(!addresses[slot.Address], path+".address", "%q appears twice", slot.Address)
		names[slot.Name] = true
		addresses[slot.Address] = true
		sum += slot.Fraction
	}
	f.require(sum <= 1+fractionTolerance, "spec.slots", "have fractions that add up to %g; at most 1 is allowed", sum)
}

// Defaults does nothing, because no field of a slot holder has a default.
func (h *HolderFields) Defaults() {}

// validate implements currentFields.
func (h *HolderFields) validate(f *faults) {
	validateName(h.Address, "spec.address", f)
}

// Defaults does nothing, because no field of a lease has a default.
func (l *LeaseFields) Defaults() {}

// validate implements currentFields.
func (l *LeaseFields) validate(f *faults) {
	validateName(l.Address, "spec.address", f)
	f.require(l.Incarnation != "", "spec.incarnation", "is required")
	f.require(l.Duration > 0 && l.Duration <= maxLeaseDuration, "spec.duration", "must be above 0 and at most 1h")
}

// Defaults does nothing, because no field of a rollout has a default.
func (r *RolloutFields) Defaults() {}

// validate implements currentFields.
func (r *RolloutFields) validate(f *faults) {
	f.require(r.State != "", "spec.state", "is required")
	f.require(r.Share >= 0 && r.Share <= 1, "spec.share", "must be from 0 to 1")
	f.require(r.Probation >= 0, "spec.probation", "must not be below 0")
}

// validateNames validates each name of a list.
func validateNames(names []string, path string, f *faults) {
	for i, name := range names {
		validateName(name, path+"["+strconv.Itoa(i)+"]", f)
	}
}

// validateURL requires an HTTP or HTTPS base URL: a scheme and a host only.
func validateURL(text, path string, f *faults) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Scheme+"://"+u.Host == text
	f.require(ok, path, "must be http://host:port or https://host:port, not %q", text)
}

// validateAddress requires an IP address and a port.
func validateAddress(text, path string, f *faults) {
	_, err := netip.ParseAddrPort(text)
	f.require(err == nil, path, "must be an IP address and port, not %q", text)
}
