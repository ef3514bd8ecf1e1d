// Package sycsite holds a deployment's configuration as VMs act on it: routes,
// services and customers, each version whole. A Config never changes once it
// was made, so that a request sees one version from its start to its end.
package sycsite

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce is a request that runs at most once.
	AtMostOnce Kind = iota
	// Repeatable is a request that may run any number of times.
	Repeatable
	// Stream is a generation that is answered event by event.
	Stream
)

// String names the kind in logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// TrafficShare is a service's part of a route's traffic.
type TrafficShare struct {
	Service string
	Weight  int
}

// Route says where requests below a path of a host go, and how.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another endpoint, and so may be repeated.
	Resumable bool
	// Timeout is the longest time to an answer; 0 sets no bound.
	Timeout time.Duration
	// Objective is the time to the first byte within which an answer is in time.
	Objective time.Duration
	// MaxEventGap is the longest pause between events of a stream that is in time.
	MaxEventGap time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// Attempts is the most endpoints that one request may be sent to; at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	Split  []TrafficShare
}

// Repeats reports whether a request on the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of endpoints that do the same.
type Service struct {
	Name           string
	MaxConnections int
	// Engine reports whether the endpoints are model engines.
	Engine bool
	// CacheTokens is the size of an engine's cache.
	CacheTokens int
	Models      []string
}

// Customer is a holder of keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the use over all VMs; 0 sets no bound.
	Rate  float64
	Burst float64
	// ByTokens means that a request counts by its tokens, and by DefaultTokens
	// if it names none.
	ByTokens      bool
	DefaultTokens int
	// Isolated customers share no cached prompt parts with others.
	Isolated bool
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Fields are the contents of a Config.
type Fields struct {
	// Version rises with every change.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// KeyRequired means that routes which are not open need a key.
	KeyRequired bool
	Limits      Limits
}

// Config is one version of the configuration.
type Config struct {
	fields Fields
	// routes holds the routes of each host, the longest prefix first.
	routes    map[string][]*Route
	customers map[string]*Customer
	services  map[string]*Service
}

// FieldError names the part of a configuration that is wrong.
type FieldError struct {
	Location string
	Reason   string
}

// Error renders the place and the reason.
func (e *FieldError) Error() string { return e.Location + ": " + e.Reason }

// New checks and indexes a configuration. It fails with *FieldError.
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

func (r *Route) check(index int) error {
	place := fmt.Sprintf("route %d (%s)", index, r.Name)
	switch {
	case r.Host == "":
		return &FieldError{Location: place, Reason: "names no host"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{Location: place, Reason: "prefix must begin and end with a slash"}
	case len(r.Split) == 0:
		return &FieldError{Location: place, Reason: "names no service"}
	}
	r.Attempts = max(r.Attempts, 1)
	return nil
}

// Version is the configuration's version.
func (c *Config) Version() int64 { return c.fields.Version }

// Limits bounds what callers may send.
func (c *Config) Limits() Limits { return c.fields.Limits }

// KeyRequired reports whether routes that are not open need a key.
func (c *Config) KeyRequired() bool { return c.fields.KeyRequired }

// Customers lists all customers.
func (c *Config) Customers() []Customer { return c.fields.Customers }

// Services lists all services.
func (c *Config) Services() []Service { return c.fields.Services }

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that holds the key, or nil.
func (c *Config) CustomerByKey(key string) *Customer { return c.customers[key] }

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Pick chooses the service of a request by the route's weights; draw is a
// uniform number below 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(max(s.Weight, 0))
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
