package qlowner

import (
	"strconv"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlring"
)

// ownerKey returns what names a group in the routers' order.
func ownerKey(group, groups int) string {
	if groups <= 1 {
		return _ownerKey
	}
	return _ownerKey + "/" + strconv.Itoa(group) + "/" + strconv.Itoa(groups)
}

// rankFor returns the routers in a group's order.
func (c *Core) rankFor(key string) []qlring.Node {
	ranked, ok := c.ranks[key]
	if !ok {
		ranked = qlring.New(c.live).RankBySize(key)
		c.ranks[key] = ranked
	}
	return ranked
}

// Ask begins the decision on a request of this router's.
func (c *Core) Ask(now time.Duration, request *qlplace.Request) {
	request.Key.Router = c.config.Self
	request.Group, _ = qlplace.ChooseGroups(request, c.placer.GroupCount(request.Service))
	c.ask(now, request, false)
}

func (c *Core) ask(now time.Duration, request *qlplace.Request, second bool) {
	owner := c.chooseOwner(now, c.keyOf(request))
	if owner == c.config.Self || c.config.DecideLocally {
		c.decide(now, request, second)
		return
	}
	c.stats.AskedOwner++
	c.questions[request.Key.Request] = question{
		request: request,
		owner:   owner,
		until:   now + _answerWait,
		second:  second,
	}
	box := c.box(now, owner)
	box.packet.Asks = append(box.packet.Asks, encodeAsk(request))
	box.urgent = true
}

func (c *Core) keyOf(request *qlplace.Request) string {
	return ownerKey(request.Group, c.placer.GroupCount(request.Service))
}

// asksAgain asks the request's second group, if the first refused it and there
// is one.
func (c *Core) asksAgain(now time.Duration, request *qlplace.Request, verdict *qlplace.Decision, second bool) bool {
	groups := c.placer.GroupCount(request.Service)
	if verdict.Engine != "" || second || groups <= 1 {
		return false
	}
	c.stats.AskedSecondOwner++
	_, request.Group = qlplace.ChooseGroups(request, groups)
	c.ask(now, request, true)
	return true
}

// chooseOwner returns the first router in a group's order that answered lately.
func (c *Core) chooseOwner(now time.Duration, key string) string {
	owner := c.config.Self
	for _, node := range c.rankFor(key) {
		if d := c.distrusted[node.ID()]; node.ID() == c.config.Self || d.misses < _missLimit || now >= d.until {
			owner = node.ID()
			break
		}
	}
	if before := c.owners[key]; owner != before {
		c.config.OnOwnerChange(before, owner)
		c.owners[key] = owner
		c.tellAll(now, key, owner)
	}
	return owner
}

// decide decides on an own request by what is known here.
func (c *Core) decide(now time.Duration, request *qlplace.Request, second bool) {
	c.stats.DecidedAlone++
	if c.owners[c.keyOf(request)] == c.config.Self {
		c.placer.SetLoadScale(1)
	} else {
		c.placer.SetLoadScale(1 + _fallbackLoad*float64(len(c.live)-1))
	}
	verdict := c.placer.Decide(now, request)
	verdict.Decider = c.config.Self
	if !c.asksAgain(now, request, &verdict, second) {
		c.conclude(now, request, verdict)
	}
}

// conclude hands a decision out and notes the run.
func (c *Core) conclude(now time.Duration, request *qlplace.Request, verdict qlplace.Decision) {
	if verdict.Engine != "" {
		key := c.keyOf(request)
		run := &own{
			engine: verdict.Engine,
			key:    key,
			unread: request.Prompt.UniqueTokens() + verdict.MissingTokens,
			memory: request.Prompt.UniqueTokens() + request.Prompt.MaxOutputTokens,
			goal:   request.LatencyObjective,
		}
		c.runs[request.Key.Request] = run
		if verdict.Decider != c.config.Self {
			run.told = append(run.told, verdict.Decider)
			c.placer.RecordPlacement(now, request, verdict.Engine)
		} else if owner := c.owners[key]; owner != c.config.Self && owner != "" {
			c.tell(now, owner, request.Key.Request, run)
		}
	}
	c.config.OnDecision(request.Key.Request, verdict)
}

// SetLag says how late this process runs what is due. An answer that is late
// by that does not count against the owner.
func (c *Core) SetLag(lag time.Duration) {
	c.lag = lag
	if lag > _lateLag {
		c.lateUntil = c.now + lag + _lateFor
	}
}

// IsLagging reports whether this process handles its events late, or did when
// what it tells now came.
func (c *Core) IsLagging() bool {
	return c.now < c.lateUntil
}

func (c *Core) expiry(q question) time.Duration {
	return q.until + _lagFactor*c.lag
}

// Expire decides here what the owner did not answer in time.
func (c *Core) Expire(now time.Duration) {
	for id, q := range c.questions {
		if now < c.expiry(q) {
			continue
		}
		delete(c.questions, id)
		c.stats.AnswersMissed++
		if !c.IsLagging() {
			c.distrust(now, q.owner)
		}
		c.decide(now, q.request, q.second)
	}
}

// distrust counts an answer that its router missed.
func (c *Core) distrust(now time.Duration, router string) {
	d := c.distrusted[router]
	d.misses++
	d.until = now + _missPause
	c.distrusted[router] = d
}

// NextExpiry returns when Expire has to be called next.
func (c *Core) NextExpiry() (at time.Duration, ok bool) {
	for _, q := range c.questions {
		if expiry := c.expiry(q); !ok || expiry < at {
			at, ok = expiry, true
		}
	}
	return at, ok
}
