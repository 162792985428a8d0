package qlowner

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// _heardWithin is how recently a router must have sent something to count as reached by the
// limits on cold engines. Suspicion takes seconds, in which each side of a partition may have
// an owner that takes the others for live.
const _heardWithin = time.Second

// Fleet returns what this router knows of the fleet, for limits that hold for all routers
// together. Dead routers stay known for _forgetAfter: they may be alive beyond a partition.
func (c *Core) Fleet() qlwarmup.Fleet {
	if len(c.routers) == 0 && len(c.config.Seeds) > 0 && !c.knowsOnlyItself() {
		return qlwarmup.Fleet{}
	}
	fleet := qlwarmup.Fleet{
		Known: len(c.routers) + 1,
		Live:  min(len(c.live), c.members.CountHeardWithin(c.now, _heardWithin)),
	}
	for id := range c.routers {
		if id < c.config.Self {
			fleet.Index++
		}
	}
	return fleet
}

// knowsOnlyItself reports whether all seeds are this router, so that there is no other.
func (c *Core) knowsOnlyItself() bool {
	for _, seed := range c.config.Seeds {
		if seed != c.config.Address {
			return false
		}
	}
	return true
}
