package qlengine

import (
	"container/list"
	"time"
)

// cache models the prompt segments in an engine's memory, with
// least-recently-used eviction.
type cache struct {
	// capacity is in tokens; 0 when unknown, and nothing is evicted then.
	capacity   int
	heldTokens int
	// byLastUse lists the segments as *heldSegment, least recently used first.
	byLastUse *list.List
	segments  map[uint64]*list.Element
	// onChange is called for each shared segment that is used and for each
	// segment that is evicted.
	onChange func(id uint64, held bool)
}

// heldSegment is a cached segment and the time of its last use.
type heldSegment struct {
	Segment
	usedAt time.Duration
}

func newCache(capacity int, onChange func(id uint64, held bool)) cache {
	if onChange == nil {
		onChange = func(uint64, bool) {}
	}
	return cache{
		onChange:  onChange,
		capacity:  capacity,
		byLastUse: list.New(),
		segments:  make(map[uint64]*list.Element),
	}
}

// missingTokens returns the tokens of shared segments that are not cached. A
// cached segment can be used only when all segments before it are cached,
// too.
func (c *cache) missingTokens(segments []Segment) int {
	missing := 0
	for i := range len(segments) - 1 {
		if missing > 0 || c.segments[segments[i].ID] == nil {
			missing += segments[i].Tokens
		}
	}
	return missing
}

// use marks a prompt's segments as used, adds those that are not cached, and
// evicts others beyond the capacity. As it proceeds from the last segment to the
// first, a prefix is evicted after the segments that depend on it.
func (c *cache) use(now time.Duration, segments []Segment) {
	for i := len(segments) - 1; i >= 0; i-- {
		if i < len(segments)-1 {
			c.onChange(segments[i].ID, true)
		}
		if element := c.segments[segments[i].ID]; element != nil {
			c.byLastUse.MoveToBack(element)
			if held, ok := element.Value.(*heldSegment); ok {
				held.usedAt = now
			}
			continue
		}
		c.segments[segments[i].ID] = c.byLastUse.PushBack(&heldSegment{
			Segment: segments[i],
			usedAt:  now,
		})
		c.heldTokens += segments[i].Tokens
	}
	for c.capacity > 0 && c.heldTokens > c.capacity && c.byLastUse.Len() > 0 {
		oldest := c.byLastUse.Front()
		segment, _ := c.byLastUse.Remove(oldest).(*heldSegment)
		delete(c.segments, segment.ID)
		c.onChange(segment.ID, false)
		c.heldTokens -= segment.Tokens
	}
}

// age returns the time since a segment's last use, 0 if it is not cached.
func (c *cache) age(now time.Duration, id uint64) time.Duration {
	return ageOf(now, c.segments[id])
}

// turnover returns the time since the last use of the segment that is evicted
// next.
func (c *cache) turnover(now time.Duration) time.Duration {
	return ageOf(now, c.byLastUse.Front())
}

func ageOf(now time.Duration, element *list.Element) time.Duration {
	if element == nil {
		return 0
	}
	held, ok := element.Value.(*heldSegment)
	if !ok {
		return 0
	}
	return max(now-held.usedAt, 0)
}
