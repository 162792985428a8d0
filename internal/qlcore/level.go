package qlcore

import (
	"sort"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// The system's virtual time in a pool is the median of the virtual times of the
// customers that the pool's dispatchers serve next.
//
// The maximum would be wrong: a dispatcher that has requests of a single
// customer serves that customer far ahead of the others. With the maximum, that
// customer's virtual time would apply to the whole fleet and erase the service
// that the other customers are still due. The median only moves when most
// dispatchers move. Dispatchers without waiting requests are left out, because
// their virtual time is that of their last grant, which may be old. If no requests
// wait at any dispatcher, there is nothing to divide, and the highest virtual time
// is used.

func (c *Core) recordLevel(from string, level *qlwire.PoolLevel) {
	levels := c.poolLevels[level.GetPool()]
	if levels == nil {
		levels = make(map[string]dispatcherLevel)
		c.poolLevels[level.GetPool()] = levels
	}
	levels[from] = dispatcherLevel{
		nextVirtualTime: qlwire.ToVirtual(level.GetLevel()),
		waiting:         int(level.GetWaiting()),
		limited:         int(level.GetLimited()),
		updatedAt:       c.now,
	}
}

func (c *Core) updateVirtualTimes() {
	for _, pool := range c.dispatcher.Pools() {
		c.recordLocalLevel(pool)
	}
	for pool, levels := range c.poolLevels {
		if len(levels) > 0 {
			c.setVirtualTime(pool, c.systemVirtualTime(levels))
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

// systemVirtualTime removes the states that are too old and returns the median of
// the dispatchers with waiting requests, or the highest virtual time of all states,
// those just removed included, if there is no such dispatcher.
func (c *Core) systemVirtualTime(levels map[string]dispatcherLevel) float64 {
	highest := 0.0
	contended := make([]float64, 0, len(levels))
	for from, received := range levels {
		highest = max(highest, received.nextVirtualTime)
		if c.now-received.updatedAt > _maxLevelAge {
			delete(levels, from)
			continue
		}
		if received.waiting > 0 {
			contended = append(contended, received.nextVirtualTime)
		}
	}
	if len(contended) == 0 {
		return highest
	}
	sort.Float64s(contended)
	return contended[(len(contended)-1)/2]
}
