package qlcore

import "github.com/quetzallane/quetzallane/internal/qlwire"

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
