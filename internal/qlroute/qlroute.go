// Package qlroute finds the route, service and customer of a request.
//
// A Table is built whole from one revision of the configuration and never
// changes, so a request sees one revision from start to end.
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

// Route is one entry of the table.
type Route struct {
	config RouteConfig
	total  int
}

// Name returns the route's name.
func (r *Route) Name() string {
	return r.config.Name
}

// Kind returns what may be repeated.
func (r *Route) Kind() Kind {
	return r.config.Kind
}

// Timeout returns the bound on the whole request.
func (r *Route) Timeout() time.Duration {
	return r.config.Timeout
}

// LatencyObjective returns the latency objective.
func (r *Route) LatencyObjective() time.Duration {
	return r.config.Goal
}

// MaxAttempts returns how many upstreams one request may be sent to.
func (r *Route) MaxAttempts() int {
	return r.config.MaxAttempts
}

// Public reports whether the route needs no key.
func (r *Route) Public() bool {
	return r.config.Public
}

// Resumable reports whether streams may go on at another upstream.
func (r *Route) Resumable() bool {
	return r.config.Resumable
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.config.Kind == Idempotent || r.config.Kind == Streaming && r.config.Resumable
}

// Target returns the service for a request with the hash, by weight.
func (r *Route) Target(hash uint64) string {
	if r.total == 0 {
		return r.config.Targets[0].Service
	}
	rest := int(hash % uint64(r.total))
	for _, target := range r.config.Targets {
		rest -= target.Weight
		if rest < 0 {
			return target.Service
		}
	}
	return r.config.Targets[0].Service
}

// Service is a group of equal upstreams.
type Service struct {
	config ServiceConfig
}

// Name returns the service's name.
func (s *Service) Name() string {
	return s.config.Name
}

// MaxConnections returns what an upstream accepts from all routers together.
func (s *Service) MaxConnections() int {
	return s.config.MaxConnections
}

// Engine returns the facts of the service's engines, nil for plain services.
func (s *Service) Engine() *EngineConfig {
	return s.config.Engine
}

// Customer is who holds a key.
type Customer struct {
	name string
}

// Name returns the customer's name.
func (c *Customer) Name() string {
	return c.name
}

// Table is one revision of the configuration, ready for look-ups.
type Table struct {
	revision  uint64
	limits    Limits
	hosts     map[string]map[string]*Route
	services  map[string]*Service
	customers map[string]*Customer
	keyed     bool
	routes    int
}

// Build checks a document and returns its table.
func Build(document *Document) (*Table, error) {
	table := &Table{
		revision:  document.Revision,
		limits:    document.Limits,
		hosts:     make(map[string]map[string]*Route),
		services:  make(map[string]*Service),
		customers: make(map[string]*Customer),
		keyed:     len(document.Customers) > 0,
		routes:    len(document.Routes),
	}
	for _, service := range document.Services {
		table.services[service.Name] = &Service{
			config: service,
		}
	}
	for i, route := range document.Routes {
		if err := table.add(route); err != nil {
			return nil, errors.Annotatef(err, "route %d (%q)", i, route.Name)
		}
	}
	for _, customer := range document.Customers {
		shared := &Customer{
			name: customer.Name,
		}
		for _, key := range customer.Keys {
			table.customers[key] = shared
		}
	}
	return table, nil
}

func (t *Table) add(config RouteConfig) error {
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
		route.total += target.Weight
	}
	host := strings.ToLower(config.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][config.Prefix] = route
	return nil
}

// Revision returns the configuration's revision.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// RequiresKey reports whether routes that are not public need a key.
func (t *Table) RequiresKey() bool {
	return t.keyed
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	return t.routes
}

// Match returns the route with the longest prefix of the path, or nil. The
// host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := t.hosts[strings.ToLower(host)]
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

// Service returns the service of the name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Customer returns who holds the key, or nil.
func (t *Table) Customer(key string) *Customer {
	return t.customers[key]
}
