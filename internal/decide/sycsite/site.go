// Package sycsite holds a deployment's configuration: routes, services and customers.
// A Config is one complete version. It never changes after New, so that a request
// sees the same version from start to end.
//
// A route maps requests for a host and path prefix to services. A service is a group
// of interchangeable endpoints.
package sycsite

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says how often a route's requests may run, and whether they stream.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests must not run more than once.
	AtMostOnce Kind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the kind's name, for logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// TrafficShare is the share of a route's requests that a service gets: its weight
// divided by the sum of the route's weights.
type TrafficShare struct {
	// Service is the service's name.
	Service string
	Weight  int
}

// Route describes how requests for a host and path prefix are handled.
type Route struct {
	// Name identifies the route in logs and errors.
	Name string
	// Host is the requests' host in lower case, without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Kind says how often the requests may run.
	Kind Kind
	// Resumable streams may be resumed at another endpoint, so their requests may run
	// more than once.
	Resumable bool
	// Timeout limits the time to an answer; 0 sets no limit.
	Timeout time.Duration
	// Objective is the target for the time to the first byte of an answer.
	Objective time.Duration
	// MaxEventGap is the target for the longest pause between two events of a stream.
	// Nothing reads it.
	MaxEventGap time.Duration
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// Attempts limits how many endpoints one request is tried at; at least 1.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Split lists the services that share the route's requests.
	Split []TrafficShare
}

// Repeats reports whether the route's requests may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the configured limit on connections. Nothing enforces it.
	MaxConnections int
	// Engine is true if the endpoints are engines, which run language models.
	Engine bool
	// CacheTokens is the size of an engine's cache, in tokens.
	CacheTokens int
	// CacheTokenBytes is the size of a cached token, in bytes; 0 if unknown.
	CacheTokenBytes int
	// Models lists the models that the engines run.
	Models []string
	// ColdStart is how long an endpoint is cold after its start, and ColdRate how many requests a second it
	// tolerates then, from all VMs together; 0 if any number.
	ColdStart time.Duration
	ColdRate  float64
}

// Customer is a party that sends requests with API keys of its own.
type Customer struct {
	// Name identifies the customer.
	Name string
	// Keys are the customer's API keys.
	Keys []string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// Rate and Burst are the refill per second and the size of the token bucket that
	// limits the customer's use over all VMs, in requests or tokens; 0 sets no limit.
	Rate  float64
	Burst float64
	// ByTokens is true if the limit counts tokens instead of requests. DefaultTokens is
	// what a request counts that doesn't state its number of tokens.
	ByTokens      bool
	DefaultTokens int
	// Isolated customers share no cached prompt blocks with other customers.
	Isolated bool
}

// Limits holds the limits on callers' HTTP requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request's header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime limits the time that a caller takes to send the header.
	HeaderTime time.Duration
	// IdleTime limits how long a connection stays open without a request.
	IdleTime time.Duration
}

// Fields holds the contents of a Config.
type Fields struct {
	// Version identifies the configuration. It increases with every change.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// KeyRequired is true if routes that aren't public need an API key.
	KeyRequired bool
	Limits      Limits
}

// Config is one version of the configuration.
type Config struct {
	fields Fields
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]*Route
	// customers holds the customers by API key.
	customers map[string]*Customer
	// services holds the services by name.
	services map[string]*Service
}

// FieldError describes a part of a configuration that is wrong.
type FieldError struct {
	// Location names the part, such as a route by its index and name.
	Location string
	// Reason says what is wrong with it.
	Reason string
}

// Error returns the location and the reason.
func (e *FieldError) Error() string { return e.Location + ": " + e.Reason }

// New checks and indexes a configuration. It returns a *FieldError if a route is
// invalid.
func New(f Fields) (*Config, error) {
	c := &Config{
		fields:    f,
		routes:    map[string][]*Route{},
		customers: map[string]*Customer{},
		services:  map[string]*Service{},
	}
	for i := range f.Services {
		c.services[f.Services[i].Name] = &f.Services[i]
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		if err := r.check(i); err != nil {
			return nil, err
		}
		r.Host = strings.ToLower(r.Host)
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range f.Customers {
		customer := &f.Customers[i]
		for _, key := range customer.Keys {
			c.customers[key] = customer
		}
	}
	return c, nil
}

// check validates the route and sets Attempts to at least 1. Index is the route's
// position in the configuration, for errors.
func (r *Route) check(index int) error {
	location := fmt.Sprintf("route %d (%s)", index, r.Name)
	switch {
	case r.Host == "":
		return &FieldError{Location: location, Reason: "names no host"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{Location: location, Reason: "prefix must begin and end with a slash"}
	case len(r.Split) == 0:
		return &FieldError{Location: location, Reason: "names no service"}
	}
	r.Attempts = max(r.Attempts, 1)
	return nil
}

// Version returns the configuration's version.
func (c *Config) Version() int64 { return c.fields.Version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.fields.Limits }

// KeyRequired reports whether routes that aren't public need an API key.
func (c *Config) KeyRequired() bool { return c.fields.KeyRequired }

// Customers returns all customers.
func (c *Config) Customers() []Customer { return c.fields.Customers }

// Services returns all services.
func (c *Config) Services() []Service { return c.fields.Services }

// ServiceNames returns the names of all services that the configuration lists or that a route sends requests to, ordered.
func (c *Config) ServiceNames() []string {
	names := map[string]bool{}
	for _, s := range c.fields.Services {
		names[s.Name] = true
	}
	for _, r := range c.fields.Routes {
		for _, s := range r.Split {
			names[s.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer with this API key, or nil.
func (c *Config) CustomerByKey(key string) *Customer { return c.customers[key] }

// Service returns the service with this name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Pick returns the service for a request by the route's traffic shares. Draw is a
// uniformly distributed number from 0 up to, but not including, 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	rest := draw * float64(total)
	for _, s := range r.Split {
		rest -= float64(max(s.Weight, 0))
		if rest < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
