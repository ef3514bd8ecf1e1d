package sycrecord

import "time"

// CustomerFields is the JSON form of a customer's spec.
type CustomerFields struct {
	// Weight is the customer's weight in fair queueing; 0 means DefaultWeight.
	Weight float64 `json:"weight,omitempty"`
	// Rate is the number of requests per second that the customer may start.
	Rate float64 `json:"requests_per_second"`
	// Burst is the capacity of the customer's token bucket, in requests.
	Burst float64 `json:"burst"`
	// Priority is the scheduling priority sent to engines; lower values run first.
	Priority int `json:"priority,omitempty"`
}

// Customer is a tenant with its queueing weight, rate limit and priority.
type Customer struct {
	name string
	// fields is the spec in the newest schema version.
	fields CustomerFields
}

// NewCustomer returns the customer with the given name and fields.
func NewCustomer(name string, f CustomerFields) Customer {
	return Customer{name: name, fields: f}
}

// Name returns the customer's unique name.
func (c Customer) Name() string { return c.name }

// Weight returns the customer's weight in fair queueing; it is above 0.
func (c Customer) Weight() float64 { return c.fields.Weight }

// Rate returns the number of requests per second that the customer may start.
func (c Customer) Rate() float64 { return c.fields.Rate }

// Burst returns the number of requests that the customer may start at once after
// an idle time, which is the capacity of its token bucket.
func (c Customer) Burst() float64 { return c.fields.Burst }

// Priority returns the scheduling priority that is sent to engines with the
// customer's requests; lower values run first.
func (c Customer) Priority() int { return c.fields.Priority }

