package sycrecord

import "time"

// CustomerFields is the wire form of a customer.
type CustomerFields struct {
	Weight   float64 `json:"weight,omitempty"`
	Rate     float64 `json:"requests_per_second"`
	Burst    float64 `json:"burst"`
	Priority int     `json:"priority,omitempty"`
}

// Customer is a tenant with its share and limits.
type Customer struct {
	name   string
	fields CustomerFields
}

// NewCustomer returns a customer with the given fields.
func NewCustomer(name string, f CustomerFields) Customer {
	return Customer{name: name, fields: f}
}

// Name is the customer's name.
func (c Customer) Name() string { return c.name }

// Weight is the customer's weight in fair queueing; above 0.
func (c Customer) Weight() float64 { return c.fields.Weight }

// Rate is the number of requests a second that the customer may run.
func (c Customer) Rate() float64 { return c.fields.Rate }

// Burst is the number of requests that the customer may run at once after a pause.
func (c Customer) Burst() float64 { return c.fields.Burst }

// Priority is passed to engines; lower values run first.
func (c Customer) Priority() int { return c.fields.Priority }

// KeyFields is the wire form of a key.
type KeyFields struct {
	Customer  string `json:"customer"`
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Key binds the hash of a secret to a customer.
type Key struct {
	name   string
	fields KeyFields
}

// NewKey returns a key with the given fields.
func NewKey(name string, f KeyFields) Key { return Key{name: name, fields: f} }

// Name is the key's name, which is not secret.
func (k Key) Name() string { return k.name }

// Customer is the name of the customer that the key acts for.
func (k Key) Customer() string { return k.fields.Customer }

// SHA256 is the hash of the secret in lower-case hexadecimal.
func (k Key) SHA256() string { return k.fields.SHA256 }

// Withdrawn reports whether the key no longer works.
func (k Key) Withdrawn() bool { return k.fields.Withdrawn }

// RouteFields is the wire form of a route.
type RouteFields struct {
	Prefix     string   `json:"prefix"`
	Type       string   `json:"type"`
	Service    string   `json:"service,omitempty"`
	Models     []string `json:"models,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	Timeout    Duration `json:"timeout,omitempty"`
}

// Types of routes.
const (
	RouteModel   = "model"
	RouteService = "service"
)

// Route maps a path prefix to models or to a plain service.
type Route struct {
	name   string
	fields RouteFields
}

// NewRoute returns a route with the given fields.
func NewRoute(name string, f RouteFields) Route { return Route{name: name, fields: f} }

// Name is the route's name.
func (r Route) Name() string { return r.name }

// Prefix is the path prefix that the route serves, starting with a slash.
func (r Route) Prefix() string { return r.fields.Prefix }

// Type is RouteModel or RouteService.
func (r Route) Type() string { return r.fields.Type }

// Service is the service that endpoints of a service route offer.
func (r Route) Service() string { return r.fields.Service }

// Models lists the models that a model route allows; empty allows all.
func (r Route) Models() []string { return r.fields.Models }

// Open reports whether the route needs no key.
func (r Route) Open() bool { return r.fields.Open }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.fields.Repeatable }

// Timeout bounds a request from its arrival to its last byte.
func (r Route) Timeout() time.Duration { return time.Duration(r.fields.Timeout) }

// EndpointFields is the wire form of an endpoint.
type EndpointFields struct {
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Type          string   `json:"type"`
	Service       string   `json:"service,omitempty"`
	Models        []string `json:"models,omitempty"`
	ChecksFencing bool     `json:"checks_fencing,omitempty"`
	MaxConcurrent int      `json:"max_concurrent,omitempty"`
	Leaving       bool     `json:"leaving,omitempty"`
	Role          string   `json:"role,omitempty"`
}

// Roles of engines. Requests run on engines whose role is RoleBoth.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Types of endpoints.
const (
	EndpointEngine  = "engine"
	EndpointService = "service"
	EndpointKVStore = "kv_store"
)

// Endpoint is a back end that requests are sent to.
type Endpoint struct {
	name   string
	fields EndpointFields
}

// NewEndpoint returns an endpoint with the given fields.
func NewEndpoint(name string, f EndpointFields) Endpoint {
	return Endpoint{name: name, fields: f}
}

// Name is the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// Address is the endpoint's base URL, without a trailing slash.
func (e Endpoint) Address() string { return e.fields.Address }

// FailureDomain is where the endpoint runs.
func (e Endpoint) FailureDomain() string { return e.fields.FailureDomain }

// Type is one of EndpointEngine, EndpointService and EndpointKVStore.
func (e Endpoint) Type() string { return e.fields.Type }

// Service is the service that a service endpoint offers.
func (e Endpoint) Service() string { return e.fields.Service }

// Models lists the models that an engine may load.
func (e Endpoint) Models() []string { return e.fields.Models }

// ChecksFencing reports whether the endpoint refuses orders with an old fencing number.
func (e Endpoint) ChecksFencing() bool { return e.fields.ChecksFencing }

// MaxConcurrent is the number of requests that the endpoint runs together.
func (e Endpoint) MaxConcurrent() int { return e.fields.MaxConcurrent }

// Role is the role that an engine is ordered to take; empty leaves it as it is.
func (e Endpoint) Role() string { return e.fields.Role }

// Leaving reports whether the endpoint must get no new work.
func (e Endpoint) Leaving() bool { return e.fields.Leaving }

// VersionFields is the wire form of an endpoint version.
type VersionFields struct {
	Model    string    `json:"model"`
	Weights  string    `json:"weights"`
	Adapter  string    `json:"adapter,omitempty"`
	Initial  bool      `json:"initial,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Canary   float64   `json:"canary_share,omitempty"`
	Steps    []float64 `json:"steps,omitempty"`
	Bake     Duration  `json:"bake,omitempty"`
	// Probation is 0 for the default.
	Probation Duration `json:"probation,omitempty"`
}

// Version is a set of weights that serves a model, now or after its rollout.
type Version struct {
	name   string
	fields VersionFields
}

// NewVersion returns a version with the given fields.
func NewVersion(name string, f VersionFields) Version { return Version{name: name, fields: f} }

// Name is the version's name.
func (v Version) Name() string { return v.name }

// Model is the model that the version serves.
func (v Version) Model() string { return v.fields.Model }

// Weights names the weights in the weight store.
func (v Version) Weights() string { return v.fields.Weights }

// Adapter names an adapter on the weights; empty for none.
func (v Version) Adapter() string { return v.fields.Adapter }

// Initial reports whether the version serves its model without a rollout.
func (v Version) Initial() bool { return v.fields.Initial }

// Deadline is when the rollout must be done or taken back.
func (v Version) Deadline() time.Time { return v.fields.Deadline }

// Canary is the share of traffic in the first stage, between 0 and 1.
func (v Version) Canary() float64 { return v.fields.Canary }

// Steps lists the shares after the canary stage, ascending; the last is 1.
func (v Version) Steps() []float64 { return v.fields.Steps }

// Bake is the shortest time that each stage lasts.
func (v Version) Bake() time.Duration { return time.Duration(v.fields.Bake) }

// Probation is the shortest time that the predecessor stays loaded after the
// rollout is done.
func (v Version) Probation() time.Duration {
	if v.fields.Probation > 0 {
		return time.Duration(v.fields.Probation)
	}
	return probationBakes * v.Bake()
}

// SlotFields is the wire form of a slot.
type SlotFields struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Fraction float64 `json:"fraction"`
}

// SlotsFields is the wire form of a failure domain's slot table.
type SlotsFields struct {
	Share float64      `json:"share"`
	Slots []SlotFields `json:"slots"`
}

// Slots is the slot table of a failure domain: which VM accrues which fraction
// of every customer's rate.
type Slots struct {
	name   string
	fields SlotsFields
}

// NewSlots returns a slot table with the given fields.
func NewSlots(name string, f SlotsFields) Slots { return Slots{name: name, fields: f} }

// FailureDomain is the domain that the table is for.
func (s Slots) FailureDomain() string { return s.name }

// Share is the domain's fraction of each customer's rate and burst. The shares
// of all domains together are at most 1.
func (s Slots) Share() float64 { return s.fields.Share }

// Slots lists the domain's slots. Their fractions of the domain's share are at most 1
// together, and their names are unique over all domains.
func (s Slots) Slots() []SlotFields { return s.fields.Slots }
