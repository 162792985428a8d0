package qlsetting

import (
	"slices"
	"time"

	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// Edge holds the settings of a router in front of a platform's upstreams.
type Edge struct {
	// ID is this VM's name, and Zone where it stands.
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// CallerAddress is where callers connect, ReadyAddress where the
	// balancer asks, OperationsAddress serves metrics and dumps.
	CallerAddress     string `json:"caller-address"`
	ReadyAddress      string `json:"ready-address"`
	OperationsAddress string `json:"operations-address"`
	// PeerAddress is where other routers reach this one, by TCP and UDP.
	PeerAddress string `json:"peer-address"`
	// Seeds are addresses of some routers' VMs; the port is not used.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Memory is what the process may use, in MB.
	MemoryMB int `json:"memory-mb"`
	// Descriptors is how many the process may open.
	Descriptors int `json:"descriptors"`
	// Processors is how many the VM has, and ProcessorPart the part of each
	// that it may use.
	Processors        int     `json:"processors"`
	ProcessorFraction float64 `json:"processor-part"`
	// StopDeadline bounds a planned stop.
	StopDeadline qljson.Duration `json:"stop-deadline"`
	// BalancerNotice is how long a stopping router takes connections after it
	// reports not ready.
	BalancerNotice qljson.Duration `json:"balancer-notice"`
	// RetryRatio, RetryWindow and RetryAllowance bound repeated sends of all
	// routers to one service.
	RetryRatio     float64         `json:"retry-ratio"`
	RetryWindow    qljson.Duration `json:"retry-window"`
	RetryAllowance float64         `json:"retry-allowance"`
	// Placement is owner; local for routers that decide each by itself, and
	// affinity or load for simpler ways to measure against.
	Placement string `json:"placement"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
}

// The ways of placement.
const (
	PlacementOwner    = "owner"
	PlacementLocal    = "local"
	PlacementAffinity = "affinity"
	PlacementLoad     = "load"
)

// LoadEdge reads and checks the settings of a router in front of a platform's
// upstreams.
func LoadEdge(path string) (*Edge, error) {
	return load(path, (*Edge).fault)
}

// ParseEdge checks settings whose text was read from a source.
func ParseEdge(source string, data []byte) (*Edge, error) {
	return parse(source, data, (*Edge).fault)
}

func (s *Edge) fault() (name, reason string) {
	name, reason = textFault([]text{
		{name: "id", value: s.ID},
		{name: "zone", value: s.Zone},
	})
	if name != "" {
		return name, reason
	}
	name, reason = addressFault([]text{
		{name: "caller-address", value: s.CallerAddress},
		{name: "ready-address", value: s.ReadyAddress},
		{name: "operations-address", value: s.OperationsAddress},
		{name: "peer-address", value: s.PeerAddress},
		{name: "store", value: s.Store},
	})
	if name != "" {
		return name, reason
	}
	return s.numberFault()
}

func (s *Edge) numberFault() (name, reason string) {
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
	case !slices.Contains([]string{PlacementOwner, PlacementLocal, PlacementAffinity, PlacementLoad}, s.Placement):
		return "placement", "write owner, local, affinity or load"
	}
	return levelFault(s.LogLevel)
}
