package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
)

// SlotSeconds describes how one pool's slots at this dispatcher were used since
// the process started, in slot-seconds. The fleet is built to avoid slots that
// are idle while requests wait, so each dispatcher measures for how long that
// happens. IdleHere counts free slots up to the number of requests that wait at
// this dispatcher. IdleElsewhere counts the remaining free slots up to the
// number of requests that wait at other dispatchers, according to the state
// last received from them. Requests that are held back only by their customer's
// limit are not counted as waiting.
type SlotSeconds struct {
	Pool          string  `json:"pool"`
	InService     float64 `json:"in-service"`
	InUse         float64 `json:"in-use"`
	IdleHere      float64 `json:"idle-while-work-waits-here"`
	IdleElsewhere float64 `json:"idle-while-work-waits-elsewhere"`
}

// countSlots adds the slot-seconds since the previous call.
func (c *Core) countSlots() {
	elapsed := c.now - c.slotsCountedAt
	c.slotsCountedAt = c.now
	if elapsed > _pauseThreshold {
		// The use of slots while this process was paused is unknown.
		return
	}
	for _, pool := range c.dispatcher.Pools() {
		totals := c.slotSeconds[pool]
		if totals == nil {
			totals = &SlotSeconds{
				Pool: pool,
			}
			c.slotSeconds[pool] = totals
		}
		totals.add(elapsed, c.dispatcher.Slots(c.now, pool), c.waitingElsewhere(pool))
	}
}

func (s *SlotSeconds) add(elapsed time.Duration, slots qldispatch.SlotCount, waitingElsewhere int) {
	seconds := elapsed.Seconds()
	s.InService += seconds * float64(slots.InService())
	s.InUse += seconds * float64(slots.InUse())
	here := min(slots.Free(), slots.Waiting())
	s.IdleHere += seconds * float64(here)
	s.IdleElsewhere += seconds * float64(min(slots.Free()-here, waitingElsewhere))
}

// waitingElsewhere returns the number of requests that wait for a slot of the
// pool at other dispatchers, according to recent state received from them.
// Requests held back by limits are left out.
func (c *Core) waitingElsewhere(pool string) int {
	count := 0
	for from, level := range c.poolLevels[pool] {
		if from != c.config.Self && c.now-level.updatedAt <= _maxLevelAge {
			count += level.waiting - level.limited
		}
	}
	return count
}

// SlotSeconds returns the slot-seconds of all pools dispatched here, sorted by
// pool.
func (c *Core) SlotSeconds() []SlotSeconds {
	seconds := []SlotSeconds{}
	for _, pool := range c.dispatcher.Pools() {
		if totals := c.slotSeconds[pool]; totals != nil {
			seconds = append(seconds, *totals)
		}
	}
	return seconds
}
