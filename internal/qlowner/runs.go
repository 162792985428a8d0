package qlowner

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
)

// tellAll tells a group's new owner what this router has running there.
func (c *Core) tellAll(now time.Duration, key, owner string) {
	if owner == c.config.Self {
		return
	}
	for request, run := range c.runs {
		if run.key == key {
			c.tell(now, owner, request, run)
		}
	}
}

// FirstEvent takes the first event of a run of this router's.
func (c *Core) FirstEvent(now time.Duration, request uint64) {
	run := c.runs[request]
	if run == nil {
		return
	}
	run.unread = 0
	c.placer.FirstEvent(now, c.key(request))
	c.noteAll(now, request, run, 0)
}

// End takes the end of a run of this router's, or of a request that its
// caller left before it was decided.
func (c *Core) End(now time.Duration, request uint64, outcome qlengine.Outcome) {
	run := c.runs[request]
	if run == nil {
		// The verdict of a question that was dropped is given back.
		delete(c.questions, request)
		return
	}
	delete(c.runs, request)
	c.placer.End(now, c.key(request), outcome)
	c.noteAll(now, request, run, outcome)
}

func (c *Core) key(request uint64) qlengine.Key {
	return qlengine.Key{
		Router:  c.config.Self,
		Request: request,
	}
}

// tell has another router count a run.
func (c *Core) tell(now time.Duration, to string, request uint64, run *own) {
	for _, told := range run.told {
		if told == to {
			return
		}
	}
	run.told = append(run.told, to)
	c.note(now, to, request, run, 0)
}

// noteAll tells all routers that count a run what became of it.
func (c *Core) noteAll(now time.Duration, request uint64, run *own, outcome qlengine.Outcome) {
	for _, to := range run.told {
		c.note(now, to, request, run, outcome)
	}
}

func (c *Core) note(now time.Duration, to string, request uint64, run *own, outcome qlengine.Outcome) {
	box := c.box(now, to)
	box.packet.Notes = append(box.packet.Notes, &qlfleetwire.Note{
		Request: request,
		Engine:  run.engine,
		Unread:  uint32(run.unread),
		Memory:  uint32(run.memory),
		GoalMs:  uint32(run.goal.Milliseconds()),
		Outcome: uint32(outcome),
	})
}

// sendRunning tells each router that counts runs of this one which go on.
func (c *Core) sendRunning(now time.Duration) {
	byRouter := make(map[string][]uint64)
	for request, run := range c.runs {
		for _, to := range run.told {
			byRouter[to] = append(byRouter[to], request)
		}
	}
	for _, owner := range c.owners {
		c.counting = append(c.counting, owner)
	}
	for _, to := range c.counting {
		if _, ok := byRouter[to]; !ok && to != c.config.Self && to != "" {
			byRouter[to] = nil
		}
	}
	c.counting = c.counting[:0]
	for to, requests := range byRouter {
		c.box(now, to).packet.Running = encodeRunning(requests)
		if len(requests) > 0 {
			c.counting = append(c.counting, to)
		}
	}
}
