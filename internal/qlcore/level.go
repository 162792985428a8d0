package qlcore

import (
	"sort"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// The fleet's virtual time in a pool is the median of the levels of its
// dispatchers: the virtual times of the customers that they serve next.
//
// Not the highest: a dispatcher that happens to hear of one customer only
// serves it far ahead of the others, and a maximum would carry that to the
// whole fleet and wipe out what the others are owed. The median moves only
// when most dispatchers do. Dispatchers at which nobody waits do not count:
// their level is that of a grant that may be long ago. Where nobody waits
// anywhere, nothing is to be divided, and the latest grant's level stands.

func (c *Core) noteLevel(from string, level *qlwire.PoolLevel) {
	levels := c.poolLevels[level.GetPool()]
	if levels == nil {
		levels = make(map[string]heardLevel)
		c.poolLevels[level.GetPool()] = levels
	}
	levels[from] = heardLevel{
		level:   qlwire.ToVirtual(level.GetLevel()),
		waiting: int(level.GetWaiting()),
		limited: int(level.GetLimited()),
		at:      c.now,
	}
}

func (c *Core) updateVirtualTimes() {
	for _, pool := range c.dispatcher.Pools() {
		c.noteOwnLevel(pool)
	}
	for pool, levels := range c.poolLevels {
		if len(levels) > 0 {
			c.setVirtualTime(pool, c.fleetLevel(levels))
		}
	}
}

func (c *Core) noteOwnLevel(pool string) {
	level := c.dispatcher.PoolLevel(c.now, pool)
	c.noteLevel(c.config.Self, level)
}

func (c *Core) setVirtualTime(pool string, virtualTime float64) {
	c.dispatcher.SetVirtualTime(pool, virtualTime)
	c.home.SetVirtualTime(c.now, pool, virtualTime)
}

// fleetLevel drops levels that are too old and returns the median of those of
// dispatchers at which someone waits, or the highest of all when nobody does.
func (c *Core) fleetLevel(levels map[string]heardLevel) float64 {
	highest := 0.0
	contended := make([]float64, 0, len(levels))
	for from, heard := range levels {
		highest = max(highest, heard.level)
		if c.now-heard.at > _levelAge {
			delete(levels, from)
			continue
		}
		if heard.waiting > 0 {
			contended = append(contended, heard.level)
		}
	}
	if len(contended) == 0 {
		return highest
	}
	sort.Float64s(contended)
	return contended[(len(contended)-1)/2]
}
