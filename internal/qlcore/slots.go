package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
)

// SlotSeconds adds up what became of one pool's slots at this dispatcher since
// the start, in seconds of one slot. A slot that is free while work for it
// waits somewhere is what the fleet is there to avoid, so it is counted where
// it can be seen: at once for work that waits here, and by what was last heard
// of them for other dispatchers. Work that only its customer's limit holds back
// does not count.
type SlotSeconds struct {
	Pool          string  `json:"pool"`
	InService     float64 `json:"in-service"`
	InUse         float64 `json:"in-use"`
	IdleHere      float64 `json:"idle-while-work-waits-here"`
	IdleElsewhere float64 `json:"idle-while-work-waits-elsewhere"`
}

// countSlots adds the time since it was last called.
func (c *Core) countSlots() {
	span := c.now - c.slotsCountedAt
	c.slotsCountedAt = c.now
	if span > _pause {
		// Nobody knows what happened while this process stood still.
		return
	}
	for _, pool := range c.dispatcher.Pools() {
		counted := c.slotSeconds[pool]
		if counted == nil {
			counted = &SlotSeconds{
				Pool: pool,
			}
			c.slotSeconds[pool] = counted
		}
		counted.add(span, c.dispatcher.Slots(c.now, pool), c.waitingElsewhere(pool))
	}
}

func (s *SlotSeconds) add(span time.Duration, slots qldispatch.SlotCount, waitingElsewhere int) {
	seconds := span.Seconds()
	s.InService += seconds * float64(slots.InService())
	s.InUse += seconds * float64(slots.InUse())
	here := min(slots.Free(), slots.Waiting())
	s.IdleHere += seconds * float64(here)
	s.IdleElsewhere += seconds * float64(min(slots.Free()-here, waitingElsewhere))
}

// waitingElsewhere adds up what waits at the other dispatchers that were heard
// of late.
func (c *Core) waitingElsewhere(pool string) int {
	count := 0
	for from, heard := range c.poolLevels[pool] {
		if from != c.config.Self && c.now-heard.at <= _levelAge {
			count += heard.waiting - heard.limited
		}
	}
	return count
}

// SlotSeconds returns the counts of all pools dispatched here, sorted.
func (c *Core) SlotSeconds() []SlotSeconds {
	seconds := []SlotSeconds{}
	for _, pool := range c.dispatcher.Pools() {
		if counted := c.slotSeconds[pool]; counted != nil {
			seconds = append(seconds, *counted)
		}
	}
	return seconds
}
