package qlengine

import "container/list"

// cache is what an engine's memory holds of prompts, least recently used
// first out.
type cache struct {
	capacity int
	held     int
	order    *list.List
	parts    map[uint64]*list.Element
	// changed is told of each shared part that comes or goes.
	changed func(id uint64, held bool)
}

func newCache(capacity int, changed func(id uint64, held bool)) cache {
	if changed == nil {
		changed = func(uint64, bool) {}
	}
	return cache{
		changed:  changed,
		capacity: capacity,
		order:    list.New(),
		parts:    make(map[uint64]*list.Element),
	}
}

// missing returns the tokens of shared parts that are not held. A part is of
// use only when all parts before it are held, too.
func (c *cache) missing(parts []Segment) int {
	missing := 0
	for i := range len(parts) - 1 {
		if missing > 0 || c.parts[parts[i].ID] == nil {
			missing += parts[i].Tokens
		}
	}
	return missing
}

func (c *cache) use(parts []Segment) {
	for i := len(parts) - 1; i >= 0; i-- {
		if i < len(parts)-1 {
			c.changed(parts[i].ID, true)
		}
		if element := c.parts[parts[i].ID]; element != nil {
			c.order.MoveToBack(element)
			continue
		}
		c.parts[parts[i].ID] = c.order.PushBack(parts[i])
		c.held += parts[i].Tokens
	}
	for c.capacity > 0 && c.held > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Front()
		part, _ := c.order.Remove(oldest).(Segment)
		delete(c.parts, part.ID)
		c.changed(part.ID, false)
		c.held -= part.Tokens
	}
}
