package qlsetting

import (
	"slices"
	"time"

	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// Edge holds the settings of a router in front of a platform's upstreams.
type Edge struct {
	// ID is this VM's name, and Zone its availability zone.
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// CallerAddress is where callers connect, ReadyAddress where the load
	// balancer checks readiness, and OperationsAddress where metrics and state
	// dumps are served.
	CallerAddress     string `json:"caller-address"`
	ReadyAddress      string `json:"ready-address"`
	OperationsAddress string `json:"operations-address"`
	// PeerAddress is where other routers reach this one, over TCP and UDP.
	PeerAddress string `json:"peer-address"`
	// OffloadAddress is where other routers of the zone send requests that exceed what
	// their own processors can serve. All routers use the same port.
	OffloadAddress string `json:"offload-address"`
	// Seeds are the addresses of some routers through which this one joins the
	// fleet. Their ports are ignored, since all routers use the same peer port.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store, which routers only read.
	Store string `json:"store"`
	// MemoryMB is how much memory the process may use, in units of 1 MiB.
	MemoryMB int `json:"memory-mb"`
	// Descriptors is how many file descriptors the process may have open.
	Descriptors int `json:"descriptors"`
	// Processors is how many processors the VM has, and ProcessorFraction the
	// fraction of each that the process may use.
	Processors        int     `json:"processors"`
	ProcessorFraction float64 `json:"processor-part"`
	// StopDeadline is the time limit of a planned stop. Requests that are still
	// active then are cut.
	StopDeadline qljson.Duration `json:"stop-deadline"`
	// BalancerNotice is how long a stopping router still accepts connections
	// after it reports not ready, so that the load balancer can notice.
	BalancerNotice qljson.Duration `json:"balancer-notice"`
	// RetryRatio, RetryWindow and RetryAllowance are the retry budget of each
	// service, for all routers together: in each window, RetryRatio times the
	// requests plus RetryAllowance may be sent again.
	RetryRatio     float64         `json:"retry-ratio"`
	RetryWindow    qljson.Duration `json:"retry-window"`
	RetryAllowance float64         `json:"retry-allowance"`
	// WarmUpOverage and WarmUpTolerance bound the requests to a cold upstream in any one
	// second, from all routers together: the rate that its service states times
	// WarmUpOverage, plus WarmUpTolerance. Without them, only that rate is known.
	WarmUpOverage   float64 `json:"warm-up-overage,omitempty"`
	WarmUpTolerance float64 `json:"warm-up-tolerance,omitempty"`
	// Placement selects where requests for engines are placed and how. It is
	// one of the Placement constants.
	Placement string `json:"placement"`
	// WeighPrefixes prices cached prefixes by load, demand and memory instead of by
	// a constant factor. It may be left out and is off then.
	WeighPrefixes bool `json:"weigh-prefixes,omitempty"`
	// The following limits on callers are optional; accessors return their defaults.
	//
	// HeadMemoryFraction is the fraction of the memory for heads of requests.
	HeadMemoryFraction float64 `json:"head-memory-part,omitempty"`
	// ShortLineRate is how many bytes of very short lines a core reads a second.
	ShortLineRate float64 `json:"short-line-rate,omitempty"`
	// BodyIdle is how long nothing may come of a body, and MinBodyRate how many bytes a second
	// have to come.
	BodyIdle    qljson.Duration `json:"body-idle,omitempty"`
	MinBodyRate float64         `json:"min-body-rate,omitempty"`
	// ReaderIdle is how long a caller may read nothing of its answer.
	ReaderIdle qljson.Duration `json:"reader-idle,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
}

// Values of Edge.Placement. With PlacementOwner, the router that owns an engine
// decides for all routers. With the others, which are baselines for measurements,
// each router decides by itself: by the same policy with PlacementLocal, and by a
// simpler one with PlacementAffinity (prefix affinity) and PlacementLoad (fewest
// active requests).
const (
	PlacementOwner    = "owner"
	PlacementLocal    = "local"
	PlacementAffinity = "affinity"
	PlacementLoad     = "load"
)

// LoadEdge reads the settings file of a router in front of a platform's upstreams
// and validates it.
func LoadEdge(path string) (*Edge, error) {
	return load(path, (*Edge).check)
}

// ParseEdge parses and validates settings. Errors name source, such as the path
// of the file.
func ParseEdge(source string, data []byte) (*Edge, error) {
	return parse(source, data, (*Edge).check)
}

// check returns the name of the first invalid setting and the remedy, or "" if
// all are valid.
func (s *Edge) check() (name, reason string) {
	name, reason = checkTexts([]textSetting{
		{name: "id", value: s.ID},
		{name: "zone", value: s.Zone},
	})
	if name != "" {
		return name, reason
	}
	name, reason = checkAddresses([]textSetting{
		{name: "caller-address", value: s.CallerAddress},
		{name: "ready-address", value: s.ReadyAddress},
		{name: "operations-address", value: s.OperationsAddress},
		{name: "peer-address", value: s.PeerAddress},
		{name: "offload-address", value: s.OffloadAddress},
		{name: "store", value: s.Store},
	})
	if name != "" {
		return name, reason
	}
	return s.checkNumbers()
}

func (s *Edge) checkNumbers() (name, reason string) {
	switch {
	case s.MemoryMB < 1:
		return "memory-mb", "write 1 or more"
	case s.Descriptors < 1:
		return "descriptors", "write 1 or more"
	case s.Processors < 1:
		return "processors", "write 1 or more"
	case s.ProcessorFraction <= 0 || s.ProcessorFraction > 1:
		return "processor-part", "write more than 0, and 1 at most"
	case s.StopDeadline.Std() < time.Second:
		return "stop-deadline", "write at least 1s"
	case s.BalancerNotice < 0 || s.BalancerNotice >= s.StopDeadline:
		return "balancer-notice", "write 0s or more, and less than stop-deadline"
	case s.RetryRatio < 0:
		return "retry-ratio", "write 0 or more"
	case s.RetryWindow.Std() < time.Millisecond:
		return "retry-window", "write at least 1ms"
	case s.RetryAllowance < 0:
		return "retry-allowance", "write 0 or more"
	case s.WarmUpOverage != 0 && s.WarmUpOverage < 1:
		return "warm-up-overage", "write 1 or more, or leave it out"
	case s.WarmUpTolerance < 0:
		return "warm-up-tolerance", "write 0 or more, or leave it out"
	case !slices.Contains([]string{PlacementOwner, PlacementLocal, PlacementAffinity, PlacementLoad}, s.Placement):
		return "placement", "write owner, local, affinity or load"
	}
	if name, reason := s.checkLimits(); name != "" {
		return name, reason
	}
	return checkLogLevel(s.LogLevel)
}
