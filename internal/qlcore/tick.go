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
	if c.dispatcher.Asking() || c.now >= c.reportAt {
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
	c.entry.Costs(func(number uint64, cost float64) {
		c.dispatcher.Progress(c.config.Self, number, cost)
	})
	c.dispatcher.SetOwnAdopted(c.now, c.entry.OwnAdopted())
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

// Pending reports whether Flush has something to send.
func (c *Core) Pending() bool {
	return c.entry.Pending()
}

// catchUp lets a fresh router learn what it missed: the revision of every
// router, and the claims that it should remember.
func (c *Core) catchUp() {
	if !c.Ready() && !c.leaving {
		c.copyPause = 0
		c.members.Announce()
	}
	for _, id := range c.acceptor.MissingCopies(c.now) {
		c.send(id, &qlwire.Message{
			Body: &qlwire.Message_ClaimSync{
				ClaimSync: &qlwire.ClaimSync{},
			},
		})
	}
}

// report sends each customer's usage to its home, one message for each home
// and pool.
func (c *Core) report() {
	c.forgetAsked()
	for _, pool := range c.dispatcher.Pools() {
		items := make(map[string][]*qlwire.UsageItem)
		var homes []string
		for _, item := range c.dispatcher.Report(c.now, pool) {
			home := c.homeOf(pool, item.GetCustomer())
			if items[home] == nil {
				homes = append(homes, home)
			}
			items[home] = append(items[home], item)
		}
		for _, home := range homes {
			c.sendReport(home, pool, items[home])
		}
	}
}

// sendReport sends one report. Where a home may have nothing to place a customer
// by, it is told the fleet's virtual time: before it has answered, and with
// customers whose virtual time is not known here. It may have restarted since
// it answered.
func (c *Core) sendReport(home, pool string, items []*qlwire.UsageItem) {
	c.reportSequence++
	c.asked[c.reportSequence] = c.now
	report := &qlwire.UsageReport{
		Sequence: c.reportSequence,
		Items:    items,
		Pool:     pool,
		Answered: c.answered[home],
	}
	if report.GetAnswered() == 0 || anyUnknown(items) {
		report.VirtualTime = qlwire.FromVirtual(c.dispatcher.VirtualTime(pool))
	}
	c.send(home, &qlwire.Message{
		Body: &qlwire.Message_UsageReport{
			UsageReport: report,
		},
	})
}

// applyTotals takes a home's answer. One that comes too late to be of use, as
// after a pause, finds its report forgotten.
func (c *Core) applyTotals(from string, reply *qlwire.UsageReply) {
	c.answered[from] = reply.GetSequence()
	asked, known := c.asked[reply.GetSequence()]
	if !known {
		return
	}
	delete(c.asked, reply.GetSequence())
	c.dispatcher.ApplyTotals(c.now, asked, reply)
}

// forgetAsked drops reports that nobody has answered in time.
func (c *Core) forgetAsked() {
	for sequence, at := range c.asked {
		if c.now-at > _answerWithin {
			delete(c.asked, sequence)
		}
	}
}

func (c *Core) homeOf(pool, customer string) string {
	owner, ok := c.live.Owner(pool + "/" + customer)
	if !ok {
		return c.config.Self
	}
	return owner.ID()
}

func anyUnknown(items []*qlwire.UsageItem) bool {
	for _, item := range items {
		if item.GetKnownVirtualTime() == 0 {
			return true
		}
	}
	return false
}

func (c *Core) answerReport(from string, epoch uint64, report *qlwire.UsageReport) {
	reply := c.home.Report(c.now, from, epoch, report)
	c.send(from, &qlwire.Message{
		Body: &qlwire.Message_UsageReply{
			UsageReply: reply,
		},
	})
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
