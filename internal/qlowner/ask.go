package qlowner

import (
	"strconv"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlring"
)

// groupKey returns the rendezvous hashing key for a group's owner.
func groupKey(group, groups int) string {
	if groups <= 1 {
		return _groupKeyPrefix
	}
	return _groupKeyPrefix + "/" + strconv.Itoa(group) + "/" + strconv.Itoa(groups)
}

// rankedRouters returns the live routers in the order in which they own the
// group: the largest VMs first and, among VMs of one size, by rendezvous hashing.
func (c *Core) rankedRouters(key string) []qlring.Node {
	ranked, ok := c.ranks[key]
	if !ok {
		ranked = qlring.New(c.live).RankBySize(key)
		c.ranks[key] = ranked
	}
	return ranked
}

// Ask starts the decision on a request of this router. Config.OnDecision is called
// with the result, possibly before Ask returns.
func (c *Core) Ask(now time.Duration, request *qlplace.Request) {
	request.Key.Router = c.config.Self
	request.Group, _ = qlplace.ChooseGroups(request, c.placer.GroupCount(request.Service))
	c.ask(now, request, false)
}

func (c *Core) ask(now time.Duration, request *qlplace.Request, secondGroup bool) {
	owner := c.chooseOwner(now, c.requestGroupKey(request))
	if owner == c.config.Self || c.config.DecideLocally {
		c.decideLocally(now, request, secondGroup)
		return
	}
	c.stats.AskedOwner++
	c.questions[request.Key.Request] = question{
		request:     request,
		owner:       owner,
		askedAt:     now,
		deadline:    now + _answerTimeout,
		secondGroup: secondGroup,
	}
	queue := c.queueFor(now, owner)
	queue.packet.Asks = append(queue.packet.Asks, encodeAsk(request))
	queue.urgent = true
}

func (c *Core) requestGroupKey(request *qlplace.Request) string {
	return groupKey(request.Group, c.placer.GroupCount(request.Service))
}

// askSecondGroup asks the owner of the request's second group and returns true, if
// the first group refused the request and there is a second one.
func (c *Core) askSecondGroup(now time.Duration, request *qlplace.Request, decision *qlplace.Decision, secondGroup bool) bool {
	groups := c.placer.GroupCount(request.Service)
	if decision.Engine != "" || secondGroup || groups <= 1 {
		return false
	}
	c.stats.AskedSecondOwner++
	_, request.Group = qlplace.ChooseGroups(request, groups)
	c.ask(now, request, true)
	return true
}

// chooseOwner returns the first router in the group's order that is not skipped
// for missed answers. A new owner is notified of this router's active requests.
func (c *Core) chooseOwner(now time.Duration, key string) string {
	owner := c.config.Self
	for _, node := range c.rankedRouters(key) {
		if node.ID() == c.config.Self || now >= c.penalties[node.ID()].until {
			owner = node.ID()
			break
		}
	}
	if before := c.owners[key]; owner != before {
		c.config.OnOwnerChange(before, owner)
		c.owners[key] = owner
		c.notifyNewOwner(now, key, owner)
	}
	return owner
}

// decideLocally decides on a request of this router by the load known here. A
// router that is not the owner knows only a part of the load and scales it up, and
// places no more than was placed lately.
func (c *Core) decideLocally(now time.Duration, request *qlplace.Request, secondGroup bool) {
	c.stats.DecidedAlone++
	isOwner := c.owners[c.requestGroupKey(request)] == c.config.Self && !c.config.DecideLocally
	if !isOwner && !c.config.DecideLocally {
		if refusal, ok := c.admitAlone(now, request); !ok {
			if !c.askSecondGroup(now, request, &refusal, secondGroup) {
				c.conclude(now, request, refusal)
			}
			return
		}
	}
	c.placer.SetAlone(!isOwner)
	if c.owners[c.requestGroupKey(request)] == c.config.Self {
		c.placer.SetLoadScale(1)
	} else {
		c.placer.SetLoadScale(1 + _assumedPeerLoad*float64(len(c.live)-1))
	}
	decision := c.placer.Decide(now, request)
	decision.Decider = c.config.Self
	if !isOwner && decision.Engine != "" {
		c.stats.PlacedAlone++
	}
	if !c.askSecondGroup(now, request, &decision, secondGroup) {
		c.conclude(now, request, decision)
	}
}

