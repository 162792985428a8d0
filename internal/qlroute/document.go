package qlroute

import "time"

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by events; they may run again only
	// where the route is resumable.
	Streaming
)

// Kinds returns all kinds.
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

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// RouteConfig configures a Route.
type RouteConfig struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Goal is the latency objective: to the whole answer, or to a stream's
	// first event.
	Goal time.Duration
	// GapGoal is the objective for the pause between a stream's events.
	GapGoal  time.Duration
	Priority int
	Targets  []Target
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
}

// EngineConfig is what the configuration says of a service's engines.
type EngineConfig struct {
	// Slots is how many requests an engine batches.
	Slots int
	// Memory is in tokens.
	Memory int
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name string
	// MaxConnections is what an upstream accepts from all routers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// CustomerConfig configures a Customer.
type CustomerConfig struct {
	Name string
	Keys []string
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all engines produce together; 0 when unknown.
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