// KeyFields is the JSON form of an API key's spec.
type KeyFields struct {
	// Customer is the name of the customer that the key authenticates.
	Customer string `json:"customer"`
	// SHA256 is the hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Withdrawn marks a revoked key, which authenticates nobody.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Key is an API key: it binds the hash of a secret to a customer.
type Key struct {
	name string
	// fields is the spec in the newest schema version.
	fields KeyFields
}

// NewKey returns the API key with the given name and fields.
func NewKey(name string, f KeyFields) Key { return Key{name: name, fields: f} }

// Name returns the key's unique name, which is not secret.
func (k Key) Name() string { return k.name }

// Customer returns the name of the customer that the key authenticates.
func (k Key) Customer() string { return k.fields.Customer }

// SHA256 returns the hash of the secret in lower-case hexadecimal.
func (k Key) SHA256() string { return k.fields.SHA256 }

// Withdrawn reports whether the key was revoked and authenticates nobody.
func (k Key) Withdrawn() bool { return k.fields.Withdrawn }

// RouteFields is the JSON form of a route's spec.
type RouteFields struct {
	// Prefix is the URL path prefix that the route serves, beginning with a slash.
	Prefix string `json:"prefix"`
	// Type is RouteModel or RouteService.
	Type string `json:"type"`
	// Service is the service that requests go to; set on service routes only.
	Service string `json:"service,omitempty"`
	// Models lists the models that a model route allows; empty allows all.
	Models []string `json:"models,omitempty"`
	// Open lets callers use the route without an API key.
	Open bool `json:"open,omitempty"`
	// Repeatable allows a service request to be sent to a second endpoint after a
	// first one may have run it.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout limits a request from its arrival to its last byte; 0 means
	// DefaultModelTimeout or DefaultServiceTimeout, by type.
	Timeout Duration `json:"timeout,omitempty"`
}

// Types of routes.
const (
	// RouteModel is a route whose requests run on engines that serve a model.
	RouteModel = "model"
	// RouteService is a route whose requests go to endpoints of a plain HTTP service.
	RouteService = "service"
)

// Route maps a URL path prefix to models or to a plain HTTP service.
type Route struct {
	name string
	// fields is the spec in the newest schema version.
	fields RouteFields
}

// NewRoute returns the route with the given name and fields.
func NewRoute(name string, f RouteFields) Route { return Route{name: name, fields: f} }

// Name returns the route's unique name.
func (r Route) Name() string { return r.name }

// Prefix returns the URL path prefix that the route serves, beginning with a slash.
func (r Route) Prefix() string { return r.fields.Prefix }

// Type returns RouteModel or RouteService.
func (r Route) Type() string { return r.fields.Type }

// Service returns the service that a service route's requests go to.
func (r Route) Service() string { return r.fields.Service }

// Models returns the models that a model route allows; empty allows all.
func (r Route) Models() []string { return r.fields.Models }

// Open reports whether callers may use the route without an API key.
func (r Route) Open() bool { return r.fields.Open }

// Repeatable reports whether a service request may be sent to a second endpoint
// after a first one may have run it.
func (r Route) Repeatable() bool { return r.fields.Repeatable }

// Timeout returns the longest time from a request's arrival to the last byte of
// its response.
func (r Route) Timeout() time.Duration { return time.Duration(r.fields.Timeout) }

// EndpointFields is the JSON form of an endpoint's spec.
type EndpointFields struct {
	// Address is the endpoint's base URL, without a trailing slash.
	Address string `json:"address"`
	// FailureDomain names the failure domain that the endpoint runs in.
	FailureDomain string `json:"failure_domain"`
	// Type is EndpointEngine, EndpointService or EndpointKVStore.
	Type string `json:"type"`
	// Service is the service that the endpoint offers; set on service endpoints only.
	Service string `json:"service,omitempty"`
	// Models lists the models that an engine may load.
	Models []string `json:"models,omitempty"`
	// ChecksFencing is set if the engine rejects an order of the rollouts' leader whose
	// fencing number is older than one that the engine has seen.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MaxConcurrent is the number of requests that the endpoint runs at the same
	// time; 0 means DefaultMaxConcurrent.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Leaving is set if the endpoint is being drained and gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Role is the role that the engine is ordered to take; empty orders none.
	Role string `json:"role,omitempty"`
}

// Roles of engines. Requests run on engines whose role is RoleBoth.
const (
	// RolePrefill is for engines that only compute prompts (prefill).
	RolePrefill = "prefill"
	// RoleDecode is for engines that only generate output tokens (decode).
	RoleDecode = "decode"
	// RoleBoth is for engines that do prefill and decode.
	RoleBoth = "both"
)

// Types of endpoints.
const (
	// EndpointEngine is an endpoint that runs models.
	EndpointEngine = "engine"
	// EndpointService is an endpoint of a plain HTTP service.
	EndpointService = "service"
	// EndpointKVStore is an endpoint that stores prompt blocks (key-value cache)
	// for engines.
	EndpointKVStore = "kv_store"
)

// Endpoint is a back end: an engine, a server of a plain HTTP service, or a store
// of prompt blocks.
type Endpoint struct {
	name string
	// fields is the spec in the newest schema version.
	fields EndpointFields
}

// NewEndpoint returns the endpoint with the given name and fields.
func NewEndpoint(name string, f EndpointFields) Endpoint {
	return Endpoint{name: name, fields: f}
}

// Name returns the endpoint's unique name.
func (e Endpoint) Name() string { return e.name }

// Address returns the endpoint's base URL, without a trailing slash.
func (e Endpoint) Address() string { return e.fields.Address }

// FailureDomain returns the failure domain that the endpoint runs in.
func (e Endpoint) FailureDomain() string { return e.fields.FailureDomain }

// Type returns EndpointEngine, EndpointService or EndpointKVStore.
func (e Endpoint) Type() string { return e.fields.Type }

// Service returns the service that a service endpoint offers.
func (e Endpoint) Service() string { return e.fields.Service }

// Models returns the models that an engine may load.
func (e Endpoint) Models() []string { return e.fields.Models }

// ChecksFencing reports whether the engine rejects an order of the rollouts' leader
// whose fencing number is older than one that the engine has seen.
func (e Endpoint) ChecksFencing() bool { return e.fields.ChecksFencing }

// MaxConcurrent returns the number of requests that the endpoint runs at the same
// time.
func (e Endpoint) MaxConcurrent() int { return e.fields.MaxConcurrent }

// Role returns the role that the engine is ordered to take; empty means that the
// engine keeps its own.
func (e Endpoint) Role() string { return e.fields.Role }

// Leaving reports whether the endpoint is being drained and gets no new requests.
func (e Endpoint) Leaving() bool { return e.fields.Leaving }

// VersionFields is the JSON form of a version's spec.
type VersionFields struct {
	// Model is the model that the version serves.
	Model string `json:"model"`
	// Weights names the version's weights in the weight store.
	Weights string `json:"weights"`
	// Adapter names an adapter that is applied to the weights; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Initial makes the version serve its model at once, without a rollout.
	Initial bool `json:"initial,omitempty"`
	// Deadline is when the rollout must be finished or rolled back.
	Deadline time.Time `json:"deadline,omitzero"`
	// Canary is the traffic share of the rollout's first stage; 0 means DefaultCanary.
	Canary float64 `json:"canary_share,omitempty"`
	// Steps lists the traffic shares of the stages after the canary stage, ascending
	// to 1; empty means a quarter, a half and all.
	Steps []float64 `json:"steps,omitempty"`
	// Bake is the shortest time that each stage lasts; 0 means DefaultBake.
	Bake Duration `json:"bake,omitempty"`
	// Probation is the shortest time that the predecessor stays loaded after the
	// rollout is done; 0 means probationBakes times the bake time.
	Probation Duration `json:"probation,omitempty"`
}

// Version is a set of weights that serves a model, either now or once its rollout
// (the stepwise shift of the model's traffic to it) is done.
type Version struct {
	name string
	// fields is the spec in the newest schema version.
	fields VersionFields
}

// NewVersion returns the version with the given name and fields.
func NewVersion(name string, f VersionFields) Version { return Version{name: name, fields: f} }

// Name returns the version's unique name.
func (v Version) Name() string { return v.name }

// Model returns the model that the version serves.
func (v Version) Model() string { return v.fields.Model }

// Weights returns the name of the version's weights in the weight store.
func (v Version) Weights() string { return v.fields.Weights }

// Adapter returns the name of the adapter that is applied to the weights; empty
// for none.
func (v Version) Adapter() string { return v.fields.Adapter }

// Initial reports whether the version serves its model at once, without a rollout.
func (v Version) Initial() bool { return v.fields.Initial }

// Deadline returns when the rollout must be finished or rolled back.
func (v Version) Deadline() time.Time { return v.fields.Deadline }

// Canary returns the traffic share of the rollout's first stage, above 0 and at most
// maxCanaryShare.
func (v Version) Canary() float64 { return v.fields.Canary }

// Steps returns the traffic shares of the stages after the canary stage, ascending;
// the last is 1.
func (v Version) Steps() []float64 { return v.fields.Steps }

// Bake returns the shortest time that each stage of the rollout lasts.
func (v Version) Bake() time.Duration { return time.Duration(v.fields.Bake) }

// Probation returns the shortest time that the predecessor stays loaded after the
// rollout is done, so that the version can still be rolled back.
func (v Version) Probation() time.Duration {
	if v.fields.Probation > 0 {
		return time.Duration(v.fields.Probation)
	}
	return probationBakes * v.Bake()
}

// SlotFields is the JSON form of a rate slot: a fraction of every customer's rate
// that one VM grants.
type SlotFields struct {
	// Name identifies the slot; it is unique over all failure domains.
	Name string `json:"name"`
	// Address is the peer address (IP and port) of the VM that the slot belongs to,
	// unless a Holder record gives the slot to another VM.
	Address string `json:"address"`
	// Fraction is the slot's fraction of the failure domain's share, above 0 and at
	// most 1.
	Fraction float64 `json:"fraction"`
}

// SlotsFields is the JSON form of a slot table's spec.
type SlotsFields struct {
	// Share is the failure domain's fraction of each customer's rate and burst.
	Share float64 `json:"share"`
	// Slots lists the failure domain's rate slots.
	Slots []SlotFields `json:"slots"`
}

// Slots is the slot table of a failure domain: it gives each of the domain's VMs a
// fraction of every customer's rate limit to grant.
type Slots struct {
	// name is the name of the failure domain.
	name string
	// fields is the spec in the newest schema version.
	fields SlotsFields
}

// NewSlots returns the slot table of the failure domain name.
func NewSlots(name string, f SlotsFields) Slots { return Slots{name: name, fields: f} }

// FailureDomain returns the failure domain that the table is for.
func (s Slots) FailureDomain() string { return s.name }

// Share returns the failure domain's fraction of each customer's rate and burst.
// The shares of all failure domains add up to at most 1.
func (s Slots) Share() float64 { return s.fields.Share }

// Slots returns the failure domain's rate slots. Their fractions add up to at most
// 1, and their names are unique over all failure domains.
func (s Slots) Slots() []SlotFields { return s.fields.Slots }