// conclude reports the decision on a request of this router and, if the request was
// placed, starts tracking it.
func (c *Core) conclude(now time.Duration, request *qlplace.Request, decision qlplace.Decision) {
	byOwner := decision.Decider != c.config.Self || c.owners[c.requestGroupKey(request)] == c.config.Self
	c.alone.record(now, request, &decision, byOwner, c.minAloneRate())
	if decision.Engine != "" {
		key := c.requestGroupKey(request)
		active := &activeRequest{
			engine:         decision.Engine,
			groupKey:       key,
			pendingTokens:  request.Prompt.UniqueTokens() + decision.MissingTokens,
			reservedTokens: request.Prompt.UniqueTokens() + request.Prompt.MaxOutputTokens,
			objective:      request.LatencyObjective,
		}
		c.activeRequests[request.Key.Request] = active
		if decision.Decider != c.config.Self {
			active.notified = append(active.notified, decision.Decider)
			c.placer.RecordPlacement(now, request, decision.Engine)
		} else if owner := c.owners[key]; owner != c.config.Self && owner != "" {
			c.notify(now, owner, request.Key.Request, active)
		}
	}
	c.config.OnDecision(request.Key.Request, decision)
}

// SetLag sets the scheduling lag of this process: how long after their due time
// events are handled. The wait for answers is extended accordingly, so that an
// owner gets no penalty for a delay in this process.
func (c *Core) SetLag(lag time.Duration) {
	c.lag = lag
	if lag > _laggingThreshold {
		c.laggingUntil = c.now + lag + _laggingHold
		c.strain.until = c.now + _strainHold
	}
}

// IsLagging reports whether this process handles events with a scheduling lag, or
// did so when the events that it reports now arrived.
func (c *Core) IsLagging() bool {
	return c.now < c.laggingUntil
}

func (c *Core) expiresAt(q question) time.Duration {
	return q.deadline + _lagFactor*c.lag
}

// Expire decides locally on the requests that their owner did not answer in time.
// The owner gets a penalty unless this router is lagging.
func (c *Core) Expire(now time.Duration) {
	for id, q := range c.questions {
		if now < c.expiresAt(q) {
			continue
		}
		delete(c.questions, id)
		c.stats.AnswersMissed++
		c.unansweredBy[q.owner] = _unansweredRounds
		if !c.IsLagging() {
			c.recordMiss(now, q)
		}
		c.decideLocally(now, q.request, q.secondGroup)
	}
}

// recordMiss counts an answer that the owner missed. One that has been silent for
// _silenceLimit is skipped, and again for each further miss until it answers.
func (c *Core) recordMiss(now time.Duration, q question) {
	p := c.penalties[q.owner]
	if p.misses == 0 || q.askedAt < p.silentSince {
		p.silentSince = max(q.askedAt, p.strainedAt)
	}
	p.misses++
	if p.until > 0 || p.misses >= _missLimit && now-p.silentSince >= _silenceLimit {
		p.until = now + _penaltyDuration
	}
	c.penalties[q.owner] = p
}

// recordAnswer forgets the answers that an owner missed before it sent one, late or not: a
// router that turned away from it for its delay would be a second owner beside it.
func (c *Core) recordAnswer(owner string) {
	delete(c.penalties, owner)
}

// NextExpiry returns when Expire has to be called next. ok is false if no answer
// is awaited.
func (c *Core) NextExpiry() (at time.Duration, ok bool) {
	for _, q := range c.questions {
		if expiry := c.expiresAt(q); !ok || expiry < at {
			at, ok = expiry, true
		}
	}
	return at, ok
}
