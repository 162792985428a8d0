package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlusage"
)

// State is a snapshot of a router's state for debug dumps.
type State struct {
	Router          string                  `json:"router"`
	Zone            string                  `json:"zone"`
	Epoch           uint64                  `json:"epoch"`
	Uptime          string                  `json:"uptime"`
	Ready           bool                    `json:"ready"`
	Leaving         bool                    `json:"leaving"`
	IsWatcher       bool                    `json:"watches"`
	Revision        uint64                  `json:"configuration-revision"`
	ListRevision    uint64                  `json:"list-revision"`
	Members         []qlmember.MemberState  `json:"members"`
	Dispatcher      []qldispatch.PoolState  `json:"dispatcher"`
	UsageHome       []qlusage.CustomerState `json:"usage-home"`
	Slots           []SlotSeconds           `json:"slot-seconds"`
	Queues          []qlentry.QueueState    `json:"queues"`
	Running         int                     `json:"running"`
	Claims          int                     `json:"claims"`
	HistoryComplete bool                    `json:"vouches"`
	Violations      map[string]uint64       `json:"invariant-violations"`
	FalseSuspicions uint64                  `json:"false-suspicions"`
	Unfinished      int                     `json:"unfinished-requests"`
}

// State returns a snapshot of the state of all components.
func (c *Core) State() State {
	queues, running := c.entry.State()
	return State{
		Router:          c.config.Self,
		Zone:            c.config.Zone,
		Epoch:           c.config.Epoch,
		Uptime:          c.now.Round(time.Millisecond).String(),
		Ready:           c.Ready(),
		Leaving:         c.leaving,
		IsWatcher:       c.IsWatcher(),
		Revision:        c.Revision(),
		ListRevision:    c.vmList.Revision,
		Members:         c.members.State(),
		Dispatcher:      c.dispatcher.State(c.now),
		UsageHome:       c.home.State(),
		Slots:           c.SlotSeconds(),
		Queues:          queues,
		Running:         running,
		Claims:          c.acceptor.Len(),
		HistoryComplete: c.acceptor.HistoryComplete(c.now),
		Violations:      c.config.Monitor.Counts(),
		FalseSuspicions: c.members.FalseSuspicions(),
		Unfinished:      c.Unfinished(),
	}
}
