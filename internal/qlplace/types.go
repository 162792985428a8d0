package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// EngineInfo describes one engine of the list of upstreams.
type EngineInfo struct {
	ID      string
	Service string
	Zone    string
	// StartMillis tells restarts under the same ID apart: the engine's start
	// in milliseconds of Unix time.
	StartMillis int64
	Config      qlengine.Config
	// WarmUp is zero for an engine that isn't cold.
	WarmUp WarmUp
}

// Request is a request that needs an engine.
type Request struct {
	Key      qlengine.Key
	Service  string
	Customer string
	// Zone is the availability zone of the router that will send the request.
	Zone   string
	Prompt qlengine.Prompt
	// Group is the index of the engine group that decides, see ChooseGroups.
	Group int
	// LatencyObjective is the route's objective for the time to the first
	// event.
	LatencyObjective time.Duration
	// Excluded lists the IDs of engines that were already tried.
	Excluded []string
	// AlreadyAdmitted is set when the request was admitted before and its
	// engine failed. It is then placed on the best engine left, even beyond
	// the limits for admission.
	AlreadyAdmitted bool
}

// Cost returns what the request takes from the engines' stated throughput, in tokens.
func (r *Request) Cost() float64 {
	return float64(r.Prompt.Tokens + _outputTokenCost*r.Prompt.MaxOutputTokens)
}

// Reason is why a request was refused, or Admitted.
type Reason int

// The reasons.
const (
	Admitted Reason = iota
	// NoEngine: no engine of the service is known, or all are excluded.
	NoEngine
	// Late: the first event is predicted to miss the latency objective.
	Late
	// OverShare: the customer is above its fair share, and the stricter
	// limits for such customers are exceeded.
	OverShare
	// Full: the best engine has no memory left for the request.
	Full
)

// String returns the reason's name in logs and dumps.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case NoEngine:
		return "no-engine"
	case Late:
		return "late"
	case OverShare:
		return "over-share"
	case Full:
		return "full"
	}
	return "invalid"
}

// Decision is the result for one request.
type Decision struct {
	// Engine is the ID of the chosen engine; empty when the request is
	// refused.
	Engine string
	Reason Reason
	// Predicted is the predicted time to the first event at the best engine.
	Predicted time.Duration
	// RetryAfter is the time after which a refused request should be retried.
	RetryAfter time.Duration
	// MissingTokens is the number of shared prompt tokens that the engine has
	// to recompute.
	MissingTokens int
	// Decider is the router that made the decision. Decide leaves it empty;
	// qlowner sets it.
	Decider string
}
