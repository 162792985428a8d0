package qlroute

import "time"

// Kind is the kind of a route. It determines whether its requests may run more
// than once.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events. They may run
	// more than once only if the route is resumable.
	Streaming
)

// Kinds returns all kinds of routes.
func Kinds() []Kind {
	return []Kind{Idempotent, NonIdempotent, Streaming}
}

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	}
	return "invalid"
}

// Target is a service that receives a part of a route's requests, in proportion
// to its weight.
type Target struct {
	Service string
	Weight  int
}

// RouteConfig configures a Route.
type RouteConfig struct {
	Name string
	// Host is the host name without a port, in upper or lower case.
	Host string
	// Prefix is the path prefix of the requests; it begins and ends with a
	// slash.
	Prefix string
	Kind   Kind
	// Timeout limits the whole request.
	Timeout time.Duration
	// Goal is the latency objective: the time within which the whole answer, or
	// the first event of a stream, should reach the caller.
	Goal time.Duration
	// GapGoal is the objective for the pauses of a stream: the longest time
	// that should pass between two events. The router does not use it.
	GapGoal time.Duration
	// Priority is the configured priority. The router does not use it.
	Priority int
	// Targets are the services that receive the route's requests.
	Targets []Target
	// MaxAttempts limits how many times one request may be sent to upstreams.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be resumed at another upstream after the last event
	// that the caller received.
	Resumable bool
}

// EngineConfig describes the model engines of a service.
type EngineConfig struct {
	// Slots is how many requests an engine processes at once in a batch.
	Slots int
	// Memory is the capacity of an engine's KV cache, in tokens.
	Memory int
	// TokensPerEvent is the number of tokens in each event of a stream.
	TokensPerEvent int
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name string
	// MaxConnections is the number of connections that an upstream accepts from
	// all routers together; 0 for no limit.
	MaxConnections int
	// Engine is nil for a plain service, that is one without model engines.
	Engine *EngineConfig
	// WarmUp is zero for a service without a warm-up.
	WarmUp WarmUp
}

// WarmUp describes how a service's upstreams warm up.
type WarmUp struct {
	// Duration is how long an upstream stays cold after a start during traffic.
	Duration time.Duration
	// PerSecond is the rate of requests, from all routers together, that a cold upstream is
	// to get.
	PerSecond float64
}

// CustomerConfig configures a Customer.
type CustomerConfig struct {
	Name string
	// Keys are the customer's API keys.
	Keys []string
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the combined output rate of all engines; 0 if unknown.
	TokensPerSecond float64
}

// Document is one revision of the configuration.
type Document struct {
	Revision  uint64
	Routes    []RouteConfig
	Services  []ServiceConfig
	Customers []CustomerConfig
	Limits    Limits
}
