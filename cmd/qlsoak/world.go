package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// _customers lists the callers' customers, each of which has one API key.
var _customers = []string{"north", "south", "west"}

const (
	_ordersService    = "orders"
	_enginesService   = "engines"
	_genServicePrefix = "gen-"
	// _kvCacheTokens and _tokensPerSecond are far above the callers' demand.
	_kvCacheTokens   = 400_000
	_tokensPerSecond = 4_000_000
)

// servicePrefix returns the name of the service that executes a kind of request,
// or for kind "gen" the prefix that the names of its services share.
func servicePrefix(k requestKind) string {
	switch {
	case k.stream:
		return _enginesService
	case k.name == "gen":
		return _genServicePrefix
	}
	return _ordersService
}

// genService returns the service of route "gen" in a version of the configuration.
// Each version sends the route to the next of _genServiceCount services, so that the
// service that executed a request shows which version its router used.
func genService(number uint64) string {
	return fmt.Sprintf("%s%d", _genServicePrefix, number%_genServiceCount)
}

// setUp starts the upstreams and publishes the first configuration.
func (r *soakRun) setUp() error {
	services := []string{_ordersService, _ordersService, _ordersService, _enginesService, _enginesService, _enginesService, _enginesService}
	for i := range _genServiceCount {
		services = append(services, genService(uint64(i)))
	}
	for _, service := range services {
		if err := r.startUpstream(service); err != nil {
			return errors.Trace(err)
		}
	}
	return r.publishConfiguration()
}

// startUpstream starts an upstream of a service, with a proxy before it, and
// registers it in the store.
func (r *soakRun) startUpstream(service string) error {
	r.mu.Lock()
	r.upstreamCount++
	id := fmt.Sprintf("u%d", r.upstreamCount)
	r.mu.Unlock()
	events := 0
	if service == _enginesService {
		events = _eventsPerStream
	}
	u := &upstream{
		id:      id,
		service: service,
	}
	standIn, err := qlsim.StartUpstream(qlsim.UpstreamConfig{
		ID:             id,
		Service:        service,
		Zone:           "zone-0",
		Slots:          _slotsPerUpstream,
		ProcessingTime: _processingTime,
		EventCount:     events,
		OnArrival:      r.ledger.recordArrival,
		CrashPart:      _crashPart,
		OnCrash:        func() { r.crashUpstreamBehindProxy(u) },
	})
	if err != nil {
		return errors.Trace(err)
	}
	p, err := newProxy(standIn.Address())
	if err != nil {
		return errors.Trace(err)
	}
	u.Upstream, u.proxy = standIn, p
	r.mu.Lock()
	r.upstreams = append(r.upstreams, u)
	r.mu.Unlock()
	return errors.Trace(r.store.Register(u.Entry(p.address(), qlsim.Ready)))
}

// publishConfiguration publishes the next version of the configuration.
func (r *soakRun) publishConfiguration() error {
	r.configurationVersion++
	route := func(name, kind, service string, attempts int, resumable bool) qlsim.Route {
		return qlsim.Route{
			Name:               name,
			Host:               _host,
			Prefix:             "/" + name + "/",
			Kind:               kind,
			Service:            service,
			TimeoutMs:          int(_callerTimeout.Milliseconds()),
			LatencyObjectiveMs: 300,
			MaxAttempts:        attempts,
			Resumable:          resumable,
		}
	}
	configuration := qlsim.Configuration{
		Version: r.configurationVersion,
		Routes: []qlsim.Route{
			route("book", qlsim.NonIdempotent, _ordersService, 1, false),
			route("look", qlsim.Idempotent, _ordersService, 2, false),
			route("gen", qlsim.Idempotent, genService(r.configurationVersion), 2, false),
			route("chat", qlsim.Streaming, _enginesService, 1, false),
			route("resume", qlsim.Streaming, _enginesService, 2, true),
		},
		Services:        []qlsim.Service{{Name: _ordersService}, {Name: _enginesService, Slots: _slotsPerUpstream, KVCacheTokens: _kvCacheTokens}},
		Keys:            make(map[string][]string),
		TokensPerSecond: _tokensPerSecond,
	}
	for i := range _genServiceCount {
		configuration.Services = append(configuration.Services, qlsim.Service{
			Name: genService(uint64(i)),
		})
	}
	for _, customer := range _customers {
		configuration.Keys[customer] = []string{keyOf(customer)}
	}
	r.ledger.recordPendingVersion(r.configurationVersion)
	if err := r.store.Configure(configuration); err != nil {
		return errors.Trace(err)
	}
	r.ledger.recordAcknowledgement(r.configurationVersion)
	return nil
}

// replaceUpstream starts another upstream of the same service and marks this one
// as draining in the store. After 2 x _maxDrainDelay it removes the entry, and after
// another _maxDrainDelay it stops the upstream.
func (r *soakRun) replaceUpstream(u *upstream) error {
	if err := r.startUpstream(u.service); err != nil {
		return errors.Trace(err)
	}
	if err := r.store.Register(u.Entry(u.proxy.address(), qlsim.Draining)); err != nil {
		return errors.Trace(err)
	}
	r.ledger.recordDrain(u.id)
	u.SetLeaving()
	go func() {
		time.Sleep(2 * _maxDrainDelay)
		r.store.Delete(qlsim.UpstreamPrefix + u.id)
		time.Sleep(_maxDrainDelay)
		r.stopUpstream(u)
	}()
	return nil
}

// crashUpstream ends an upstream without notice and starts another of the same
// service. The crashed upstream's entry leaves the store after _entryExpiry.
func (r *soakRun) crashUpstream(u *upstream) error {
	if err := u.Crash(); err != nil {
		return errors.Trace(err)
	}
	go func() {
		time.Sleep(_entryExpiry)
		r.store.Delete(qlsim.UpstreamPrefix + u.id)
		r.stopUpstream(u)
	}()
	return errors.Trace(r.startUpstream(u.service))
}

// crashUpstreamBehindProxy has an upstream that crashes refuse connections, although there
// is a proxy before it, and replaces it.
func (r *soakRun) crashUpstreamBehindProxy(u *upstream) {
	r.ledger.recordDisturbance()
	_ = u.proxy.listener.Close()
	if err := r.crashUpstream(u); err != nil {
		r.ledger.addViolation("soak", "", "replace an upstream that crashed: "+err.Error())
	}
}

// _entryExpiry is the time between the crash of an upstream and the expiry of its
// entry in the store.
const _entryExpiry = 1500 * time.Millisecond

// stopUpstream closes an upstream and its proxy and excludes it from faults.
func (r *soakRun) stopUpstream(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, listed := range r.upstreams {
		if listed == u {
			r.upstreams = append(r.upstreams[:i:i], r.upstreams[i+1:]...)
			break
		}
	}
	u.proxy.close()
	// It may have crashed already.
	_ = u.Crash()
}
