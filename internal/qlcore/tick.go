package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Tick does what time alone demands. Call it every few tens of milliseconds.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.members.Tick(c.now)
	c.proposer.Tick(c.now)
	c.offerSoon()
	if c.now >= c.slowAt {
		c.slowAt = c.now + _slowPeriod
		c.slowTick()
	}
	if c.dispatcher.ConsumeReportRequest() || c.now >= c.reportAt {
		c.reportAt = c.now + c.config.ReportPeriod
		c.report()
	}
	if c.now >= c.offerAt {
		c.offerAt = c.now + _offerPeriod
		c.offer()
	}
	if c.now >= c.copyAt {
		c.copyPause = min(max(2*c.copyPause, _copyPeriod), _longestCopyPause)
		c.copyAt = c.now + c.copyPause
		c.catchUp()
	}
	c.settle()
}

// slowTick does the periodic work that need not be done at once.
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

// Flush sends the demands that changed. Call it soon after events; waiting a
// few milliseconds lets several changes share a message.
func (c *Core) Flush(now time.Duration) {
	c.advance(now)
	c.entry.Flush(c.now)
	c.settle()
}

// NeedsFlush reports whether Flush has something to send.
func (c *Core) NeedsFlush() bool {
	return c.entry.NeedsFlush()
}

// catchUp lets a fresh router learn what it missed: the revision of every
// router, and the claims that it should remember.
func (c *Core) catchUp() {
	if !c.Ready() && !c.leaving {
		c.copyPause = 0
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
	verdict, holder := c.acceptor.Request(c.now, from, request)
	c.send(from, &qlwire.Message{
		Body: &qlwire.Message_ClaimReply{
			ClaimReply: &qlwire.ClaimReply{
				Attempt: request.GetAttempt(),
				Verdict: uint32(verdict),
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

// offer tells a few routers, other ones each time, about the slots here.
func (c *Core) offer() {
	var levels []*qlwire.PoolLevel
	for _, level := range c.levels() {
		if level.GetFree() > 0 || level.GetWaiting() > 0 {
			levels = append(levels, level)
		}
	}
	c.sendOffer(levels)
}

// offerSoon makes slots known that came free while nothing waits here.
func (c *Core) offerSoon() {
	if c.now < c.offerSoonAt {
		return
	}
	var fresh []*qlwire.PoolLevel
	for _, level := range c.levels() {
		idle := level.GetFree() > 0 && level.GetWaiting() == 0
		if idle && !c.idleOffered[level.GetPool()] {
			fresh = append(fresh, level)
		}
		c.idleOffered[level.GetPool()] = idle
	}
	if len(fresh) > 0 {
		c.offerSoonAt = c.now + _offerSoon
		c.sendOffer(fresh)
	}
}

// sendOffer tells a few of the routers that ask this one, each only about
// the pools for which it does.
func (c *Core) sendOffer(levels []*qlwire.PoolLevel) {
	offers := make(map[string]*qlwire.Offer)
	var order []string
	for _, level := range levels {
		followers := c.followers[level.GetPool()]
		for _, i := range c.random.Perm(len(followers))[:min(_offerPeers, len(followers))] {
			to := followers[i]
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
