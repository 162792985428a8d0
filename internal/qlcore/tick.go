package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Tick does the work that is due by time: probes, timeouts, reports and offers.
// It must be called every few tens of milliseconds.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.members.Tick(c.now)
	c.proposer.Tick(c.now)
	c.offerNewlyIdle()
	if c.now >= c.nextSlowTickAt {
		c.nextSlowTickAt = c.now + _slowTickPeriod
		c.slowTick()
	}
	if c.dispatcher.ConsumeReportRequest() || c.now >= c.nextReportAt {
		c.nextReportAt = c.now + c.config.ReportPeriod
		c.report()
	}
	if c.now >= c.nextOfferAt {
		c.nextOfferAt = c.now + _offerPeriod
		c.offer()
	}
	if c.now >= c.nextCatchUpAt {
		c.catchUpInterval = min(max(2*c.catchUpInterval, _minCatchUpInterval), _maxCatchUpInterval)
		c.nextCatchUpAt = c.now + c.catchUpInterval
		c.catchUp()
	}
	c.processPending()
}

// slowTick does the periodic work that is not urgent.
func (c *Core) slowTick() {
	c.updateVirtualTimes()
	c.countSlots()
	c.entry.ReportLocalCosts(func(number uint64, cost float64) {
		c.dispatcher.Progress(c.config.Self, number, cost)
	})
	c.dispatcher.SetLocalAdopted(c.now, c.entry.LocalAdopted())
	c.dispatcher.Tick(c.now)
	c.entry.Tick(c.now)
	c.home.Tick(c.now)
	c.acceptor.Tick(c.now)
}

// Flush sends the demands that changed since the last Flush. It should be
// called soon after events; a delay of a few milliseconds combines several
// changes into one message.
func (c *Core) Flush(now time.Duration) {
	c.advance(now)
	c.entry.Flush(c.now)
	c.processPending()
}

// NeedsFlush reports whether demands have changed since the last Flush.
func (c *Core) NeedsFlush() bool {
	return c.entry.NeedsFlush()
}

// catchUp requests the state that a newly started router lacks. Until the
// router is ready, it announces itself, so that other routers report their
// configuration revisions. It also requests copies of the claims that this
// acceptor should hold.
func (c *Core) catchUp() {
	if !c.Ready() && !c.leaving {
		c.catchUpInterval = 0
		c.members.PushDigestToAll()
	}
	for _, id := range c.acceptor.MissingCopies(c.now) {
		c.send(id, &qlwire.Message{
			Body: &qlwire.Message_ClaimSync{
				ClaimSync: &qlwire.ClaimSync{},
			},
		})
	}
}

func (c *Core) answerClaim(from string, request *qlwire.ClaimRequest) {
	reply, holder := c.acceptor.AnswerRequest(c.now, from, request)
	c.send(from, &qlwire.Message{
		Body: &qlwire.Message_ClaimReply{
			ClaimReply: &qlwire.ClaimReply{
				Attempt: request.GetAttempt(),
				Verdict: uint32(reply),
				Holder:  holder,
			},
		},
	})
}

func (c *Core) answerSync(from string) {
	for _, copied := range c.acceptor.Copy(c.now, qlring.NewNode(from, c.members.Zone(from))) {
		c.send(from, &qlwire.Message{
			Body: &qlwire.Message_ClaimCopy{
				ClaimCopy: copied,
			},
		})
	}
}

// offer reports the pools with free slots or waiting requests here to a few
// routers, chosen at random each time.
func (c *Core) offer() {
	var levels []*qlwire.PoolLevel
	for _, level := range c.levels() {
		if level.GetFree() > 0 || level.GetWaiting() > 0 {
			levels = append(levels, level)
		}
	}
	c.sendOffer(levels)
}

// offerNewlyIdle offers the slots of pools that have become idle: they have
// free slots and no waiting requests here, unlike at the previous check.
func (c *Core) offerNewlyIdle() {
	if c.now < c.nextIdleOfferAt {
		return
	}
	var newlyIdle []*qlwire.PoolLevel
	for _, level := range c.levels() {
		idle := level.GetFree() > 0 && level.GetWaiting() == 0
		if idle && !c.idleSlotsOffered[level.GetPool()] {
			newlyIdle = append(newlyIdle, level)
		}
		c.idleSlotsOffered[level.GetPool()] = idle
	}
	if len(newlyIdle) > 0 {
		c.nextIdleOfferAt = c.now + _minIdleOfferInterval
		c.sendOffer(newlyIdle)
	}
}

// sendOffer sends the state of each pool to a few random routers that request
// slots of that pool from this one, in a single message to each router.
func (c *Core) sendOffer(levels []*qlwire.PoolLevel) {
	offers := make(map[string]*qlwire.Offer)
	var order []string
	for _, level := range levels {
		recipients := c.requestingRouters[level.GetPool()]
		for _, i := range c.random.Perm(len(recipients))[:min(_offerRecipients, len(recipients))] {
			to := recipients[i]
			if offers[to] == nil {
				offers[to] = &qlwire.Offer{}
				order = append(order, to)
			}
			offers[to].Levels = append(offers[to].Levels, level)
		}
	}
	for _, to := range order {
		c.config.Send(to, &qlwire.Message{
			Body: &qlwire.Message_Offer{
				Offer: offers[to],
			},
		})
	}
}
