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
// when most dispatchers do.

func (c *Core) noteLevel(pool, from string, level float64) {
	if c.config.Isolated {
		return
	}
	levels := c.poolLevels[pool]
	if levels == nil {
		levels = make(map[string]heardLevel)
		c.poolLevels[pool] = levels
	}
	levels[from] = heardLevel{
		level: level,
		at:    c.now,
	}
}

func (c *Core) updateVirtualTimes() {
	for _, pool := range c.dispatcher.Pools() {
		c.noteOwnLevel(pool)
	}
	for pool, levels := range c.poolLevels {
		if median, ok := c.medianLevel(levels); ok {
			c.setVirtualTime(pool, median)
		}
	}
}

func (c *Core) noteOwnLevel(pool string) {
	level := qlwire.ToVirtual(c.dispatcher.Level(c.now, pool).GetLevel())
	if c.config.Isolated {
		c.setVirtualTime(pool, level)
		return
	}
	c.noteLevel(pool, c.config.Self, level)
}

func (c *Core) setVirtualTime(pool string, virtualTime float64) {
	c.dispatcher.SetVirtualTime(pool, virtualTime)
	c.home.SetVirtualTime(c.now, pool, virtualTime)
}

func (c *Core) medianLevel(levels map[string]heardLevel) (median float64, ok bool) {
	values := make([]float64, 0, len(levels))
	for from, heard := range levels {
		if c.now-heard.at > _levelAge {
			delete(levels, from)
			continue
		}
		values = append(values, heard.level)
	}
	if len(values) == 0 {
		return 0, false
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2], true
}
