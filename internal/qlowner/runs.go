package qlowner

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
)

// notifyNewOwner notifies a group's new owner of this router's active requests in
// the group.
func (c *Core) notifyNewOwner(now time.Duration, key, owner string) {
	if owner == c.config.Self {
		return
	}
	for request, active := range c.activeRequests {
		if active.groupKey == key {
			c.notify(now, owner, request, active)
		}
	}
}

// _paceScale is the ratio of a Note's pace to that of qlslowness.
const _paceScale = 100

// FirstEvent records the first event of an active request of this router, and the pace
// that its engine reported, or 0.
func (c *Core) FirstEvent(now time.Duration, request uint64, pace float64) {
	active := c.activeRequests[request]
	if active == nil {
		return
	}
	active.pendingTokens = 0
	c.placer.RecordPace(now, c.engineKey(request), pace)
	c.placer.FirstEvent(now, c.engineKey(request))
	for _, to := range active.notified {
		c.queueNote(now, to, request, active, 0).PacePercent = uint32(math.Round(pace * _paceScale))
	}
}

// End records the end of an active request of this router, or of a request whose
// caller disconnected before the decision.
func (c *Core) End(now time.Duration, request uint64, outcome qlengine.Outcome) {
	active := c.activeRequests[request]
	if active == nil {
		// If the owner still answers the question, release frees what it placed.
		delete(c.questions, request)
		return
	}
	delete(c.activeRequests, request)
	c.placer.End(now, c.engineKey(request), outcome)
	c.notifyAll(now, request, active, outcome)
}

func (c *Core) engineKey(request uint64) qlengine.Key {
	return qlengine.Key{
		Router:  c.config.Self,
		Request: request,
	}
}

// notify makes another router include an active request in the load, unless it
// already does.
func (c *Core) notify(now time.Duration, to string, request uint64, active *activeRequest) {
	for _, known := range active.notified {
		if known == to {
			return
		}
	}
	active.notified = append(active.notified, to)
	c.queueNote(now, to, request, active, 0)
}

// notifyAll reports a change of an active request to all routers that know of it.
func (c *Core) notifyAll(now time.Duration, request uint64, active *activeRequest, outcome qlengine.Outcome) {
	for _, to := range active.notified {
		c.queueNote(now, to, request, active, outcome)
	}
}

func (c *Core) queueNote(now time.Duration, to string, request uint64, active *activeRequest, outcome qlengine.Outcome) *qlfleetwire.Note {
	note := &qlfleetwire.Note{
		Request: request,
		Engine:  active.engine,
		Unread:  uint32(active.pendingTokens),
		Memory:  uint32(active.reservedTokens),
		GoalMs:  uint32(active.objective.Milliseconds()),
		Outcome: uint32(outcome),
	}
	queue := c.queueFor(now, to)
	queue.packet.Notes = append(queue.packet.Notes, note)
	return note
}

// sendRunning sends each router that knows of active requests of this one the list
// of those still active, so that it drops requests whose end note was lost. Owners, the
// routers of the last such round and those that did not answer lately get a list even when
// it is empty.
func (c *Core) sendRunning(now time.Duration) {
	byRouter := make(map[string][]uint64)
	for request, active := range c.activeRequests {
		for _, to := range active.notified {
			byRouter[to] = append(byRouter[to], request)
		}
	}
	for _, owner := range c.owners {
		c.trackingRouters = append(c.trackingRouters, owner)
	}
	for _, to := range c.trackingRouters {
		if _, ok := byRouter[to]; !ok && to != c.config.Self && to != "" {
			byRouter[to] = nil
		}
	}
	c.trackingRouters = c.trackingRouters[:0]
	for to, rounds := range c.unansweredBy {
		if c.unansweredBy[to]--; rounds <= 1 {
			delete(c.unansweredBy, to)
		}
		if _, ok := byRouter[to]; !ok {
			byRouter[to] = nil
		}
	}
	for to, requests := range byRouter {
		c.queueFor(now, to).packet.Running = encodeRunning(requests)
		if len(requests) > 0 {
			c.trackingRouters = append(c.trackingRouters, to)
		}
	}
}
