// Package qlroute looks up the route, service and customer of a request.
//
// A Table is built from one revision of the configuration and is immutable, so
// a request that holds a table uses a single revision from start to end. A
// document that contains an invalid route is rejected as a whole.
//
// # Usage
//
//	table, err := qlroute.Build(document)
//	route := table.Match(host, path)          // nil: no such route
//	customer := table.Customer(key)           // nil: no such key
//	service := table.Service(route.Target(hash))
package qlroute

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Route is one route of a Table.
type Route struct {
	config RouteConfig
	// totalWeight is the sum of the targets' weights.
	totalWeight int
}

// Name returns the route's name.
func (r *Route) Name() string {
	return r.config.Name
}

// Kind returns the kind of the route.
func (r *Route) Kind() Kind {
	return r.config.Kind
}

// Timeout returns the time limit on the whole request; 0 for none.
func (r *Route) Timeout() time.Duration {
	return r.config.Timeout
}

// LatencyObjective returns the time within which the whole answer, or the first
// event of a stream, should reach the caller.
func (r *Route) LatencyObjective() time.Duration {
	return r.config.Goal
}

// MaxAttempts returns how many times one request may be sent to upstreams.
func (r *Route) MaxAttempts() int {
	return r.config.MaxAttempts
}

// Public reports whether the route accepts requests without an API key.
func (r *Route) Public() bool {
	return r.config.Public
}

// Resumable reports whether streams may be resumed at another upstream.
func (r *Route) Resumable() bool {
	return r.config.Resumable
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.config.Kind == Idempotent || r.config.Kind == Streaming && r.config.Resumable
}

// Target returns the name of the service for a request with the given hash,
// chosen by weight. If all weights are 0 it is the first service.
func (r *Route) Target(hash uint64) string {
	if r.totalWeight == 0 {
		return r.config.Targets[0].Service
	}
	rest := int(hash % uint64(r.totalWeight))
	for _, target := range r.config.Targets {
		rest -= target.Weight
		if rest < 0 {
			return target.Service
		}
	}
	return r.config.Targets[0].Service
}

// Service is a group of interchangeable upstreams.
type Service struct {
	config ServiceConfig
}

// Name returns the service's name.
func (s *Service) Name() string {
	return s.config.Name
}

// MaxConnections returns the number of connections that an upstream accepts
// from all routers together; 0 for no limit.
func (s *Service) MaxConnections() int {
	return s.config.MaxConnections
}

// Engine returns the description of the service's engines, or nil for a plain
// service.
func (s *Service) Engine() *EngineConfig {
	return s.config.Engine
}

// WarmUp returns how the service's upstreams warm up; zero if they don't.
func (s *Service) WarmUp() WarmUp {
	return s.config.WarmUp
}

// Customer is a customer who holds API keys.
type Customer struct {
	name string
}

// Name returns the customer's name.
func (c *Customer) Name() string {
	return c.name
}

// Table is one revision of the configuration, indexed for look-ups. It is
// immutable and safe for concurrent use.
type Table struct {
	revision uint64
	limits   Limits
	// routesByHost holds the routes by host in lower case and path prefix.
	routesByHost map[string]map[string]*Route
	services     map[string]*Service
	// customersByKey holds the customers by API key.
	customersByKey map[string]*Customer
	requiresKey    bool
	routeCount     int
}

// Build validates a document and returns its table.
func Build(document *Document) (*Table, error) {
	table := &Table{
		revision:       document.Revision,
		limits:         document.Limits,
		routesByHost:   make(map[string]map[string]*Route),
		services:       make(map[string]*Service),
		customersByKey: make(map[string]*Customer),
		requiresKey:    len(document.Customers) > 0,
		routeCount:     len(document.Routes),
	}
	for _, service := range document.Services {
		table.services[service.Name] = &Service{
			config: service,
		}
	}
	for i, route := range document.Routes {
		if err := table.addRoute(route); err != nil {
			return nil, errors.Annotatef(err, "route %d (%q)", i, route.Name)
		}
	}
	for _, customer := range document.Customers {
		shared := &Customer{
			name: customer.Name,
		}
		for _, key := range customer.Keys {
			table.customersByKey[key] = shared
		}
	}
	return table, nil
}

// addRoute validates a route and adds it to the table.
func (t *Table) addRoute(config RouteConfig) error {
	if !strings.HasPrefix(config.Prefix, "/") || !strings.HasSuffix(config.Prefix, "/") {
		return errors.NotValidf("prefix %q (begin and end it with a slash)", config.Prefix)
	}
	if config.Kind < Idempotent || config.Kind > Streaming {
		return errors.NotValidf("kind %d", config.Kind)
	}
	if len(config.Targets) == 0 {
		return errors.NotValidf("a route without a service")
	}
	route := &Route{
		config: config,
	}
	for _, target := range config.Targets {
		if t.services[target.Service] == nil {
			return errors.NotFoundf("service %q", target.Service)
		}
		if target.Weight < 0 {
			return errors.NotValidf("weight %d of service %q", target.Weight, target.Service)
		}
		route.totalWeight += target.Weight
	}
	host := strings.ToLower(config.Host)
	if t.routesByHost[host] == nil {
		t.routesByHost[host] = make(map[string]*Route)
	}
	t.routesByHost[host][config.Prefix] = route
	return nil
}

// Revision returns the configuration's revision.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Limits returns the limits on the requests and connections of callers.
func (t *Table) Limits() Limits {
	return t.limits
}

// RequiresKey reports whether requests to routes that are not public need the
// API key of a customer. It is false if no customers are configured.
func (t *Table) RequiresKey() bool {
	return t.requiresKey
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	return t.routeCount
}

// Match returns the route of the host with the longest prefix of the path, or
// nil if there is none. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Customer returns the customer who holds the API key, or nil.
func (t *Table) Customer(key string) *Customer {
	return t.customersByKey[key]
}
