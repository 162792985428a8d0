package qlcore

import (
	"sort"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// The fleet's virtual time in a pool is the median of the levels of its
// dispatchers. A dispatcher's level is the virtual time of the customer that it
// serves next.
//
// The maximum would be wrong: a dispatcher that has requests of a single
// customer serves that customer far ahead of the others. With the maximum, this
// lead would apply to the whole fleet and erase the service that the other
// customers are still due. The median only moves when most dispatchers move.
// Dispatchers without waiting requests are left out, because their level is
// that of their last grant, which may be old. If no requests wait at any
// dispatcher, there is nothing to divide, and the highest level is used.

func (c *Core) recordLevel(from string, level *qlwire.PoolLevel) {
	levels := c.poolLevels[level.GetPool()]
	if levels == nil {
		levels = make(map[string]dispatcherLevel)
		c.poolLevels[level.GetPool()] = levels
	}
	levels[from] = dispatcherLevel{
		level:     qlwire.ToVirtual(level.GetLevel()),
		waiting:   int(level.GetWaiting()),
		limited:   int(level.GetLimited()),
		updatedAt: c.now,
	}
}

func (c *Core) updateVirtualTimes() {
	for _, pool := range c.dispatcher.Pools() {
		c.recordLocalLevel(pool)
	}
	for pool, levels := range c.poolLevels {
		if len(levels) > 0 {
			c.setVirtualTime(pool, c.fleetVirtualTime(levels))
		}
	}
}

func (c *Core) recordLocalLevel(pool string) {
	level := c.dispatcher.PoolLevel(c.now, pool)
	c.recordLevel(c.config.Self, level)
}

func (c *Core) setVirtualTime(pool string, virtualTime float64) {
	c.dispatcher.SetVirtualTime(pool, virtualTime)
	c.home.SetVirtualTime(c.now, pool, virtualTime)
}

// fleetVirtualTime removes the levels that are too old and returns the median
// level of the dispatchers with waiting requests, or the highest level of all,
// old ones included, if there is no such dispatcher.
func (c *Core) fleetVirtualTime(levels map[string]dispatcherLevel) float64 {
	highest := 0.0
	contended := make([]float64, 0, len(levels))
	for from, received := range levels {
		highest = max(highest, received.level)
		if c.now-received.updatedAt > _maxLevelAge {
			delete(levels, from)
			continue
		}
		if received.waiting > 0 {
			contended = append(contended, received.level)
		}
	}
	if len(contended) == 0 {
		return highest
	}
	sort.Float64s(contended)
	return contended[(len(contended)-1)/2]
}
