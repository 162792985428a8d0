package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// _customers hold one key each.
var _customers = []string{"north", "south", "west"}

const (
	_orders  = "orders"
	_engines = "engines"
	_genName = "gen-"
	// _engineMemory and _tokensPerSecond are far above what callers ask.
	_engineMemory    = 400_000
	_tokensPerSecond = 4_000_000
)

// serviceOf returns what the service that runs a kind is named by.
func serviceOf(k kind) string {
	switch {
	case k.stream:
		return _engines
	case k.name == "gen":
		return _genName
	}
	return _orders
}

// genService returns the service to which a version sends the route that
// moves with each.
func genService(number uint64) string {
	return fmt.Sprintf("%s%d", _genName, number%_gens)
}

// populate starts the upstreams and puts the first configuration in force.
func (r *run) populate() error {
	services := []string{_orders, _orders, _orders, _engines, _engines, _engines, _engines}
	for i := range _gens {
		services = append(services, genService(uint64(i)))
	}
	for _, service := range services {
		if err := r.startUpstream(service); err != nil {
			return errors.Trace(err)
		}
	}
	return r.configure()
}

func (r *run) startUpstream(service string) error {
	r.mu.Lock()
	r.started++
	id := fmt.Sprintf("u%d", r.started)
	r.mu.Unlock()
	events := 0
	if service == _engines {
		events = _events
	}
	standIn, err := qlsim.StartUpstream(qlsim.UpstreamConfig{
		ID:             id,
		Service:        service,
		Zone:           "zone-0",
		Slots:          _slots,
		ProcessingTime: _work,
		EventCount:     events,
		OnArrival:      r.ledger.arrive,
	})
	if err != nil {
		return errors.Trace(err)
	}
	p, err := newProxy(standIn.Address())
	if err != nil {
		return errors.Trace(err)
	}
	u := &upstream{
		Upstream: standIn,
		id:       id,
		service:  service,
		proxy:    p,
	}
	r.mu.Lock()
	r.upstreams = append(r.upstreams, u)
	r.mu.Unlock()
	return errors.Trace(r.store.Register(u.Entry(p.address(), qlsim.Ready)))
}

// configure puts the next version in force.
func (r *run) configure() error {
	r.version++
	route := func(name, kind, service string, attempts int, resumable bool) qlsim.Route {
		return qlsim.Route{
			Name:               name,
			Host:               _host,
			Prefix:             "/" + name + "/",
			Kind:               kind,
			Service:            service,
			TimeoutMs:          int(_wait.Milliseconds()),
			LatencyObjectiveMs: 300,
			MaxAttempts:        attempts,
			Resumable:          resumable,
		}
	}
	configuration := qlsim.Configuration{
		Version: r.version,
		Routes: []qlsim.Route{
			route("book", qlsim.NonIdempotent, _orders, 1, false),
			route("look", qlsim.Idempotent, _orders, 2, false),
			route("gen", qlsim.Idempotent, genService(r.version), 2, false),
			route("chat", qlsim.Streaming, _engines, 1, false),
			route("resume", qlsim.Streaming, _engines, 2, true),
		},
		Services:        []qlsim.Service{{Name: _orders}, {Name: _engines, Slots: _slots, KVCacheTokens: _engineMemory}},
		Keys:            make(map[string][]string),
		TokensPerSecond: _tokensPerSecond,
	}
	for i := range _gens {
		configuration.Services = append(configuration.Services, qlsim.Service{
			Name: genService(uint64(i)),
		})
	}
	for _, customer := range _customers {
		configuration.Keys[customer] = []string{keyOf(customer)}
	}
	r.ledger.writes(r.version)
	if err := r.store.Configure(configuration); err != nil {
		return errors.Trace(err)
	}
	r.ledger.acknowledged(r.version)
	return nil
}

// replace drains an upstream of a service and starts another.
func (r *run) replace(u *upstream) error {
	if err := r.startUpstream(u.service); err != nil {
		return errors.Trace(err)
	}
	if err := r.store.Register(u.Entry(u.proxy.address(), qlsim.Draining)); err != nil {
		return errors.Trace(err)
	}
	r.ledger.drain(u.id)
	go func() {
		time.Sleep(2 * _drained)
		r.store.Remove(u.id)
		time.Sleep(_drained)
		r.retire(u)
	}()
	return nil
}

// crash ends an upstream without a word; its entry lapses after a while, and
// another takes its place.
func (r *run) crash(u *upstream) error {
	if err := u.Crash(); err != nil {
		return errors.Trace(err)
	}
	go func() {
		time.Sleep(_lapse)
		r.store.Remove(u.id)
		r.retire(u)
	}()
	return errors.Trace(r.startUpstream(u.service))
}

const _lapse = 1500 * time.Millisecond

func (r *run) retire(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.upstreams {
		if other == u {
			r.upstreams = append(r.upstreams[:i:i], r.upstreams[i+1:]...)
			break
		}
	}
	u.proxy.close()
	// It may have crashed before.
	_ = u.Crash()
}
