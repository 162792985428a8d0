package qlengine

import "container/list"

// cache models the prompt segments in an engine's memory, with
// least-recently-used eviction.
type cache struct {
	// capacity is in tokens; 0 when unknown, and nothing is evicted then.
	capacity   int
	heldTokens int
	// byLastUse lists the segments, least recently used first.
	byLastUse *list.List
	segments  map[uint64]*list.Element
	// onChange is called for each shared segment that is used and for each
	// segment that is evicted.
	onChange func(id uint64, held bool)
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
func (c *cache) use(segments []Segment) {
	for i := len(segments) - 1; i >= 0; i-- {
		if i < len(segments)-1 {
			c.onChange(segments[i].ID, true)
		}
		if element := c.segments[segments[i].ID]; element != nil {
			c.byLastUse.MoveToBack(element)
			continue
		}
		c.segments[segments[i].ID] = c.byLastUse.PushBack(segments[i])
		c.heldTokens += segments[i].Tokens
	}
	for c.capacity > 0 && c.heldTokens > c.capacity && c.byLastUse.Len() > 0 {
		oldest := c.byLastUse.Front()
		segment, _ := c.byLastUse.Remove(oldest).(Segment)
		delete(c.segments, segment.ID)
		c.onChange(segment.ID, false)
		c.heldTokens -= segment.Tokens
	}
}
